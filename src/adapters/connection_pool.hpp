#ifndef LACEWINGBEAM_ADAPTERS_CONNECTION_POOL_HPP
#define LACEWINGBEAM_ADAPTERS_CONNECTION_POOL_HPP

#include "event_loop.hpp"
#include "http_types.hpp"
#include "lacewingbeam/verdict.hpp"

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

// HTTP/1.1 requests to other processes over kept connections, on evhttp. A
// connection carries one request at a time and is closed after any doubt.
namespace lacewingbeam {

enum class exchange_problem {
    pool_exhausted,  // all connections of the address are in use
    connect_failed,  // could not be opened in time
    connection_lost, // closed or reset before the whole answer
    malformed,       // no HTTP, or larger than allowed
    truncated,       // ended before its announced end, or without one
    stalled,         // silent for too long within an answer
};

struct exchange_failure {
    exchange_problem problem{};
    bool bytes_sent = false; // a byte of the request may have arrived
};

// Why a request with such a failure may have run; nothing if none of its bytes
// left.
std::optional<may_have_run_reason>
to_may_have_run_reason(const exchange_failure& failure);

// Called in the order head, body..., then end or failed, once each.
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
    bool allow_close_delimited = false; // an answer may end with its connection
};

// How one request uses the pool.
struct exchange_limits {
    std::size_t max_connections = 1;          // to this address, in all
    duration max_reuse_age = duration::max(); // reuse only connections that
                                              // answered this recently
};

class connection_pool {
public:
    connection_pool(event_loop& loop, pool_options options);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    // Sends a request to IP:port. Events come after this call has returned.
    exchange_id start(const std::string& address, const http_request& request,
                      const exchange_limits& limits, exchange_events events);

    // Ends the exchange without further events and closes its connection.
    void cancel(exchange_id id);

    // Stops and resumes reading the answer.
    void pause(exchange_id id);
    void resume(exchange_id id);

    // Closes connections that are not in use now and from now on, so that the
    // shares of the instances that stay are not exceeded.
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
