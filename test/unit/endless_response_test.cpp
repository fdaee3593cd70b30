#include "adapters/connection_pool.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <criterion/criterion.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

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
        thread_ = std::thread(
            [this, start = std::move(start), piece = std::move(piece)] {
                send_all(accept(listener_, nullptr, nullptr), start, piece);
            });
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    ~endless_server() {
        thread_.join();
        close(listener_);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
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

    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> closed_by_client_ = false;
    std::atomic<bool> ended_ = false;
    std::thread thread_;
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
