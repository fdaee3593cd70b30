#ifndef LACEWINGBEAM_TEST_CLOSING_SERVER_HPP
#define LACEWINGBEAM_TEST_CLOSING_SERVER_HPP

#include "adapters/connection_pool.hpp"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// One exchange of a connection_pool with a server that sends given bytes.
namespace lacewingbeam::test {

// Accepts one connection, reads the request, sends `text` and closes.
class closing_server {
public:
    explicit closing_server(std::string text)
        : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        cr_assert_eq(bind(listener_, generic, size), 0);
        cr_assert_eq(listen(listener_, 1), 0);
        getsockname(listener_, generic, &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this, text = std::move(text)] {
            const int connection = accept(listener_, nullptr, nullptr);
            std::string request(4096, '\0');
            recv(connection, request.data(), request.size(), 0);
            send(connection, text.data(), text.size(), MSG_NOSIGNAL);
            close(connection);
        });
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;
    ~closing_server() {
        thread_.join();
        close(listener_);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    int listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

struct outcome {
    bool ended = false;
    http_response_head head;
    std::string body;
    std::optional<exchange_failure> failure;
};

inline outcome exchange_with(const std::string& text) {
    closing_server server(text);
    event_loop loop;
    pool_options options;
    options.allow_close_delimited = true;
    connection_pool pool(loop, options);
    outcome result;
    exchange_events events;
    events.head = [&](const http_response_head& head) {
        result.head = head;
    };
    events.body = [&](std::string_view piece) {
        result.body += piece;
    };
    events.end = [&] {
        result.ended = true;
        loop.stop();
    };
    events.failed = [&](const exchange_failure& failure) {
        result.failure = failure;
        loop.stop();
    };
    pool.start(server.address(), {}, {}, std::move(events));
    loop.run();
    return result;
}

} // namespace lacewingbeam::test

#endif
