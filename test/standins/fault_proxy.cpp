#include "json_server.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <iostream>
#include <set>
#include <tclap/CmdLine.h>

// A TCP proxy that injects faults: delay, refusal, cuts in the middle of an
// answer, and connections that go silent for good while new ones work.
namespace {

using standin::json;
using standin::milliseconds;
using standin::request_ptr;

constexpr int ok = 200;
constexpr int bad_request = 400;

struct faults {
    int delay_ms = 0;        // added to each piece, both ways
    bool refuse = false;     // new connections are closed at once
    bool blackhole = false;  // new connections are taken and never served
    int cut_answers = 0;     // connections to close within an answer
    int cut_after_bytes = 1; // how far into it
};

struct link {
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
    bool silent = false;
    bool closed = false;
    std::size_t answered = 0;
};
using link_ptr = std::shared_ptr<link>;

faults present;
std::set<link_ptr> links;
sockaddr_in target{};
std::uint64_t accepted = 0;

// Callbacks get a pointer to a shared pointer that lives as long as the
// process; links are few.
link_ptr& keep(const link_ptr& item) {
    return *new link_ptr(item);
}

void close_link(const link_ptr& item) {
    if (item->closed) {
        return;
    }
    item->closed = true;
    links.erase(item);
    standin::after(milliseconds(0), [item] {
        bufferevent_free(item->client);
        bufferevent_free(item->server);
    });
}

void forward(const link_ptr& item, bufferevent* to, std::string bytes) {
    const auto write = [item, to, bytes = std::move(bytes)] {
        if (!item->closed && !item->silent) {
            bufferevent_write(to, bytes.data(), bytes.size());
        }
    };
    if (present.delay_ms > 0) {
        standin::after(milliseconds(present.delay_ms), write);
    } else {
        write();
    }
}

std::string drain(bufferevent* from) {
    auto* input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    return bytes;
}

void read_client(bufferevent* from, void* argument) {
    const auto item = *static_cast<link_ptr*>(argument);
    auto bytes = drain(from);
    if (!item->silent) {
        forward(item, item->server, std::move(bytes));
    }
}

void read_server(bufferevent* from, void* argument) {
    const auto item = *static_cast<link_ptr*>(argument);
    auto bytes = drain(from);
    if (item->silent) {
        return;
    }
    item->answered += bytes.size();
    const auto limit = static_cast<std::size_t>(present.cut_after_bytes);
    if (present.cut_answers > 0 && item->answered >= limit) {
        --present.cut_answers;
        const auto kept = bytes.size() - (item->answered - limit);
        bufferevent_write(item->client, bytes.data(), kept);
        standin::after(milliseconds(20), [item] { close_link(item); });
        item->silent = true;
        return;
    }
    forward(item, item->client, std::move(bytes));
}

void on_event(bufferevent*, short what, void* argument) {
    const auto item = *static_cast<link_ptr*>(argument);
    const bool over = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (over && !item->silent) {
        // Lets what was delayed arrive first.
        standin::after(milliseconds(present.delay_ms),
                       [item] { close_link(item); });
    }
}

void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void*) {
    ++accepted;
    if (present.refuse) {
        evutil_closesocket(fd);
        return;
    }
    const auto item = std::make_shared<link>();
    item->client =
        bufferevent_socket_new(standin::loop(), fd, BEV_OPT_CLOSE_ON_FREE);
    item->server =
        bufferevent_socket_new(standin::loop(), -1, BEV_OPT_CLOSE_ON_FREE);
    item->silent = present.blackhole;
    links.insert(item);
    auto& kept = keep(item);
    bufferevent_setcb(item->client, read_client, nullptr, on_event, &kept);
    bufferevent_setcb(item->server, read_server, nullptr, on_event, &kept);
    bufferevent_enable(item->client, EV_READ | EV_WRITE);
    bufferevent_enable(item->server, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        item->server, reinterpret_cast<sockaddr*>(&target), sizeof target);
}

void control(const request_ptr& request) {
    const auto body = request->body_json();
    if (request->method() == "POST" && !body.is_object()) {
        request->reply_json(bad_request, {{"title", "POST a JSON object"}});
        return;
    }
    if (request->method() == "POST") {
        present.delay_ms = body.value("delay_ms", present.delay_ms);
        present.refuse = body.value("refuse", present.refuse);
        present.blackhole = body.value("blackhole", present.blackhole);
        present.cut_answers = body.value("cut_answers", present.cut_answers);
        present.cut_after_bytes =
            body.value("cut_after_bytes", present.cut_after_bytes);
        if (body.value("silence_open", false)) {
            for (const auto& item : links) {
                item->silent = true;
            }
        }
        if (body.value("close_open", false)) {
            const auto open = links;
            for (const auto& item : open) {
                close_link(item);
            }
        }
    }
    request->reply_json(ok, {{"open", links.size()}, {"accepted", accepted}});
}

std::uint16_t listen_for_clients(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    auto* listener = evconnlistener_new_bind(
        standin::loop(), on_accept, nullptr, LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (listener == nullptr) {
        throw std::runtime_error("cannot listen");
    }
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener),
                reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Proxy that injects faults on 127.0.0.1", ' ',
                               "1");
        TCLAP::ValueArg<std::uint16_t> port("p", "port", "port; 0: any", false,
                                            0, "PORT", command);
        TCLAP::ValueArg<std::uint16_t> to("t", "target-port",
                                          "port of the process behind", true, 0,
                                          "PORT", command);
        command.parse(argc, argv);
        target.sin_family = AF_INET;
        target.sin_port = htons(to.getValue());
        inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        const auto control_port = standin::serve(0, control);
        std::cout << "control 127.0.0.1:" << control_port << std::endl;
        standin::run(listen_for_clients(port.getValue()));
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 1;
    }
}
