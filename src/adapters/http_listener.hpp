#ifndef LACEWINGBEAM_ADAPTERS_HTTP_LISTENER_HPP
#define LACEWINGBEAM_ADAPTERS_HTTP_LISTENER_HPP

#include "event_loop.hpp"
#include "http_types.hpp"

#include <cstdint>
#include <event2/http.h>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

// The HTTP/1.1 server side, on evhttp.
namespace lacewingbeam {

struct listener_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    duration idle_timeout = std::chrono::seconds(60);
};

// One request that waits for its answer. It ends with reply, finish or
// abort, or when the other side goes away.
class incoming_request {
public:
    // `unsent_connections` gets the connection while its answer is being
    // written.
    incoming_request(
        const event_loop& loop, evhttp_request* request,
        std::unordered_set<evhttp_connection*>& unsent_connections);
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;
    ~incoming_request();

    evhttp_cmd_type method() const;
    std::string_view target() const; // path and query
    header_list headers() const;
    std::string body() const;
    std::string peer_address() const;

    // A whole answer at once.
    void reply(int status, const header_list& headers, std::string_view body);

    // An answer in pieces. Without a Content-Length among the headers it is
    // sent in chunks.
    void start(int status, const header_list& headers);
    void send(std::string_view piece);
    void finish();

    // Breaks the connection off, so that a started answer shows as cut.
    void abort();

    // Bytes of the answer not yet handed to the kernel.
    std::size_t unsent_bytes() const;

    bool is_open() const { return request_ != nullptr; }
    bool is_started() const { return started_; }

    // The other side closed the connection before the answer was complete.
    sigc::signal<void()> disconnected;

    // Everything sent so far was handed to the kernel.
    sigc::signal<void()> drained;

private:
    static void on_closed(evhttp_connection*, void* argument);
    static void on_peer_closed(evutil_socket_t, short, void* argument);
    static void on_written(evhttp_connection*, void* argument);
    static void on_reply_written(evhttp_request* request, void* argument);
    static void on_reply_lost(evhttp_connection* connection, void* argument);
    void add_headers(const header_list& headers);
    void release();
    void detach_connection(bool free_connection);

    std::unordered_set<evhttp_connection*>& unsent_connections_;
    evhttp_request* request_;
    event_handle close_event_;
    bool started_ = false;
};

// Listens on one port.
class http_listener {
public:
    // Throws error if the address cannot be bound.
    http_listener(event_loop& loop, const std::string& ip, std::uint16_t port,
                  const listener_limits& limits);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    ~http_listener();

    std::uint16_t port() const { return port_; }

    // Answers that are whole and not yet handed to the kernel.
    std::size_t unsent_responses() const { return unsent_connections_.size(); }

    // Limits of connections accepted from now on.
    void set_limits(const listener_limits& limits);

    // A request arrived. The receiver keeps the object until it is done.
    sigc::signal<void(std::shared_ptr<incoming_request>)> request;

private:
    static void on_request(evhttp_request* request, void* argument);

    event_loop& loop_;
    evhttp* server_;
    evhttp_bound_socket* socket_;
    std::uint16_t port_ = 0;
    std::unordered_set<evhttp_connection*> unsent_connections_;
};

} // namespace lacewingbeam

#endif
