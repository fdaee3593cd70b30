#include "client_connections.hpp"

#include "event_log.hpp"
#include "http_listener.hpp"

#include <algorithm>
#include <sys/resource.h>
#include <sys/socket.h>

namespace lacewingbeam::detail {

namespace {

// The rest is for connections to servers and peers, and for files.
constexpr rlim_t descriptor_parts = 4;
constexpr rlim_t client_descriptor_parts = 3;

// A client that moves no byte for so long is given up before others.
constexpr duration stall_time = std::chrono::seconds(1);

constexpr duration min_log_interval = std::chrono::seconds(1);

std::string_view to_string(give_up_reason reason) {
    switch (reason) {
    case give_up_reason::no_memory:
        return "no_memory";
    case give_up_reason::malformed:
        return "malformed";
    default:
        return "too_many_connections";
    }
}

std::size_t descriptors_for_clients() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur / descriptor_parts * client_descriptor_parts;
}

} // namespace

client_connections::client_connections(event_loop& loop, memory_budget& budget)
    : loop_(loop), budget_(budget) {
    shortage_connection_ = budget.shortage.connect(
        [this](std::size_t message_bytes) { on_shortage(message_bytes); });
}

client_connections::~client_connections() {
    shortage_connection_.disconnect();
}

void client_connections::set_limits(const listener_limits& limits) {
    limits_ = limits;
    max_connections_ =
        std::min(limits.max_connections, descriptors_for_clients());
    for (const auto& [stream, item] : connections_) {
        item->apply(limits);
    }
}

void client_connections::set_responses(std::string no_memory,
                                       std::string malformed) {
    no_memory_response_ = std::move(no_memory);
    malformed_response_ = std::move(malformed);
}

bufferevent* client_connections::accept() {
    auto* stream = bufferevent_socket_new(loop_.base(), -1, 0);
    if (stream == nullptr) {
        return nullptr;
    }
    const bool full =
        connections_.size() >= max_connections_ && !close_most_silent();
    const auto number = next_number_++;
    auto& created = *connections_
                         .emplace(stream, std::make_unique<client_connection>(
                                              *this, stream, number))
                         .first->second;
    if (full) {
        created.mark_given_up(give_up_reason::too_many_connections);
    }
    // evhttp creates its object after this call.
    loop_.defer([this, stream, number] { attach(stream, number); });
    return stream;
}

void client_connections::attach(bufferevent* stream, std::uint64_t number) {
    auto* connection = find(stream, number);
    if (connection == nullptr) {
        return;
    }
    connection->attach(limits_);
    if (connection->given_up()) {
        evhttp_connection_free(connection->handle());
    }
}

client_connection& client_connections::of(evhttp_request* request) {
    return *connections_.at(evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request)));
}

client_connection* client_connections::find(bufferevent* stream,
                                            std::uint64_t number) {
    const auto found = connections_.find(stream);
    const bool is_same =
        found != connections_.end() && found->second->number() == number;
    return is_same ? found->second.get() : nullptr;
}

void client_connections::remove(bufferevent* stream) {
    connections_.erase(stream);
}

// Refuses a body at once that would not fit even without the messages of
// clients that are waited for.
void client_connections::on_declared(client_connection& connection,
                                     std::size_t body_bytes) {
    auto held = budget_.held() + body_bytes;
    for (const auto& [stream, item] : connections_) {
        held -= item->is_waiting() ? item->held() : 0;
    }
    if (held > budget_.limit_for(body_bytes)) {
        give_up(connection, give_up_reason::no_memory);
    }
}

void client_connections::on_growth(client_connection& connection) {
    if (!budget_.make_room(connection.message_bytes()) &&
        connection.is_waiting()) {
        give_up(connection, give_up_reason::no_memory);
    }
}

