#include "connection_pool.hpp"

#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/number.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Least time between two looks for what is overdue; what ends in between is
// up to this late.
constexpr duration sweep_interval = milliseconds(25);

// Data that the other side does not acknowledge for this long breaks the
// connection; finds connections that went silent in between.
constexpr unsigned unacknowledged_ms = 2000;

// evhttp's own timeout only backs up the pool's.
constexpr int library_timeout_s = 3600;

bool may_have_body(int status, evhttp_cmd_type method) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified &&
           method != EVHTTP_REQ_HEAD;
}

void harden_socket(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof unacknowledged_ms);
}

} // namespace

std::optional<may_have_run_reason>
find_lost_reason(const exchange_failure& failure) {
    if (!failure.bytes_sent) {
        return std::nullopt;
    }
    switch (failure.problem) {
    case exchange_problem::malformed:
        return may_have_run_reason::answer_malformed;
    case exchange_problem::truncated:
        return may_have_run_reason::answer_truncated;
    case exchange_problem::stalled:
        return may_have_run_reason::answer_timeout;
    default:
        return may_have_run_reason::connection_lost;
    }
}

struct connection_pool::connection {
    connection_pool* pool = nullptr;
    std::string address;
    evhttp_connection* handle = nullptr;
    exchange* current = nullptr;
    time_point answered_at;
    time_point idle_since;
    bool hardened = false;
    bool condemned = false;

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
    exchange_id id{};
    connection_pool* pool = nullptr;
    connection* on = nullptr;
    evhttp_request* request = nullptr;
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    exchange_events events;
    time_point started_at;
    time_point active_at;
    bool bytes_sent = false;
    bool head_seen = false;
    bool unbounded = false; // the answer has no marked end
    bool paused = false;
    bool over = false; // no further events
    exchange_problem problem = exchange_problem::lost;
};

connection_pool::connection_pool(event_loop& loop, pool_options options)
    : loop_(loop), options_(options) {
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
    if (list.empty() || now - list.back()->answered_at > limits.proven_within) {
        return nullptr;
    }
    auto* chosen = list.back();
    list.pop_back();
    return chosen;
}

connection_pool::connection* connection_pool::open(const std::string& address) {
    const auto where = parse_endpoint(address);
    if (!where) {
        return nullptr;
    }
    auto created = std::make_unique<connection>();
    created->pool = this;
    created->address = address;
    created->handle = evhttp_connection_base_new(
        loop_.base(), nullptr, where->ip.c_str(), where->port);
    if (created->handle == nullptr) {
        return nullptr;
    }
    evhttp_connection_set_retries(created->handle, 0);
    evhttp_connection_set_timeout(created->handle, library_timeout_s);
    evhttp_connection_set_max_headers_size(
        created->handle, static_cast<ev_ssize_t>(options_.max_header_bytes));
    evhttp_connection_set_closecb(created->handle, on_close, created.get());
    evbuffer_add_cb(bufferevent_get_output(created->stream()), on_output,
                    created.get());
    auto* raw = created.get();
    connections_.emplace(raw, std::move(created));
    ++open_by_address_[address];
    return raw;
}

