#include "http_call.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing_support {

namespace {

struct exchange {
    event_base* loop = nullptr;
    http_response response;
};

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

void on_response(evhttp_request* request, void* argument) {
    auto* state = static_cast<exchange*>(argument);
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
        auto& response = state->response;
        response.status = evhttp_request_get_response_code(request);
        auto* headers = evhttp_request_get_input_headers(request);
        for (const auto* field = headers->tqh_first; field != nullptr;
             field = field->next.tqe_next) {
            response.headers[lower(field->key)] = field->value;
        }
        auto* buffer = evhttp_request_get_input_buffer(request);
        response.body.resize(evbuffer_get_length(buffer));
        evbuffer_copyout(buffer, response.body.data(), response.body.size());
    }
    event_base_loopbreak(state->loop);
}

evhttp_cmd_type method_of(const std::string& name) {
    if (name == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (name == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (name == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return name == "HEAD" ? EVHTTP_REQ_HEAD : EVHTTP_REQ_GET;
}

std::string host_of(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

std::uint16_t port_of(const std::string& address) {
    return static_cast<std::uint16_t>(
        std::stoul(address.substr(address.rfind(':') + 1)));
}

} // namespace

std::string http_response::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http_response send_request(const http_request& request) {
    exchange state;
    state.loop = event_base_new();
    auto* connection = evhttp_connection_base_new(
        state.loop, nullptr, host_of(request.address).c_str(),
        port_of(request.address));
    timeval timeout{};
    timeout.tv_sec = request.timeout.count() / 1000;
    timeout.tv_usec = (request.timeout.count() % 1000) * 1000;
    evhttp_connection_set_timeout_tv(connection, &timeout);
    auto* pending = evhttp_request_new(on_response, &state);
    auto* headers = evhttp_request_get_output_headers(pending);
    if (!request.headers.contains("Host")) {
        evhttp_add_header(headers, "Host", request.address.c_str());
    }
    for (const auto& [name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(pending), request.body.data(),
                 request.body.size());
    const auto start = std::chrono::steady_clock::now();
    evhttp_make_request(connection, pending, method_of(request.method),
                        request.target.c_str());
    event_base_loopexit(state.loop, &timeout);
    event_base_dispatch(state.loop);
    state.response.time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
    evhttp_connection_free(connection);
    event_base_free(state.loop);
    return state.response;
}

std::future<http_response> send_request_async(const http_request& request) {
    return std::async(std::launch::async,
                      [request] { return send_request(request); });
}

std::string send_raw(const std::string& address, const std::string& bytes,
                     std::chrono::milliseconds timeout) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(port_of(address));
    inet_pton(AF_INET, host_of(address).c_str(), &peer.sin_addr);
    std::string received;
    if (connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0 &&
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
        pollfd ready{fd, POLLIN, 0};
        char chunk[4096];
        while (poll(&ready, 1, static_cast<int>(timeout.count())) > 0) {
            const auto size = recv(fd, chunk, sizeof chunk, 0);
            if (size <= 0) {
                break;
            }
            received.append(chunk, static_cast<std::size_t>(size));
        }
    }
    close(fd);
    return received;
}

} // namespace testing_support
