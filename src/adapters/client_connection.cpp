#include "client_connections.hpp"
#include "http_listener.hpp"

#include <algorithm>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lacewingbeam::detail {

namespace {

// A header field is held by evhttp, for the pending request and for an attempt.
constexpr std::size_t field_copies = 3;
constexpr std::size_t field_overhead_bytes = 256;

// Unread bytes of bodies that are at least so large are counted.
constexpr std::uint64_t counted_body = 64U << 10U;

// Clients with large bodies get a larger receive buffer while they send, which
// counts as if it were full.
constexpr std::uint64_t large_body = 256U << 10U;
constexpr int large_receive_buffer = 1 << 20;

// What is read ahead while a response is written.
constexpr std::size_t max_read_ahead = 64U << 10U;

} // namespace

client_connection::client_connection(client_connections& owner,
                                     bufferevent* stream, std::uint64_t number)
    : owner_(owner), stream_(stream), number_(number),
      input_callback_(evbuffer_add_cb(input(), on_input, this)),
      output_callback_(evbuffer_add_cb(output(), on_output, this)),
      charge_(owner.budget()), last_activity_(owner.loop().now()) {}

client_connection::~client_connection() {
    evbuffer_remove_cb_entry(input(), input_callback_);
    evbuffer_remove_cb_entry(output(), output_callback_);
}

evbuffer* client_connection::input() const {
    return bufferevent_get_input(stream_);
}

evbuffer* client_connection::output() const {
    return bufferevent_get_output(stream_);
}

void client_connection::attach(const listener_limits& limits) {
    void* handle = nullptr; // evhttp's argument of its own callbacks
    bufferevent_getcb(stream_, nullptr, nullptr, nullptr, &handle);
    handle_ = static_cast<evhttp_connection*>(handle);
    evhttp_connection_set_closecb(handle_, on_closed, this);
    apply(limits);
}

void client_connection::apply(const listener_limits& limits) const {
    if (handle_ != nullptr) {
        evhttp_connection_set_max_headers_size(
            handle_, static_cast<ev_ssize_t>(limits.max_header_bytes));
        evhttp_connection_set_max_body_size(
            handle_, static_cast<ev_ssize_t>(limits.max_body_bytes));
    }
}

void client_connection::begin_handling(incoming_request* handler) {
    handler_ = handler;
    phase_ = phase::handling;
    unread_bytes_ = 0;
    if (has_large_buffer_) {
        has_large_buffer_ = false;
        set_receive_buffer(receive_buffer_bytes);
    }
    bufferevent_setwatermark(stream_, EV_READ, 0, max_read_ahead);
    update();
}

void client_connection::begin_responding(evhttp_request* request) {
    handler_ = nullptr;
    phase_ = phase::responding;
    last_activity_ = owner_.loop().now();
    evhttp_request_set_on_complete_cb(request, on_response_written, this);
}

void client_connection::on_response_written(evhttp_request*, void* argument) {
    auto* self = static_cast<client_connection*>(argument);
    self->phase_ = phase::receiving;
    bufferevent_setwatermark(self->stream_, EV_READ, 0, 0);
    if (self->given_up_) {
        self->owner_.finish_later(*self);
    }
    self->update();
}

std::size_t client_connection::message_bytes() const {
    return syntax_.head_bytes() +
           static_cast<std::size_t>(syntax_.body_bytes());
}

bool client_connection::is_receiving_body() const {
    return phase_ == phase::receiving && syntax_.is_in_body();
}

bool client_connection::has_output() const {
    return evbuffer_get_length(output()) > 0;
}

bool client_connection::is_waiting() const {
    return phase_ != phase::handling && !given_up_ && handle_ != nullptr;
}

void client_connection::mark_given_up(give_up_reason reason) {
    given_up_ = reason;
    charge_.set(0);
}

void client_connection::on_input(evbuffer* buffer, const evbuffer_cb_info* info,
                                 void* argument) {
    auto* self = static_cast<client_connection*>(argument);
    if (info->n_added > 0 && !self->given_up_) {
        self->last_activity_ = self->owner_.loop().now();
        self->check(buffer, info->n_added);
    }
    self->update();
}

// Runs before evhttp parses the bytes.
void client_connection::check(evbuffer* buffer, std::size_t added) {
    const bool was_in_body = syntax_.is_in_body();
    if (!accept_last_bytes(syntax_, buffer, added)) {
        owner_.give_up(*this, give_up_reason::malformed);
        return;
    }
    const auto declared = syntax_.declared_length();
    if (!was_in_body && is_receiving_body() && declared >= large_body) {
        owner_.on_declared(*this, static_cast<std::size_t>(*declared));
    }
    count_unread();
}

void client_connection::on_output(evbuffer*, const evbuffer_cb_info* info,
                                  void* argument) {
    auto* self = static_cast<client_connection*>(argument);
    // A response that is written at once leaves nothing to wait for.
    if (info->n_deleted > 0 && self->has_output()) {
        self->last_activity_ = self->owner_.loop().now();
    }
    self->update();
}

std::size_t client_connection::head_memory() const {
    return syntax_.header_fields() * field_overhead_bytes +
           syntax_.head_bytes() * field_copies;
}

void client_connection::count_unread() {
    if (!is_receiving_body() || syntax_.body_bytes() < counted_body) {
        return;
    }
    int unread = 0;
    if (ioctl(bufferevent_getfd(stream_), FIONREAD, &unread) == 0) {
        unread_bytes_ = static_cast<std::size_t>(unread);
    }
    const auto& budget = owner_.budget();
    const bool has_room = budget.held() < budget.limit_for(message_bytes()) / 2;
    if (syntax_.body_bytes() >= large_body && !has_large_buffer_ && has_room) {
        has_large_buffer_ = true;
        set_receive_buffer(large_receive_buffer);
    }
    if (has_large_buffer_) {
        unread_bytes_ =
            std::max<std::size_t>(unread_bytes_, large_receive_buffer);
    }
}

void client_connection::set_receive_buffer(int bytes) {
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_RCVBUF, &bytes,
               sizeof bytes);
}

void client_connection::update() {
    if (given_up_) {
        return;
    }
    const auto received =
        std::max(static_cast<std::size_t>(syntax_.body_bytes()),
                 evbuffer_get_length(input()));
    const auto bytes = received + head_memory() + unread_bytes_ +
                       evbuffer_get_length(output());
    const bool grew = bytes > charge_.bytes();
    charge_.set(bytes);
    if (grew) {
        owner_.on_growth(*this);
    }
}

void client_connection::on_closed(evhttp_connection*, void* argument) {
    auto* self = static_cast<client_connection*>(argument);
    auto* handler = self->handler_;
    self->owner_.remove(self->stream_);
    if (handler != nullptr) {
        handler->on_connection_closed();
    }
}

} // namespace lacewingbeam::detail
