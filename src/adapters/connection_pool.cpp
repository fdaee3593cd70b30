#include "connection_pool_state.hpp"
#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/number.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Minimum interval between timeout checks; a timeout fires up to this much
// late.
constexpr duration sweep_interval = milliseconds(25);

// TCP_USER_TIMEOUT: the kernel drops a connection whose data stays
// unacknowledged for this long. Detects peers that disappeared without a reset.
constexpr unsigned tcp_user_timeout_ms = 2000;

// Fallback only: the pool enforces its own timeouts.
constexpr int evhttp_timeout_s = 3600;

bool may_have_body(int status, evhttp_cmd_type method) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified &&
           method != EVHTTP_REQ_HEAD;
}

void configure_socket(int fd, int receive_buffer_bytes) {
    if (receive_buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof receive_buffer_bytes);
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
               sizeof tcp_user_timeout_ms);
}

} // namespace

connection_pool::connection_pool(event_loop& loop, pool_options options)
    : loop_(loop), options_(std::move(options)) {
    sweep_timer_ = loop.make_timer([this] { sweep(); });
}

connection_pool::~connection_pool() = default;

connection_pool::connection*
connection_pool::take_idle(const std::string& address,
                           const exchange_limits& limits) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    const auto now = loop_.now();
    auto& list = found->second;
    if (list.empty() ||
        now - list.back()->last_response_at > limits.max_reuse_age) {
        return nullptr;
    }
    auto* chosen = list.back();
    list.pop_back();
    return chosen;
}

connection_pool::connection* connection_pool::open(const std::string& address) {
    const auto remote = parse_endpoint(address);
    if (!remote) {
        return nullptr;
    }
    auto created = std::make_unique<connection>();
    created->pool = this;
    created->address = address;
    if (options_.memory != nullptr) {
        created->charge = memory_charge(*options_.memory);
    }
    created->handle = evhttp_connection_base_new(
        loop_.base(), nullptr, remote->ip.c_str(), remote->port);
    if (created->handle == nullptr) {
        return nullptr;
    }
    if (!options_.source_ip.empty()) {
        evhttp_connection_set_local_address(created->handle,
                                            options_.source_ip.c_str());
    }
    evhttp_connection_set_retries(created->handle, 0);
    evhttp_connection_set_timeout(created->handle, evhttp_timeout_s);
    evhttp_connection_set_max_headers_size(
        created->handle, static_cast<ev_ssize_t>(options_.max_header_bytes));
    evhttp_connection_set_closecb(created->handle, on_close, created.get());
    evbuffer_add_cb(bufferevent_get_output(created->stream()), on_output,
                    created.get());
    evbuffer_add_cb(bufferevent_get_input(created->stream()), on_input,
                    created.get());
    auto* opened = created.get();
    connections_.emplace(opened, std::move(created));
    ++open_by_address_[address];
    return opened;
}

exchange_id connection_pool::start(const std::string& address,
                                   const http_request& request,
                                   const exchange_limits& limits,
                                   exchange_events events) {
    const auto id = exchange_id{next_id_++};
    auto created = std::make_unique<exchange>(request.method);
    auto& pending = *created;
    pending.id = id;
    pending.pool = this;
    pending.events = std::move(events);
    pending.started_at = pending.last_activity = loop_.now();
    exchanges_.emplace(id, std::move(created));
    pending.conn = take_idle(address, limits);
    if (pending.conn == nullptr) {
        auto& idle = idle_[address];
        if (open_by_address_[address] >= limits.max_connections &&
            !idle.empty()) {
            destroy_later(idle.front()); // too old to reuse; frees a slot
        }
        if (open_by_address_[address] < limits.max_connections) {
            pending.conn = open(address);
        }
    }
    if (pending.conn == nullptr) {
        pending.problem = exchange_problem::pool_exhausted;
        fail_later(id);
        return id;
    }
    pending.conn->current = &pending;
    schedule_sweep(pending.started_at + options_.connect_timeout);
    auto* outgoing = evhttp_request_new(on_done, &pending);
    evhttp_request_set_header_cb(outgoing, on_head);
    evhttp_request_set_chunked_cb(outgoing, on_chunk);
    evhttp_request_set_error_cb(outgoing, on_error);
    auto* headers = evhttp_request_get_output_headers(outgoing);
    if (!find_header(request.headers, "Host")) {
        evhttp_add_header(headers, "Host", address.c_str());
    }
    for (const auto& field : request.headers) {
        evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
    }
    request.body.append_to(evhttp_request_get_output_buffer(outgoing));
    pending.request = outgoing;
    if (evhttp_make_request(pending.conn->handle, outgoing, request.method,
                            request.target.c_str()) != 0) {
        pending.request = nullptr; // evhttp freed it
        pending.problem = exchange_problem::connect_failed;
        fail_later(id);
    }
    pending.starting = false;
    return id;
}

