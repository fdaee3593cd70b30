#ifndef LACEWINGBEAM_TEST_CLOSING_SERVER_HPP
#define LACEWINGBEAM_TEST_CLOSING_SERVER_HPP

#include "adapters/connection_pool.hpp"
#include "listening_socket.hpp"

#include <optional>
#include <thread>

// One exchange of a connection_pool with a server that sends given bytes.
namespace lacewingbeam::test {

// Accepts one connection, reads the request, sends `text` and closes.
class closing_server {
public:
    explicit closing_server(std::string text)
        : thread_([this, text = std::move(text)] {
              const int connection = listener_.accept_connection();
              std::string request(4096, '\0');
              recv(connection, request.data(), request.size(), 0);
              send(connection, text.data(), text.size(), MSG_NOSIGNAL);
              close(connection);
          }) {}

    std::string address() const { return listener_.address(); }

private:
    testing_support::listening_socket listener_;
    std::jthread thread_;
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