exchange_id connection_pool::start(const std::string& address,
                                   const http_request& request,
                                   const exchange_limits& limits,
                                   exchange_events events) {
    const auto id = exchange_id{next_id_++};
    auto created = std::make_unique<exchange>();
    auto& value = *created;
    value.id = id;
    value.pool = this;
    value.method = request.method;
    value.events = std::move(events);
    value.started_at = value.active_at = loop_.now();
    exchanges_.emplace(id, std::move(created));
    value.on = take_idle(address, limits);
    if (value.on == nullptr) {
        auto& idle = idle_[address];
        if (open_by_address_[address] >= limits.connections && !idle.empty()) {
            destroy_later(idle.front()); // unproven; makes room
        }
        if (open_by_address_[address] < limits.connections) {
            value.on = open(address);
        }
    }
    if (value.on == nullptr) {
        value.problem = exchange_problem::no_connection;
        fail_later(id);
        return id;
    }
    value.on->current = &value;
    sweep_by(value.started_at + options_.connect_timeout);
    auto* outgoing = evhttp_request_new(on_done, &value);
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
    evbuffer_add(evhttp_request_get_output_buffer(outgoing),
                 request.body.data(), request.body.size());
    value.request = outgoing;
    if (evhttp_make_request(value.on->handle, outgoing, request.method,
                            request.target.c_str()) != 0) {
        value.request = nullptr; // evhttp freed it
        value.problem = exchange_problem::connect;
        fail_later(id);
    }
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

// Frees the connection once libevent's callbacks have returned.
void connection_pool::destroy_later(connection* value) {
    if (value == nullptr || value->condemned) {
        return;
    }
    value->condemned = true;
    if (value->current != nullptr) {
        value->current->on = nullptr;
        value->current = nullptr;
    }
    std::erase(idle_[value->address], value);
    auto& open = open_by_address_[value->address];
    if (--open == 0) {
        open_by_address_.erase(value->address);
        idle_.erase(value->address);
    }
    const auto found = connections_.find(value);
    condemned_.push_back(std::move(found->second));
    connections_.erase(found);
    loop_.defer([this] {
        condemned_.clear();
        ended_.clear();
    });
}

void connection_pool::release(connection* value, bool reusable) {
    if (value == nullptr) {
        return;
    }
    value->current = nullptr;
    if (!reusable) {
        destroy_later(value);
        return;
    }
    value->answered_at = value->idle_since = loop_.now();
    idle_[value->address].push_back(value);
    sweep_by(value->idle_since + options_.idle_timeout);
}

void connection_pool::fail(exchange& value, exchange_problem problem) {
    if (value.over) {
        return;
    }
    value.over = true;
    const exchange_failure failure{problem, value.bytes_sent};
    const auto failed = value.events.failed;
    destroy_later(value.on);
    const auto found = exchanges_.find(value.id);
    ended_.push_back(std::move(found->second));
    exchanges_.erase(found);
    failed(failure);
}

void connection_pool::cancel(exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    found->second->over = true;
    destroy_later(found->second->on);
    ended_.push_back(std::move(found->second));
    exchanges_.erase(found);
}

void connection_pool::pause(exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() && found->second->on != nullptr) {
        found->second->paused = true;
        bufferevent_disable(found->second->on->stream(), EV_READ);
    }
}

void connection_pool::resume(exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() && found->second->paused &&
        found->second->on != nullptr) {
        found->second->paused = false;
        found->second->active_at = loop_.now();
        sweep_by(found->second->active_at + options_.stall_timeout);
        bufferevent_enable(found->second->on->stream(), EV_READ);
    }
}

void connection_pool::stop_keeping() {
    options_.idle_timeout = duration::zero();
    sweep_by(loop_.now());
}

void connection_pool::sweep_by(time_point due) {
    if (sweep_due_ && *sweep_due_ <= due) {
        return;
    }
    sweep_due_ = due;
    event_loop::schedule(sweep_timer_,
                         std::max(sweep_interval, due - loop_.now()));
}

// When an exchange is given up; nothing while it waits for its answer's head
// or for its reader.
std::optional<time_point>
connection_pool::given_up_at(const exchange& value) const {
    if (!value.bytes_sent) {
        return value.started_at + options_.connect_timeout;
    }
    if (value.head_seen && !value.paused) {
        return value.active_at + options_.stall_timeout;
    }
    return std::nullopt;
}

void connection_pool::sweep() {
    const auto now = loop_.now();
    sweep_due_.reset();
    std::vector<exchange*> overdue;
    for (const auto& [id, value] : exchanges_) {
        const auto due = given_up_at(*value);
        if (due && *due <= now) {
            overdue.push_back(value.get());
        } else if (due) {
            sweep_by(*due);
        }
    }
    for (auto* value : overdue) {
        fail(*value, value->bytes_sent ? exchange_problem::stalled
                                       : exchange_problem::connect);
    }
    std::vector<connection*> expired;
    for (const auto& [address, list] : idle_) {
        for (auto* item : list) {
            const auto due = item->idle_since + options_.idle_timeout;
            if (due <= now) {
                expired.push_back(item);
            } else {
                sweep_by(due);
            }
        }
    }
    for (auto* item : expired) {
        destroy_later(item);
    }
}