void connection_pool::fail_later(exchange_id id) {
    loop_.defer([this, id] {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end()) {
            fail(*found->second, found->second->problem);
        }
    });
}

// Frees the connection after the current libevent callback has returned.
void connection_pool::destroy_later(connection* conn) {
    if (conn == nullptr || conn->closing) {
        return;
    }
    conn->closing = true;
    if (conn->current != nullptr) {
        conn->current->conn = nullptr;
        conn->current = nullptr;
    }
    std::erase(idle_[conn->address], conn);
    auto& open = open_by_address_[conn->address];
    if (--open == 0) {
        open_by_address_.erase(conn->address);
        idle_.erase(conn->address);
    }
    const auto found = connections_.find(conn);
    closing_connections_.push_back(std::move(found->second));
    connections_.erase(found);
    loop_.defer([this] {
        closing_connections_.clear();
        ended_exchanges_.clear();
    });
}

void connection_pool::release(connection* conn, bool reusable) {
    if (conn == nullptr) {
        return;
    }
    conn->current = nullptr;
    if (!reusable) {
        destroy_later(conn);
        return;
    }
    conn->last_response_at = conn->idle_since = loop_.now();
    idle_[conn->address].push_back(conn);
    schedule_sweep(conn->idle_since + options_.idle_timeout);
}

void connection_pool::fail(exchange& pending, exchange_problem problem) {
    if (pending.ended) {
        return;
    }
    pending.ended = true;
    const exchange_failure failure{problem, pending.bytes_sent};
    const auto failed = pending.events.failed;
    destroy_later(pending.conn);
    const auto found = exchanges_.find(pending.id);
    ended_exchanges_.push_back(std::move(found->second));
    exchanges_.erase(found);
    failed(failure);
}

void connection_pool::cancel(exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    found->second->ended = true;
    destroy_later(found->second->conn);
    ended_exchanges_.push_back(std::move(found->second));
    exchanges_.erase(found);
}

void connection_pool::pause(exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() && found->second->conn != nullptr) {
        found->second->paused = true;
        bufferevent_disable(found->second->conn->stream(), EV_READ);
    }
}

void connection_pool::resume(exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() && found->second->paused &&
        found->second->conn != nullptr) {
        found->second->paused = false;
        found->second->last_activity = loop_.now();
        schedule_sweep(found->second->last_activity + options_.stall_timeout);
        bufferevent_enable(found->second->conn->stream(), EV_READ);
    }
}

void connection_pool::disable_keep_alive() {
    options_.idle_timeout = duration::zero();
    schedule_sweep(loop_.now());
}

void connection_pool::schedule_sweep(time_point due) {
    if (sweep_due_ && *sweep_due_ <= due) {
        return;
    }
    sweep_due_ = due;
    event_loop::schedule(sweep_timer_,
                         std::max(sweep_interval, due - loop_.now()));
}

// Returns when the exchange times out. There is no deadline while it waits for
// the response head (the caller's own timeout applies) or is paused.
std::optional<time_point>
connection_pool::find_deadline(const exchange& pending) const {
    if (!pending.bytes_sent) {
        return pending.started_at + options_.connect_timeout;
    }
    if (pending.head_received && !pending.paused) {
        return pending.last_activity + options_.stall_timeout;
    }
    return std::nullopt;
}

void connection_pool::sweep() {
    const auto now = loop_.now();
    sweep_due_.reset();
    std::vector<exchange*> overdue;
    for (const auto& [id, pending] : exchanges_) {
        const auto due = find_deadline(*pending);
        if (due && *due <= now) {
            overdue.push_back(pending.get());
        } else if (due) {
            schedule_sweep(*due);
        }
    }
    for (auto* pending : overdue) {
        fail(*pending, pending->bytes_sent ? exchange_problem::stalled
                                           : exchange_problem::connect_failed);
    }
    std::vector<connection*> expired;
    for (const auto& [address, list] : idle_) {
        for (auto* item : list) {
            const auto due = item->idle_since + options_.idle_timeout;
            if (due <= now) {
                expired.push_back(item);
            } else {
                schedule_sweep(due);
            }
        }
    }
    for (auto* item : expired) {
        destroy_later(item);
    }
}

// Runs before evhttp parses the bytes, so nothing of an invalid response is
// reported.
void connection_pool::on_input(evbuffer* buffer, const evbuffer_cb_info* info,
                               void* argument) {
    auto* self = static_cast<connection*>(argument);
    auto* pending = self->current;
    self->charge.set(evbuffer_get_length(buffer));
    if (info->n_added == 0 || pending == nullptr) {
        return;
    }
    const auto limit = self->pool->options_.max_unprocessed_bytes;
    auto* memory = self->pool->options_.memory;
    const bool too_long =
        (evbuffer_get_length(buffer) > limit && !pending->paused) ||
        (memory != nullptr && !memory->make_room(0));
    if (!accept_last_bytes(pending->syntax, buffer, info->n_added) ||
        too_long) {
        pending->malformed = true;
        pending->problem = exchange_problem::malformed;
        self->pool->fail_later(pending->id);
    }
}

