#include "caller.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <map>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace soak {

namespace {

constexpr int connect_limit_ms = 1000;

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::map<std::string, std::string> read_headers(const std::string& head) {
    std::map<std::string, std::string> headers;
    auto at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const auto end = head.find("\r\n", at + 2);
        const auto line = head.substr(at + 2, end - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        at = end;
    }
    return headers;
}

} // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

caller_connection::~caller_connection() {
    close();
}

void caller_connection::close() {
    if (socket_ >= 0) {
        ::close(socket_);
    }
    socket_ = -1;
    buffer_.clear();
}

bool caller_connection::open(const std::string& address) {
    close();
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{connect_limit_ms / 1000, 0};
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        close();
        return false;
    }
    return true;
}

bool caller_connection::read_more(std::int64_t until_ms, call_end& why) {
    const auto left = until_ms - now_ms();
    pollfd ready{socket_, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
        why = call_end::silent;
        return false;
    }
    char piece[16384];
    const auto size = recv(socket_, piece, sizeof piece, 0);
    if (size <= 0) {
        why = call_end::closed;
        return false;
    }
    buffer_.append(piece, static_cast<std::size_t>(size));
    return true;
}

bool caller_connection::need(std::size_t bytes, std::int64_t until_ms,
                             call_end& why) {
    while (buffer_.size() < bytes) {
        if (!read_more(until_ms, why)) {
            return false;
        }
    }
    return true;
}

call_answer caller_connection::ask(const std::string& bytes,
                                   std::int64_t patience_ms) {
    call_answer answer;
    const auto until = now_ms() + patience_ms;
    const auto sent = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(bytes.size())) {
        close();
        return answer;
    }
    if (!read_body(answer, until)) {
        close();
        return answer;
    }
    answer.end = call_end::answered;
    if (answer.closes) {
        close();
    }
    return answer;
}

// Reads head and body; false, with the reason, if they do not come whole.
bool caller_connection::read_body(call_answer& answer, std::int64_t until_ms) {
    auto head_end = buffer_.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (!read_more(until_ms, answer.end)) {
            return false;
        }
        head_end = buffer_.find("\r\n\r\n");
    }
    const auto head = buffer_.substr(0, head_end + 2);
    buffer_.erase(0, head_end + 4);
    constexpr std::size_t status_at = 9; // behind "HTTP/1.1 "
    answer.status = std::atoi(head.c_str() + status_at);
    auto headers = read_headers(head);
    answer.request_id = headers["x-request-id"];
    answer.stamp = headers["x-response-stamp"];
    answer.closes = lower(headers["connection"]) == "close";
    if (lower(headers["transfer-encoding"]) != "chunked") {
        const std::size_t length =
            std::strtoul(headers["content-length"].c_str(), nullptr, 10);
        if (!need(length, until_ms, answer.end)) {
            return false;
        }
        answer.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }
    for (;;) {
        while (buffer_.find("\r\n") == std::string::npos) {
            if (!read_more(until_ms, answer.end)) {
                return false;
            }
        }
        const auto line = buffer_.find("\r\n");
        const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        if (!need(line + 2 + size + 2, until_ms, answer.end)) {
            return false;
        }
        answer.body += buffer_.substr(line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

} // namespace soak
