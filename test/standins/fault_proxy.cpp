#include "json_server.hpp"

#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <iostream>
#include <map>
#include <set>
#include <tclap/CmdLine.h>

// A TCP proxy that injects faults: delays, refused connections, truncated
// responses, and open connections that stop forwarding while new ones work.
namespace {

using standin::json;
using standin::milliseconds;
using standin::request_ptr;

constexpr int ok = 200;
constexpr int bad_request = 400;

struct fault_settings {
    int delay_ms = 0;        // delay of each chunk, in both directions
    bool refuse = false;     // new connections are closed at once
    bool blackhole = false;  // new connections are accepted but not served
    int cut_answers = 0;     // number of responses to truncate
    int cut_after_bytes = 1; // response bytes let through before the cut
};

// What happens to connections from one source address.
enum class source_cut {
    hang,       // open ones stop forwarding, new ones are not served
    refuse,     // open ones are closed, new ones as well
    refuse_new, // open ones live on, new ones are closed
};

struct connection_pair {
    std::string source; // IP address of the client
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
    bool silent = false;
    bool closed = false;
    std::size_t response_bytes = 0;
};
using connection_ptr = std::shared_ptr<connection_pair>;

fault_settings active_faults;
std::map<std::string, source_cut> cut_sources;
std::set<connection_ptr> connections;
sockaddr_in target{};
std::uint64_t accepted = 0;

// Returns a heap-allocated shared pointer for use as a callback argument. It is
// never freed, which is acceptable for the few connections of a test.
connection_ptr& make_callback_argument(const connection_ptr& pair) {
    return *new connection_ptr(pair);
}

void close_connection_pair(const connection_ptr& pair) {
    if (pair->closed) {
        return;
    }
    pair->closed = true;
    connections.erase(pair);
    standin::run_after(milliseconds(0), [pair] {
        bufferevent_free(pair->client);
        bufferevent_free(pair->server);
    });
}

void forward(const connection_ptr& pair, bufferevent* to, std::string bytes) {
    const auto write = [pair, to, bytes = std::move(bytes)] {
        if (!pair->closed && !pair->silent) {
            bufferevent_write(to, bytes.data(), bytes.size());
        }
    };
    if (active_faults.delay_ms > 0) {
        standin::run_after(milliseconds(active_faults.delay_ms), write);
    } else {
        write();
    }
}

std::string read_all(bufferevent* from) {
    auto* input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    return bytes;
}

void read_client(bufferevent* from, void* argument) {
    const auto pair = *static_cast<connection_ptr*>(argument);
    auto bytes = read_all(from);
    if (!pair->silent) {
        forward(pair, pair->server, std::move(bytes));
    }
}

void read_server(bufferevent* from, void* argument) {
    const auto pair = *static_cast<connection_ptr*>(argument);
    auto bytes = read_all(from);
    if (pair->silent) {
        return;
    }
    pair->response_bytes += bytes.size();
    const auto cut_after =
        static_cast<std::size_t>(active_faults.cut_after_bytes);
    if (active_faults.cut_answers > 0 && pair->response_bytes >= cut_after) {
        --active_faults.cut_answers;
        const auto allowed = bytes.size() - (pair->response_bytes - cut_after);
        bufferevent_write(pair->client, bytes.data(), allowed);
        standin::run_after(milliseconds(20),
                           [pair] { close_connection_pair(pair); });
        pair->silent = true;
        return;
    }
    forward(pair, pair->client, std::move(bytes));
}

void on_event(bufferevent*, short what, void* argument) {
    const auto pair = *static_cast<connection_ptr*>(argument);
    const bool ended = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (ended && !pair->silent) {
        // Delivers delayed data before closing.
        standin::run_after(milliseconds(active_faults.delay_ms),
                           [pair] { close_connection_pair(pair); });
    }
}

std::string ip_of(const sockaddr* address) {
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return text.data();
}

void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr* from, int,
               void*) {
    ++accepted;
    const auto source = ip_of(from);
    const auto cut = cut_sources.find(source);
    const bool is_cut = cut != cut_sources.end();
    const bool hangs = is_cut && cut->second == source_cut::hang;
    if (active_faults.refuse || (is_cut && !hangs)) {
        evutil_closesocket(fd);
        return;
    }
    const auto pair = std::make_shared<connection_pair>();
    pair->source = source;
    pair->client = bufferevent_socket_new(standin::event_loop(), fd,
                                          BEV_OPT_CLOSE_ON_FREE);
    pair->server = bufferevent_socket_new(standin::event_loop(), -1,
                                          BEV_OPT_CLOSE_ON_FREE);
    pair->silent = active_faults.blackhole || hangs;
    connections.insert(pair);
    auto& argument = make_callback_argument(pair);
    bufferevent_setcb(pair->client, read_client, nullptr, on_event, &argument);
    bufferevent_setcb(pair->server, read_server, nullptr, on_event, &argument);
    bufferevent_enable(pair->client, EV_READ | EV_WRITE);
    bufferevent_enable(pair->server, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        pair->server, reinterpret_cast<sockaddr*>(&target), sizeof target);
}

