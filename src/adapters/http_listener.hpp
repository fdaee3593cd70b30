#ifndef LACEWINGBEAM_ADAPTERS_HTTP_LISTENER_HPP
#define LACEWINGBEAM_ADAPTERS_HTTP_LISTENER_HPP

#include "client_connections.hpp"
#include "event_loop.hpp"
#include "http_types.hpp"

#include <cstdint>
#include <event2/http.h>
#include <memory>
#include <string>
#include <string_view>

// HTTP/1.1 server, built on evhttp.
namespace lacewingbeam {

// A received request awaiting its response. It ends with reply(), finish() or
// abort(), or when the client disconnects.
class incoming_request {
public:
    incoming_request(const event_loop& loop,
                     detail::client_connections& connections,
                     evhttp_request* request);
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;
    ~incoming_request();

    evhttp_cmd_type method() const;
    std::string_view target() const; // path and query
    header_list headers() const;

    // Moves the body out of the request.
    message_body take_body();

    std::string peer_address() const;

    // Sends a complete response.
    void reply(int status, const header_list& headers, std::string_view body);

    // Stream a response: start(), any number of send(), then finish(). Uses
    // chunked transfer coding unless the headers contain Content-Length.
    void start(int status, const header_list& headers);
    void send(std::string_view piece);
    void finish();

    // Closes the connection, so that the client sees a started response as
    // truncated.
    void abort();

    // Returns the number of response bytes not yet written to the kernel.
    std::size_t unsent_bytes() const;

    bool is_open() const { return request_ != nullptr; }
    bool is_started() const { return started_; }

    // The client closed the connection before the response was complete.
    sigc::signal<void()> disconnected;

    // All data sent so far has been written to the kernel.
    sigc::signal<void()> drained;

private:
    friend class detail::client_connection;

    static void on_peer_closed(evutil_socket_t, short, void* argument);
    static void on_written(evhttp_connection*, void* argument);
    void on_connection_closed();
    void add_headers(const header_list& headers);
    void release();
    void detach_connection(bool free_connection);

    detail::client_connections& connections_;
    evhttp_request* request_;
    event_handle close_event_;
    bool started_ = false;
};

// A response to requests that are refused before they are handled.
struct refusal {
    int status = 503;
    header_list headers;
    std::string body;
};

// Accepts HTTP connections on one port.
class http_listener {
public:
    // What clients hold counts against the budget. Throws error if the address
    // cannot be bound.
    http_listener(event_loop& loop, memory_budget& budget,
                  const std::string& ip, std::uint16_t port,
                  const listener_limits& limits);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    ~http_listener();

    std::uint16_t port() const { return port_; }

    // Returns the number of complete responses not yet written to the kernel.
    std::size_t unsent_responses() const {
        return connections_.count_responding();
    }

    // Applies to all connections.
    void set_limits(const listener_limits& limits);

    // Sets the response to requests that are refused for lack of memory.
    void set_refusal(refusal no_memory);

    // A request was received. The handler must keep the object alive until the
    // response has been sent.
    sigc::signal<void(std::shared_ptr<incoming_request>)> request;

private:
    static bufferevent* on_accept(event_base*, void* argument);
    static void on_request(evhttp_request* request, void* argument);
    void refuse(incoming_request& incoming, detail::give_up_reason reason);

    event_loop& loop_;
    refusal no_memory_;
    detail::client_connections connections_;
    evhttp* server_;
    evhttp_bound_socket* socket_;
    std::uint16_t port_ = 0;
};

} // namespace lacewingbeam

#endif