void client_connections::on_shortage(std::size_t message_bytes) {
    while (budget_.held() > budget_.limit_for(message_bytes)) {
        auto* heaviest = find_heaviest(message_bytes);
        if (heaviest == nullptr) {
            return;
        }
        give_up(*heaviest, give_up_reason::no_memory);
    }
}

// Stalled connections come first, then those that hold most. The connections
// of smaller messages that make progress are left alone.
client_connection*
client_connections::find_heaviest(std::size_t message_bytes) {
    const auto now = loop_.now();
    const auto weight_of = [&](const client_connection& item) {
        return std::pair(now - item.last_activity() > stall_time, item.held());
    };
    client_connection* heaviest = nullptr;
    for (const auto& [stream, item] : connections_) {
        const auto weight = weight_of(*item);
        const bool may_go = item->is_waiting() && item->held() > 0 &&
                            (weight.first || item->held() >= message_bytes);
        if (may_go && (heaviest == nullptr || weight > weight_of(*heaviest))) {
            heaviest = item.get();
        }
    }
    return heaviest;
}

// Closes at once, so that a burst of new connections finds free descriptors.
bool client_connections::close_most_silent() {
    client_connection* silent = nullptr;
    for (const auto& [stream, item] : connections_) {
        const bool may_go =
            item->is_waiting() &&
            item->current_phase() != client_connection::phase::responding;
        if (may_go && (silent == nullptr ||
                       item->last_activity() < silent->last_activity())) {
            silent = item.get();
        }
    }
    log_given_up(give_up_reason::too_many_connections);
    if (silent == nullptr) {
        return false;
    }
    evhttp_connection_free(silent->handle());
    return true;
}

void client_connections::give_up(client_connection& connection,
                                 give_up_reason reason) {
    if (connection.given_up()) {
        return;
    }
    connection.mark_given_up(reason);
    log_given_up(reason);
    finish_later(connection);
}

// Deferred because evhttp may be using the connection.
void client_connections::finish_later(const client_connection& connection) {
    loop_.defer(
        [this, stream = connection.stream(), number = connection.number()] {
            auto* found = find(stream, number);
            if (found != nullptr) {
                finish_giving_up(*found);
            }
        });
}

void client_connections::finish_giving_up(client_connection& connection) {
    using phase = client_connection::phase;
    const bool malformed = *connection.given_up() == give_up_reason::malformed;
    switch (connection.current_phase()) {
    case phase::handling:
        return; // the response closes the connection
    case phase::responding:
        if (!malformed) {
            evhttp_connection_free(connection.handle());
        }
        return; // otherwise continues once the response is written
    case phase::receiving:
        if (!connection.has_output()) {
            send_and_close(connection, malformed ? malformed_response_
                                                 : no_memory_response_);
        }
        return; // otherwise evhttp rejects the request and closes
    }
}

// Nothing else has been sent, so the kernel takes the whole response.
void client_connections::send_and_close(client_connection& connection,
                                        std::string_view response) const {
    if (connection.is_receiving_body() ||
        connection.given_up() == give_up_reason::malformed) {
        ::send(bufferevent_getfd(connection.stream()), response.data(),
               response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    evhttp_connection_free(connection.handle());
}

void client_connections::log_given_up(give_up_reason reason) {
    ++given_up_since_log_;
    const auto now = loop_.now();
    if (last_log_at_ && now - *last_log_at_ < min_log_interval) {
        return;
    }
    log_event(event_number::clients_given_up,
              {{"reason", std::string(to_string(reason))},
               {"count", std::to_string(given_up_since_log_)},
               {"connections", std::to_string(connections_.size())},
               {"held_bytes", std::to_string(budget_.held())}});
    last_log_at_ = now;
    given_up_since_log_ = 0;
}

std::size_t client_connections::count_responding() const {
    return static_cast<std::size_t>(std::count_if(
        connections_.begin(), connections_.end(), [](const auto& item) {
            return item.second->current_phase() ==
                   client_connection::phase::responding;
        }));
}

} // namespace lacewingbeam::detail
