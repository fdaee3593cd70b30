#ifndef LACEWINGBEAM_ADAPTERS_CLIENT_CONNECTIONS_HPP
#define LACEWINGBEAM_ADAPTERS_CLIENT_CONNECTIONS_HPP

#include "event_loop.hpp"
#include "memory_budget.hpp"
#include "message_syntax.hpp"

#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

// The connections of an http_listener and what they hold.
namespace lacewingbeam {

class incoming_request;

struct listener_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    duration idle_timeout = std::chrono::seconds(60);
    // Also limited by the descriptors that the process may open. The connection
    // that has been silent for longest is closed for a new one.
    std::size_t max_connections = 64;
};

namespace detail {

class client_connections;

// A fixed size bounds what the kernel receives for a connection.
constexpr int receive_buffer_bytes = 64 << 10;

enum class give_up_reason {
    no_memory,
    malformed, // its requests can't be told apart with certainty
    too_many_connections,
};

// One connection of a client. Counts the bytes that it holds: received ones,
// parsed header fields, and responses that the client has not read.
class client_connection {
public:
    enum class phase {
        receiving,  // a request, or waiting for one
        handling,   // an incoming_request exists
        responding, // evhttp writes the rest of the response
    };

    client_connection(client_connections& owner, bufferevent* stream,
                      std::uint64_t number);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    // Called once evhttp has created its object.
    void attach(const listener_limits& limits);
    void apply(const listener_limits& limits) const;

    // Follow a request from its end to the end of its response.
    void begin_handling(incoming_request* handler);
    void begin_responding(evhttp_request* request);

    evhttp_connection* handle() const { return handle_; }
    bufferevent* stream() const { return stream_; }
    std::uint64_t number() const { return number_; }
    phase current_phase() const { return phase_; }
    std::size_t held() const { return charge_.bytes(); }
    std::size_t message_bytes() const;
    time_point last_activity() const { return last_activity_; }
    bool is_receiving_body() const;
    bool has_output() const;

    // Returns whether the connection waits for its client.
    bool is_waiting() const;

    // Nothing more is counted for the connection, which will be closed.
    void mark_given_up(give_up_reason reason);
    std::optional<give_up_reason> given_up() const { return given_up_; }

private:
    static void on_input(evbuffer* buffer, const evbuffer_cb_info* info,
                         void* argument);
    static void on_output(evbuffer*, const evbuffer_cb_info* info,
                          void* argument);
    static void on_response_written(evhttp_request*, void* argument);
    static void on_closed(evhttp_connection*, void* argument);
    evbuffer* input() const;
    evbuffer* output() const;
    void check(evbuffer* buffer, std::size_t added);
    std::size_t head_memory() const;
    void count_unread();
    void set_receive_buffer(int bytes);
    void update();

    client_connections& owner_;
    bufferevent* stream_;
    evhttp_connection* handle_ = nullptr; // null until attach()
    std::uint64_t number_;
    evbuffer_cb_entry* input_callback_;
    evbuffer_cb_entry* output_callback_;
    incoming_request* handler_ = nullptr;
    phase phase_ = phase::receiving;
    message_syntax syntax_{request_rules{}};
    std::optional<give_up_reason> given_up_;
    bool has_large_buffer_ = false; // of the kernel
    std::size_t unread_bytes_ = 0;  // in the kernel
    memory_charge charge_;
    time_point last_activity_;
};

class client_connections {
public:
    client_connections(event_loop& loop, memory_budget& budget);
    client_connections(const client_connections&) = delete;
    client_connections& operator=(const client_connections&) = delete;
    ~client_connections();

    void set_limits(const listener_limits& limits);

    // The whole responses to requests that are not read to their end.
    void set_responses(std::string no_memory, std::string malformed);

    // Creates the stream of an accepted connection for evhttp.
    bufferevent* accept();

    client_connection& of(evhttp_request* request);
    void remove(bufferevent* stream);

    // Called when the head of a request declares the length of its body.
    void on_declared(client_connection& connection, std::size_t body_bytes);

    // Called when a connection holds more than before.
    void on_growth(client_connection& connection);

    // Refuses the request of the connection, or closes it.
    void give_up(client_connection& connection, give_up_reason reason);

    // Continues giving up a connection outside of evhttp's callbacks.
    void finish_later(const client_connection& connection);

    event_loop& loop() { return loop_; }
    memory_budget& budget() { return budget_; }
    std::size_t count_responding() const;

private:
    client_connection* find(bufferevent* stream, std::uint64_t number);
    void attach(bufferevent* stream, std::uint64_t number);
    void on_shortage(std::size_t message_bytes);
    client_connection* find_heaviest(std::size_t message_bytes);
    bool close_most_silent();
    void finish_giving_up(client_connection& connection);
    void send_and_close(client_connection& connection,
                        std::string_view response) const;
    void log_given_up(give_up_reason reason);

    event_loop& loop_;
    memory_budget& budget_;
    sigc::connection shortage_connection_;
    listener_limits limits_;
    std::size_t max_connections_ = 0;
    std::string no_memory_response_;
    std::string malformed_response_;
    std::uint64_t next_number_ = 1;
    std::unordered_map<bufferevent*, std::unique_ptr<client_connection>>
        connections_;
    std::size_t given_up_since_log_ = 0;
    std::optional<time_point> last_log_at_;
};

} // namespace detail
} // namespace lacewingbeam

#endif
