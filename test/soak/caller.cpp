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
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{connect_limit_ms / 1000, 0};
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&peer), sizeof peer) !=
        0) {
        close();
        return false;
    }
    return true;
}

bool caller_connection::read_more(std::int64_t deadline_ms,
                                  call_outcome& failure) {
    const auto remaining_ms = deadline_ms - now_ms();
    pollfd ready{socket_, POLLIN, 0};
    if (remaining_ms <= 0 ||
        poll(&ready, 1, static_cast<int>(remaining_ms)) <= 0) {
        failure = call_outcome::timed_out;
        return false;
    }
    char chunk[16384];
    const auto size = recv(socket_, chunk, sizeof chunk, 0);
    if (size <= 0) {
        failure = call_outcome::closed;
        return false;
    }
    buffer_.append(chunk, static_cast<std::size_t>(size));
    return true;
}

bool caller_connection::read_at_least(std::size_t bytes,
                                      std::int64_t deadline_ms,
                                      call_outcome& failure) {
    while (buffer_.size() < bytes) {
        if (!read_more(deadline_ms, failure)) {
            return false;
        }
    }
    return true;
}

call_response caller_connection::send_and_receive(const std::string& bytes,
                                                  std::int64_t timeout_ms) {
    call_response response;
    const auto deadline_ms = now_ms() + timeout_ms;
    const auto sent = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(bytes.size())) {
        close();
        return response;
    }
    if (!read_response(response, deadline_ms)) {
        close();
        return response;
    }
    response.outcome = call_outcome::answered;
    if (response.connection_close) {
        close();
    }
    return response;
}

// Reads head and body. Returns false and sets response.outcome if they are
// incomplete.
bool caller_connection::read_response(call_response& response,
                                      std::int64_t deadline_ms) {
    auto head_end = buffer_.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (!read_more(deadline_ms, response.outcome)) {
            return false;
        }
        head_end = buffer_.find("\r\n\r\n");
    }
    const auto head = buffer_.substr(0, head_end + 2);
    buffer_.erase(0, head_end + 4);
    constexpr std::size_t status_at = 9; // after "HTTP/1.1 "
    response.status = std::atoi(head.c_str() + status_at);
    response.has_valid_status_line =
        head.starts_with("HTTP/1.1 " + std::to_string(response.status) + " ") &&
        response.status >= 200 && response.status <= 599;
    auto headers = read_headers(head);
    response.request_id = headers["x-request-id"];
    response.stamp = headers["x-response-stamp"];
    response.connection_close = lower(headers["connection"]) == "close";
    if (lower(headers["transfer-encoding"]) != "chunked") {
        const std::size_t length =
            std::strtoul(headers["content-length"].c_str(), nullptr, 10);
        if (!read_at_least(length, deadline_ms, response.outcome)) {
            return false;
        }
        response.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }
    for (;;) {
        while (buffer_.find("\r\n") == std::string::npos) {
            if (!read_more(deadline_ms, response.outcome)) {
                return false;
            }
        }
        const auto line = buffer_.find("\r\n");
        const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        if (!read_at_least(line + 2 + size + 2, deadline_ms,
                           response.outcome)) {
            return false;
        }
        response.body += buffer_.substr(line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

} // namespace soak
