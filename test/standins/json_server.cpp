#include "json_server.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <iostream>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace standin {

namespace {

std::function<void(request_ptr)> request_handler;

struct delayed_call {
    std::function<void()> function;
};

void run_delayed(evutil_socket_t, short, void* argument) {
    const std::unique_ptr<delayed_call> call(
        static_cast<delayed_call*>(argument));
    call->function();
}

void on_request(evhttp_request* handle, void*) {
    request_handler(std::make_shared<request>(handle));
}

void on_signal(evutil_socket_t, short, void*) {
    event_base_loopbreak(event_loop());
}

void watch_signal(int number) {
    auto* watch = evsignal_new(event_loop(), number, on_signal, nullptr);
    event_add(watch, nullptr);
}

} // namespace

event_base* event_loop() {
    static event_base* const base = [] {
        auto* config = event_config_new();
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
        auto* created = event_base_new_with_config(config);
        event_config_free(config);
        return created;
    }();
    return base;
}

void run_after(milliseconds delay, std::function<void()> function) {
    timeval time{};
    time.tv_sec = delay.count() / 1000;
    time.tv_usec = (delay.count() % 1000) * 1000;
    event_base_once(event_loop(), -1, EV_TIMEOUT, run_delayed,
                    new delayed_call{std::move(function)}, &time);
}

request::request(evhttp_request* handle) : handle_(handle) {
    auto* connection = evhttp_request_get_connection(handle);
    evhttp_connection_set_closecb(connection, on_connection_closed, this);
    const int fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    close_event_ = event_new(event_loop(), fd, EV_CLOSED, on_peer_closed, this);
    event_add(close_event_, nullptr);
}

request::~request() {
    close_connection();
}

std::string request::method() const {
    switch (evhttp_request_get_command(handle_)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

std::string request::path() const {
    const auto* uri = evhttp_request_get_evhttp_uri(handle_);
    const char* text = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    return text == nullptr ? std::string("/") : std::string(text);
}

std::string request::query(const std::string& name) const {
    const auto* uri = evhttp_request_get_evhttp_uri(handle_);
    const char* text = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    if (text == nullptr) {
        return {};
    }
    evkeyvalq fields{};
    evhttp_parse_query_str(text, &fields);
    const char* value = evhttp_find_header(&fields, name.c_str());
    std::string found = value == nullptr ? "" : value;
    evhttp_clear_headers(&fields);
    return found;
}

std::string request::header(const std::string& name) const {
    const char* value = evhttp_find_header(
        evhttp_request_get_input_headers(handle_), name.c_str());
    return value == nullptr ? std::string() : std::string(value);
}

std::string request::body() const {
    auto* buffer = evhttp_request_get_input_buffer(handle_);
    std::string content(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, content.data(), content.size());
    return content;
}

json request::body_json() const {
    return json::parse(body(), nullptr, false);
}

void request::add_header(const std::string& name, const std::string& value) {
    if (handle_ != nullptr) {
        evhttp_add_header(evhttp_request_get_output_headers(handle_),
                          name.c_str(), value.c_str());
    }
}

void request::detach_callbacks() {
    if (close_event_ != nullptr) {
        event_free(close_event_);
        close_event_ = nullptr;
    }
    auto* connection = evhttp_request_get_connection(handle_);
    if (connection != nullptr) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
}

void request::reply(int status, const std::string& body) {
    if (handle_ == nullptr) {
        return;
    }
    detach_callbacks();
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(handle_, status, nullptr, buffer);
    evbuffer_free(buffer);
    handle_ = nullptr;
}

void request::reply_json(int status, const json& body) {
    add_header("Content-Type", "application/json");
    reply(status, body.dump() + "\n");
}

void request::reply_with_extra_bytes(int status, const std::string& body,
                                     const std::string& extra_bytes) {
    if (handle_ == nullptr) {
        return;
    }
    auto* connection = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(handle_));
    reply(status, body);
    bufferevent_write(connection, extra_bytes.data(), extra_bytes.size());
}

void request::send_raw_and_close(const std::string& bytes) {
    if (handle_ == nullptr) {
        return;
    }
    auto* connection = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(handle_));
    send(bufferevent_getfd(connection), bytes.data(), bytes.size(),
         MSG_NOSIGNAL);
    close_connection();
}

void request::start_reply(int status) {
    if (handle_ != nullptr) {
        evhttp_send_reply_start(handle_, status, nullptr);
    }
}

void request::send_chunk(const std::string& chunk) {
    if (handle_ == nullptr) {
        return;
    }
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, chunk.data(), chunk.size());
    evhttp_send_reply_chunk(handle_, buffer);
    evbuffer_free(buffer);
}

void request::finish_reply() {
    if (handle_ == nullptr) {
        return;
    }
    detach_callbacks();
    evhttp_send_reply_end(handle_);
    handle_ = nullptr;
}

void request::close_connection() {
    if (handle_ == nullptr) {
        return;
    }
    detach_callbacks();
    auto* connection = evhttp_request_get_connection(handle_);
    if (connection != nullptr) {
        evhttp_connection_free(connection);
    } else {
        evhttp_request_free(handle_);
    }
    handle_ = nullptr;
}

void request::on_connection_closed(evhttp_connection*, void* argument) {
    auto* self = static_cast<request*>(argument);
    if (self->handle_ == nullptr) {
        return;
    }
    self->detach_callbacks();
    self->handle_ = nullptr;
    if (self->on_disconnect) {
        self->on_disconnect();
    }
}

void request::on_peer_closed(evutil_socket_t, short, void* argument) {
    auto* self = static_cast<request*>(argument);
    if (self->handle_ == nullptr) {
        return;
    }
    self->close_connection();
    if (self->on_disconnect) {
        self->on_disconnect();
    }
}

std::uint16_t serve(std::uint16_t port,
                    std::function<void(request_ptr)> handler) {
    request_handler = std::move(handler);
    auto* server = evhttp_new(event_loop());
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                           EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                           EVHTTP_REQ_HEAD);
    evhttp_set_gencb(server, on_request, nullptr);
    auto* socket = evhttp_bind_socket_with_handle(server, "127.0.0.1", port);
    if (socket == nullptr) {
        throw std::runtime_error("cannot listen on port " +
                                 std::to_string(port));
    }
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(socket),
                reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void run(std::uint16_t port) {
    std::signal(SIGPIPE, SIG_IGN);
    watch_signal(SIGTERM);
    watch_signal(SIGINT);
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    event_base_dispatch(event_loop());
}

} // namespace standin
