#ifndef LACEWINGBEAM_ADAPTERS_CONNECTION_POOL_HPP
#define LACEWINGBEAM_ADAPTERS_CONNECTION_POOL_HPP

#include "event_loop.hpp"
#include "http_types.hpp"
#include "lacewingbeam/verdict.hpp"
#include "memory_budget.hpp"

#include <cstdint>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// HTTP/1.1 client with keep-alive connections, built on evhttp. A connection
// carries one request at a time (no pipelining) and is closed after any error.
namespace lacewingbeam {

enum class exchange_problem {
    pool_exhausted,  // the address's connection limit is reached
    connect_failed,  // refused, or not established in time
    connection_lost, // closed or reset before the response head
    malformed,       // not valid HTTP, or over a size limit
    truncated,       // body ended early, or its length is not declared
    stalled,         // no data for stall_timeout during a response
};

struct exchange_failure {
    exchange_problem problem{};
    bool bytes_sent = false; // the server may have received part of the request
};

// Maps a failure to the reason why the server may have executed the request.
// Returns nullopt if no byte of the request was sent.
std::optional<may_have_run_reason>
to_may_have_run_reason(const exchange_failure& failure);

// Callbacks of one exchange: `head` once, `body` any number of times, then
// `end`. `failed` can come at any point instead of the remaining ones; none is
// called after it.
struct exchange_events {
    sigc::slot<void(const http_response_head&)> head;
    sigc::slot<void(std::string_view)> body;
    sigc::slot<void()> end;
    sigc::slot<void(const exchange_failure&)> failed;
};

enum class exchange_id : std::uint64_t {};

struct pool_options {
    duration connect_timeout = std::chrono::milliseconds(250);
    duration stall_timeout = std::chrono::seconds(10);
    duration idle_timeout = std::chrono::seconds(30);
    std::size_t max_header_bytes = 65536;
    // Received bytes that evhttp holds back: a head, the size of a chunk, or a
    // chunk that is not complete. With more, the response is malformed.
    std::size_t max_unprocessed_bytes = 9U << 20U;
    bool allow_close_delimited = false; // accept responses delimited by close
    std::string source_ip; // of the connections; empty: chosen by the system
    memory_budget* memory = nullptr; // for received bytes; null: not counted
    int receive_buffer_bytes = 0;    // of a connection; 0: the kernel's default
};

// Restricts which connections one request may use.
struct exchange_limits {
    std::size_t max_connections = 1; // to this address
    // Maximum age of a connection's last response for reusing the connection.
    duration max_reuse_age = duration::max();
};

class connection_pool {
public:
    connection_pool(event_loop& loop, pool_options options);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    // Sends a request to IP:port. Callbacks run only after this call returns.
    exchange_id start(const std::string& address, const http_request& request,
                      const exchange_limits& limits, exchange_events events);

    // Ends the exchange without further callbacks and closes its connection.
    void cancel(exchange_id id);

    // Stops and resumes reading the response.
    void pause(exchange_id id);
    void resume(exchange_id id);

    // Closes idle connections and stops keeping them open after a response.
    // Called when this instance stops: the connection limit of a backend server
    // is divided among the remaining instances.
    void disable_keep_alive();

private:
    struct connection;
    struct exchange;

    connection* take_idle(const std::string& address,
                          const exchange_limits& limits);
    connection* open(const std::string& address);
    void destroy_later(connection* conn);
    void release(connection* conn, bool reusable);
    void fail(exchange& pending, exchange_problem problem);
    void fail_later(exchange_id id);
    void sweep();
    void schedule_sweep(time_point due);
    std::optional<time_point> find_deadline(const exchange& pending) const;

    static int on_head(evhttp_request* request, void* argument);
    static void on_chunk(evhttp_request* request, void* argument);
    static void on_error(evhttp_request_error error, void* argument);
    static void on_done(evhttp_request* request, void* argument);
    static void on_close(evhttp_connection*, void* argument);
    static void on_input(evbuffer* buffer, const evbuffer_cb_info* info,
                         void* argument);
    static void on_output(evbuffer*, const evbuffer_cb_info* info,
                          void* argument);

    event_loop& loop_;
    pool_options options_;
    scoped_event sweep_timer_;
    std::optional<time_point> sweep_due_;
    std::uint64_t next_id_ = 1;
    std::map<connection*, std::unique_ptr<connection>> connections_;
    std::map<std::string, std::vector<connection*>> idle_;
    std::map<std::string, std::size_t> open_by_address_;
    std::map<exchange_id, std::unique_ptr<exchange>> exchanges_;
    std::vector<std::unique_ptr<connection>> closing_connections_;
    std::vector<std::unique_ptr<exchange>> ended_exchanges_;
};

} // namespace lacewingbeam

#endif