void set_source_cut(const std::string& source, const std::string& how) {
    const std::map<std::string, source_cut> kinds{
        {"hang", source_cut::hang},
        {"refuse", source_cut::refuse},
        {"refuse_new", source_cut::refuse_new}};
    const auto kind = kinds.find(how);
    if (kind == kinds.end()) {
        cut_sources.erase(source);
    } else {
        cut_sources[source] = kind->second;
    }
    const auto open = connections;
    for (const auto& pair : open) {
        if (pair->source != source) {
            continue;
        }
        if (kind != kinds.end() && kind->second == source_cut::hang) {
            pair->silent = true;
        } else if (pair->silent || (kind != kinds.end() &&
                                    kind->second == source_cut::refuse)) {
            close_connection_pair(pair);
        }
    }
}

void control(const request_ptr& request) {
    const auto body = request->body_json();
    if (request->method() == "POST" && !body.is_object()) {
        request->reply_json(bad_request, {{"title", "POST a JSON object"}});
        return;
    }
    if (request->method() == "POST") {
        active_faults.delay_ms = body.value("delay_ms", active_faults.delay_ms);
        active_faults.refuse = body.value("refuse", active_faults.refuse);
        active_faults.blackhole =
            body.value("blackhole", active_faults.blackhole);
        active_faults.cut_answers =
            body.value("cut_answers", active_faults.cut_answers);
        active_faults.cut_after_bytes =
            body.value("cut_after_bytes", active_faults.cut_after_bytes);
        if (body.contains("cut_source")) {
            set_source_cut(body["cut_source"], body.value("how", "none"));
        }
        if (body.value("silence_open", false)) {
            for (const auto& pair : connections) {
                pair->silent = true;
            }
        }
        if (body.value("close_open", false)) {
            const auto open = connections;
            for (const auto& pair : open) {
                close_connection_pair(pair);
            }
        }
    }
    request->reply_json(ok,
                        {{"open", connections.size()}, {"accepted", accepted}});
}

std::uint16_t listen_for_clients(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    auto* listener = evconnlistener_new_bind(
        standin::event_loop(), on_accept, nullptr, LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (listener == nullptr) {
        throw std::runtime_error("cannot listen on port " +
                                 std::to_string(port));
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
        TCLAP::ValueArg<std::uint16_t> target_port(
            "t", "target-port", "port of the process behind the proxy", true, 0,
            "PORT", command);
        command.parse(argc, argv);
        target.sin_family = AF_INET;
        target.sin_port = htons(target_port.getValue());
        inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        const auto control_port = standin::serve(0, control);
        std::cout << "control 127.0.0.1:" << control_port << std::endl;
        standin::run(listen_for_clients(port.getValue()));
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 1;
    }
}
