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
    http_answer answer;
};

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

void take_answer(evhttp_request* request, void* argument) {
    auto* state = static_cast<exchange*>(argument);
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
        auto& answer = state->answer;
        answer.status = evhttp_request_get_response_code(request);
        auto* headers = evhttp_request_get_input_headers(request);
        for (const auto* field = headers->tqh_first; field != nullptr;
             field = field->next.tqe_next) {
            answer.headers[lower(field->key)] = field->value;
        }
        auto* buffer = evhttp_request_get_input_buffer(request);
        answer.body.resize(evbuffer_get_length(buffer));
        evbuffer_copyout(buffer, answer.body.data(), answer.body.size());
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

std::string http_answer::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http_answer ask(const http_question& question) {
    exchange state;
    state.loop = event_base_new();
    auto* connection = evhttp_connection_base_new(
        state.loop, nullptr, host_of(question.address).c_str(),
        port_of(question.address));
    timeval limit{};
    limit.tv_sec = question.limit.count() / 1000;
    limit.tv_usec = (question.limit.count() % 1000) * 1000;
    evhttp_connection_set_timeout_tv(connection, &limit);
    auto* request = evhttp_request_new(take_answer, &state);
    auto* headers = evhttp_request_get_output_headers(request);
    if (!question.headers.contains("Host")) {
        evhttp_add_header(headers, "Host", question.address.c_str());
    }
    for (const auto& [name, value] : question.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 question.body.data(), question.body.size());
    const auto start = std::chrono::steady_clock::now();
    evhttp_make_request(connection, request, method_of(question.method),
                        question.target.c_str());
    event_base_loopexit(state.loop, &limit);
    event_base_dispatch(state.loop);
    state.answer.time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
    evhttp_connection_free(connection);
    event_base_free(state.loop);
    return state.answer;
}

std::future<http_answer> ask_later(const http_question& question) {
    return std::async(std::launch::async, [question] { return ask(question); });
}

std::string send_raw(const std::string& address, const std::string& bytes,
                     std::chrono::milliseconds limit) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port_of(address));
    inet_pton(AF_INET, host_of(address).c_str(), &to.sin_addr);
    std::string received;
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
        pollfd ready{fd, POLLIN, 0};
        char piece[4096];
        while (poll(&ready, 1, static_cast<int>(limit.count())) > 0) {
            const auto size = recv(fd, piece, sizeof piece, 0);
            if (size <= 0) {
                break;
            }
            received.append(piece, static_cast<std::size_t>(size));
        }
    }
    close(fd);
    return received;
}

} // namespace testing_support
