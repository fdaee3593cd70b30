#include "adapters/connection_pool.hpp"
#include "listening_socket.hpp"

#include <atomic>
#include <optional>
#include <thread>

// connection_pool with servers whose responses do not end.
using namespace lacewingbeam;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t max_body_bytes = 1U << 20U;

// More than this is not sent before the server gives up.
constexpr std::size_t endless_bytes = 64U << 20U;

// Accepts one connection, sends `start` and then repeats `piece` until the
// client closes.
class endless_server {
public:
    endless_server(std::string start, std::string piece)
        : thread_([this, start = std::move(start), piece = std::move(piece)] {
              send_all(listener_.accept_connection(), start, piece);
          }) {}

    std::string address() const { return listener_.address(); }
    bool closed_by_client() const { return closed_by_client_; }
    bool ended() const { return ended_; }

private:
    void send_all(int connection, const std::string& start,
                  const std::string& piece) {
        send(connection, start.data(), start.size(), MSG_NOSIGNAL);
        std::size_t sent = 0;
        while (sent < endless_bytes && !closed_by_client_) {
            const auto size =
                send(connection, piece.data(), piece.size(), MSG_NOSIGNAL);
            closed_by_client_ = size < 0;
            sent += piece.size();
        }
        close(connection);
        ended_ = true;
    }

    testing_support::listening_socket listener_;
    std::atomic<bool> closed_by_client_ = false;
    std::atomic<bool> ended_ = false;
    std::jthread thread_;
};

struct pool_fixture {
    event_loop loop;
    connection_pool pool{loop, {.stall_timeout = std::chrono::hours(1)}};
    std::optional<exchange_failure> failure;
    std::size_t received = 0;

    // Requests a response, of which it takes at most max_body_bytes.
    void run(const endless_server& server) {
        exchange_id id{};
        exchange_events events;
        events.head = [](const http_response_head&) {
        };
        events.body = [this, &id](std::string_view piece) {
            received += piece.size();
            if (received > max_body_bytes) {
                pool.cancel(id);
            }
        };
        events.end = [] {
        };
        events.failed = [this](const exchange_failure& value) {
            failure = value;
        };
        id = pool.start(server.address(), {}, {}, std::move(events));
        auto timer = loop.every(milliseconds(1), [&] {
            if (server.ended()) {
                loop.stop();
            }
        });
        loop.run();
    }
};

} // namespace

Test(connection_pool, endless_head_is_malformed_and_closed) {
    endless_server server("HTTP/1.1 200 OK\r\nX-Name: ", "aaaaaaaaaaaaaaaa");
    pool_fixture fixture;
    fixture.run(server);
    cr_assert(server.closed_by_client());
    cr_assert(fixture.failure->problem == exchange_problem::malformed);
}

// Regression test: the size of a chunk was read without a limit, into memory.
Test(connection_pool, endless_chunk_size_is_malformed_and_closed) {
    endless_server server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "0000000000000000");
    pool_fixture fixture;
    fixture.run(server);
    cr_assert(server.closed_by_client());
    cr_assert(fixture.failure->problem == exchange_problem::malformed);
}

Test(connection_pool, endless_bodies_are_closed_when_the_receiver_has_enough) {
    for (const char* framing :
         {"Content-Length: 99999999999\r\n\r\n", "Connection: close\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n"}) {
        const bool chunked =
            std::string_view(framing).find("chunked") != std::string_view::npos;
        const std::string data(4096, 'x');
        endless_server server(std::string("HTTP/1.1 200 OK\r\n") + framing,
                              chunked ? "1000\r\n" + data + "\r\n" : data);
        pool_fixture fixture;
        fixture.run(server);
        cr_assert(server.closed_by_client(), "%s", framing);
    }
}
