#ifndef LACEWINGBEAM_ADAPTERS_CONNECTION_POOL_STATE_HPP
#define LACEWINGBEAM_ADAPTERS_CONNECTION_POOL_STATE_HPP

#include "connection_pool.hpp"
#include "message_syntax.hpp"

// The connections and exchanges of a connection_pool.
namespace lacewingbeam {

struct connection_pool::connection {
    connection_pool* pool = nullptr;
    std::string address;
    evhttp_connection* handle = nullptr;
    exchange* current = nullptr;
    time_point last_response_at;
    time_point idle_since;
    bool socket_configured = false;
    bool closing = false;
    memory_charge charge; // for what evhttp has not processed

    connection() = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() {
        if (handle != nullptr) {
            evhttp_connection_set_closecb(handle, nullptr, nullptr);
            evhttp_connection_free(handle);
        }
    }

    bufferevent* stream() const {
        return evhttp_connection_get_bufferevent(handle);
    }
};

struct connection_pool::exchange {
    explicit exchange(evhttp_cmd_type request_method)
        : method(request_method),
          syntax(response_rules{method == EVHTTP_REQ_HEAD}) {}

    exchange_id id{};
    connection_pool* pool = nullptr;
    connection* conn = nullptr;
    evhttp_request* request = nullptr;
    evhttp_cmd_type method;
    exchange_events events;
    time_point started_at;
    time_point last_activity;
    bool starting = true; // start() has not returned yet
    bool bytes_sent = false;
    bool head_received = false;
    bool lacks_framing = false; // the end of the body is not declared
    bool malformed = false;     // which evhttp may not notice
    message_syntax syntax;
    bool paused = false;
    bool ended = false; // no further callbacks
    exchange_problem problem = exchange_problem::connection_lost;
};

} // namespace lacewingbeam

#endif