void connection_pool::on_output(evbuffer*, const evbuffer_cb_info* info,
                                void* argument) {
    auto* self = static_cast<connection*>(argument);
    if (info->n_deleted == 0 || self->closing) {
        return;
    }
    if (!self->socket_configured) {
        self->socket_configured = true;
        configure_socket(bufferevent_getfd(self->stream()),
                         self->pool->options_.receive_buffer_bytes);
    }
    if (self->current != nullptr) {
        self->current->bytes_sent = true;
    }
}

int connection_pool::on_head(evhttp_request* request, void* argument) {
    auto* pending = static_cast<exchange*>(argument);
    if (pending->ended || pending->malformed) {
        return -1;
    }
    auto* pool = pending->pool;
    pending->head_received = true;
    pending->last_activity = pool->loop_.now();
    pool->schedule_sweep(pending->last_activity + pool->options_.stall_timeout);
    http_response_head head;
    head.status = evhttp_request_get_response_code(request);
    head.headers = copy_headers(evhttp_request_get_input_headers(request));
    const auto length = find_header(head.headers, "Content-Length");
    const auto coding = find_header(head.headers, "Transfer-Encoding");
    if (length) {
        head.content_length = to_number<std::size_t>(*length);
    }
    if (!may_have_body(head.status, pending->method)) {
        head.content_length = 0;
    }
    pending->lacks_framing = !head.content_length && !coding &&
                             !pool->options_.allow_close_delimited;
    if (pending->lacks_framing) {
        pending->problem = exchange_problem::truncated;
        return -1;
    }
    pending->events.head(head);
    return pending->ended ? -1 : 0;
}

void connection_pool::on_chunk(evhttp_request* request, void* argument) {
    auto* pending = static_cast<exchange*>(argument);
    if (pending->ended || pending->malformed) {
        return;
    }
    pending->last_activity = pending->pool->loop_.now();
    auto* buffer = evhttp_request_get_input_buffer(request);
    const auto size = evbuffer_get_length(buffer);
    if (size == 0) {
        return;
    }
    const auto* bytes = evbuffer_pullup(buffer, -1);
    pending->events.body(
        std::string_view(reinterpret_cast<const char*>(bytes), size));
}

void connection_pool::on_error(evhttp_request_error error, void* argument) {
    auto* pending = static_cast<exchange*>(argument);
    if (pending->ended || pending->malformed || pending->lacks_framing) {
        return;
    }
    const bool malformed =
        error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG;
    if (malformed) {
        pending->problem = exchange_problem::malformed;
    } else if (pending->head_received) {
        pending->problem = exchange_problem::truncated;
    } else if (!pending->bytes_sent) {
        pending->problem = exchange_problem::connect_failed;
    }
}

void connection_pool::on_done(evhttp_request* request, void* argument) {
    auto* pending = static_cast<exchange*>(argument);
    if (pending->ended) {
        return;
    }
    auto* pool = pending->pool;
    const bool complete = request != nullptr && pending->head_received &&
                          !pending->malformed &&
                          evhttp_request_get_response_code(request) != 0;
    if (!complete) {
        if (!pending->malformed && !pending->head_received &&
            !pending->bytes_sent) {
            pending->problem = exchange_problem::connect_failed;
        }
        if (pending->starting) {
            pool->fail_later(pending->id);
        } else {
            pool->fail(*pending, pending->problem);
        }
        return;
    }
    const auto* connection_header = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Connection");
    const bool framed =
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           "Content-Length") != nullptr ||
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           "Transfer-Encoding") != nullptr;
    // Bytes after the response belong to no request, so the connection cannot
    // be reused.
    const bool no_trailing_bytes =
        pending->conn != nullptr &&
        evbuffer_get_length(bufferevent_get_input(pending->conn->stream())) ==
            0;
    const bool reusable = framed && no_trailing_bytes &&
                          (connection_header == nullptr ||
                           !equal_ignoring_case(connection_header, "close"));
    pending->ended = true;
    const auto end = pending->events.end;
    pool->release(pending->conn, reusable);
    const auto found = pool->exchanges_.find(pending->id);
    pool->ended_exchanges_.push_back(std::move(found->second));
    pool->exchanges_.erase(found);
    if (pool->ended_exchanges_.size() == 1) {
        pool->loop_.defer([pool] { pool->ended_exchanges_.clear(); });
    }
    end();
}

// evhttp calls this after a failure and when the server closes an idle
// connection. The connection is not reused in either case.
void connection_pool::on_close(evhttp_connection*, void* argument) {
    auto* self = static_cast<connection*>(argument);
    if (self->current == nullptr) {
        self->pool->destroy_later(self);
    }
}

} // namespace lacewingbeam