void connection_pool::on_output(evbuffer*, const evbuffer_cb_info* info,
                                void* argument) {
    auto* self = static_cast<connection*>(argument);
    if (info->n_deleted == 0 || self->condemned) {
        return;
    }
    if (!self->hardened) {
        self->hardened = true;
        harden_socket(bufferevent_getfd(self->stream()));
    }
    if (self->current != nullptr) {
        self->current->bytes_sent = true;
    }
}

int connection_pool::on_head(evhttp_request* request, void* argument) {
    auto* value = static_cast<exchange*>(argument);
    if (value->over) {
        return -1;
    }
    auto* pool = value->pool;
    value->head_seen = true;
    value->active_at = pool->loop_.now();
    pool->sweep_by(value->active_at + pool->options_.stall_timeout);
    http_answer_head head;
    head.status = evhttp_request_get_response_code(request);
    head.headers = copy_headers(evhttp_request_get_input_headers(request));
    const auto length = find_header(head.headers, "Content-Length");
    const auto coding = find_header(head.headers, "Transfer-Encoding");
    if (length) {
        head.content_length = to_number<std::size_t>(*length);
    }
    if (!may_have_body(head.status, value->method)) {
        head.content_length = 0;
    }
    value->unbounded =
        !head.content_length && !coding && !pool->options_.unmarked_end;
    if (value->unbounded) {
        value->problem = exchange_problem::truncated;
        return -1;
    }
    value->events.head(head);
    return value->over ? -1 : 0;
}

void connection_pool::on_chunk(evhttp_request* request, void* argument) {
    auto* value = static_cast<exchange*>(argument);
    if (value->over) {
        return;
    }
    value->active_at = value->pool->loop_.now();
    auto* buffer = evhttp_request_get_input_buffer(request);
    const auto size = evbuffer_get_length(buffer);
    if (size == 0) {
        return;
    }
    const auto* bytes = evbuffer_pullup(buffer, -1);
    value->events.body(
        std::string_view(reinterpret_cast<const char*>(bytes), size));
}

void connection_pool::on_error(evhttp_request_error error, void* argument) {
    auto* value = static_cast<exchange*>(argument);
    if (value->over || value->unbounded) {
        return;
    }
    const bool unreadable =
        error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG;
    if (unreadable) {
        value->problem = exchange_problem::malformed;
    } else if (value->head_seen) {
        value->problem = exchange_problem::truncated;
    } else if (!value->bytes_sent) {
        value->problem = exchange_problem::connect;
    }
}

void connection_pool::on_done(evhttp_request* request, void* argument) {
    auto* value = static_cast<exchange*>(argument);
    if (value->over) {
        return;
    }
    auto* pool = value->pool;
    const bool whole = request != nullptr && value->head_seen &&
                       evhttp_request_get_response_code(request) != 0;
    if (!whole) {
        if (!value->head_seen && !value->bytes_sent) {
            value->problem = exchange_problem::connect;
        }
        pool->fail(*value, value->problem);
        return;
    }
    const auto* closing = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Connection");
    const bool marked =
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           "Content-Length") != nullptr ||
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           "Transfer-Encoding") != nullptr;
    // Bytes behind the answer belong to no request.
    const bool clean =
        value->on != nullptr &&
        evbuffer_get_length(bufferevent_get_input(value->on->stream())) == 0;
    const bool reusable =
        marked && clean &&
        (closing == nullptr || !equal_ignoring_case(closing, "close"));
    value->over = true;
    const auto end = value->events.end;
    pool->release(value->on, reusable);
    const auto found = pool->exchanges_.find(value->id);
    pool->ended_.push_back(std::move(found->second));
    pool->exchanges_.erase(found);
    if (pool->ended_.size() == 1) {
        pool->loop_.defer([pool] { pool->ended_.clear(); });
    }
    end();
}

// evhttp resets a connection after a failure and when an idle one is closed
// by the other side; neither is used again.
void connection_pool::on_close(evhttp_connection*, void* argument) {
    auto* self = static_cast<connection*>(argument);
    if (self->current == nullptr) {
        self->pool->destroy_later(self);
    }
}

} // namespace lacewingbeam
