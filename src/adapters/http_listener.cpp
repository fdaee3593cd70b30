#include "http_listener.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewingbeam {

namespace {

constexpr int status_bad_request = 400;

constexpr int allowed_methods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

struct buffer_deleter {
    void operator()(evbuffer* value) const { evbuffer_free(value); }
};
using buffer_handle = std::unique_ptr<evbuffer, buffer_deleter>;

buffer_handle make_buffer(std::string_view content) {
    buffer_handle buffer(evbuffer_new());
    evbuffer_add(buffer.get(), content.data(), content.size());
    return buffer;
}

// A response that is written without evhttp. The connection is closed after it.
std::string response_text(const refusal& response) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                       " Refused\r\nConnection: close\r\nContent-Length: " +
                       std::to_string(response.body.size()) + "\r\n";
    for (const auto& field : response.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    return text + "\r\n" + response.body;
}

std::uint16_t bound_port(int fd) {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

} // namespace

incoming_request::incoming_request(const event_loop& loop,
                                   detail::client_connections& connections,
                                   evhttp_request* request)
    : connections_(connections), request_(request) {
    connections.of(request).begin_handling(this);
    auto* connection = evhttp_request_get_connection(request);
    const int fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // evhttp does not read from the connection until the response is sent. This
    // event detects that the client has closed without consuming a pipelined
    // request.
    close_event_.reset(
        event_new(loop.base(), fd, EV_CLOSED, on_peer_closed, this));
    event_add(close_event_.get(), nullptr);
}

incoming_request::~incoming_request() {
    abort();
}

evhttp_cmd_type incoming_request::method() const {
    return evhttp_request_get_command(request_);
}

std::string_view incoming_request::target() const {
    return evhttp_request_get_uri(request_);
}

header_list incoming_request::headers() const {
    return copy_headers(evhttp_request_get_input_headers(request_));
}

message_body incoming_request::take_body() {
    return message_body::take(evhttp_request_get_input_buffer(request_));
}

std::string incoming_request::peer_address() const {
    char* address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request_),
                               &address, &port);
    return address == nullptr ? std::string() : std::string(address);
}

void incoming_request::add_headers(const header_list& headers) {
    auto* out = evhttp_request_get_output_headers(request_);
    for (const auto& field : headers) {
        evhttp_add_header(out, field.name.c_str(), field.value.c_str());
    }
}

// Returns ownership to evhttp, which sends the remaining data.
void incoming_request::release() {
    close_event_.reset();
    connections_.of(request_).begin_responding(request_);
    request_ = nullptr;
}

void incoming_request::reply(int status, const header_list& headers,
                             std::string_view body) {
    if (request_ == nullptr) {
        return;
    }
    add_headers(headers);
    auto* request = request_;
    if (connections_.of(request).given_up()) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Connection", "close");
    }
    release();
    const auto buffer = make_buffer(body);
    evhttp_send_reply(request, status, nullptr, buffer.get());
}

void incoming_request::start(int status, const header_list& headers) {
    if (request_ == nullptr) {
        return;
    }
    started_ = true;
    add_headers(headers);
    evhttp_send_reply_start(request_, status, nullptr);
}

void incoming_request::send(std::string_view piece) {
    if (request_ == nullptr || piece.empty()) {
        return;
    }
    const auto buffer = make_buffer(piece);
    evhttp_send_reply_chunk_with_cb(request_, buffer.get(), on_written, this);
}

void incoming_request::finish() {
    if (request_ == nullptr) {
        return;
    }
    auto* request = request_;
    release();
    evhttp_send_reply_end(request);
}

void incoming_request::abort() {
    if (request_ != nullptr) {
        detach_connection(true);
    }
}

std::size_t incoming_request::unsent_bytes() const {
    if (request_ == nullptr) {
        return 0;
    }
    auto* connection = evhttp_request_get_connection(request_);
    auto* stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(stream));
}

void incoming_request::detach_connection(bool free_connection) {
    close_event_.reset();
    auto* request = request_;
    request_ = nullptr;
    auto* connection = evhttp_request_get_connection(request);
    if (connection == nullptr) {
        evhttp_request_free(request);
    } else if (free_connection) {
        connections_.of(request).begin_responding(request);
        evhttp_connection_free(connection);
    }
}

void incoming_request::on_connection_closed() {
    if (request_ == nullptr) {
        return;
    }
    detach_connection(false);
    disconnected.emit();
}

void incoming_request::on_peer_closed(evutil_socket_t, short, void* argument) {
    auto* self = static_cast<incoming_request*>(argument);
    if (self->request_ == nullptr) {
        return;
    }
    self->detach_connection(true);
    self->disconnected.emit();
}

void incoming_request::on_written(evhttp_connection*, void* argument) {
    auto* self = static_cast<incoming_request*>(argument);
    if (self->request_ != nullptr) {
        self->drained.emit();
    }
}

http_listener::http_listener(event_loop& loop, memory_budget& budget,
                             const std::string& ip, std::uint16_t port,
                             const listener_limits& limits)
    : loop_(loop), connections_(loop, budget),
      server_(evhttp_new(loop.base())) {
    set_refusal({});
    evhttp_set_allowed_methods(server_, allowed_methods);
    evhttp_set_bevcb(server_, on_accept, this);
    set_limits(limits);
    evhttp_set_default_content_type(server_, nullptr);
    evhttp_set_gencb(server_, on_request, this);
    socket_ = evhttp_bind_socket_with_handle(server_, ip.c_str(), port);
    if (socket_ == nullptr) {
        evhttp_free(server_);
        throw error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    const int fd = evhttp_bound_socket_get_fd(socket_);
    // Accepted connections inherit it.
    const int size = detail::receive_buffer_bytes;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    port_ = bound_port(fd);
}

void http_listener::set_limits(const listener_limits& limits) {
    connections_.set_limits(limits);
    const auto timeout = to_timeval(limits.idle_timeout);
    evhttp_set_timeout_tv(server_, &timeout);
}

http_listener::~http_listener() {
    evhttp_free(server_);
}

void http_listener::set_refusal(refusal no_memory) {
    connections_.set_responses(response_text(no_memory),
                               response_text({status_bad_request, {}, {}}));
    no_memory_ = std::move(no_memory);
}

bufferevent* http_listener::on_accept(event_base*, void* argument) {
    return static_cast<http_listener*>(argument)->connections_.accept();
}

void http_listener::on_request(evhttp_request* request, void* argument) {
    auto* self = static_cast<http_listener*>(argument);
    const auto given_up = self->connections_.of(request).given_up();
    const auto incoming = std::make_shared<incoming_request>(
        self->loop_, self->connections_, request);
    if (given_up) {
        self->refuse(*incoming, *given_up);
    } else {
        self->request.emit(incoming);
    }
}

void http_listener::refuse(incoming_request& incoming,
                           detail::give_up_reason reason) {
    if (reason == detail::give_up_reason::malformed) {
        incoming.reply(status_bad_request, {}, "");
    } else {
        incoming.reply(no_memory_.status, no_memory_.headers, no_memory_.body);
    }
}

} // namespace lacewingbeam
