#include "lacewingbeam/freshness.hpp"

#include <algorithm>

namespace lacewingbeam {

freshness_tracker::read& freshness_tracker::state_of(store_table table) {
    return reads_[static_cast<std::size_t>(table)];
}

void freshness_tracker::confirm(read& state, time_point as_of) {
    // nullopt compares less than any time.
    state.confirmed_at = std::max(state.confirmed_at, std::optional(as_of));
    store_answered_at_ = std::max(store_answered_at_, std::optional(as_of));
}

void freshness_tracker::on_read_started(store_table table, bool long_poll,
                                        time_point now) {
    auto& state = state_of(table);
    state.in_flight = true;
    state.long_poll = long_poll;
    state.response_started = false;
    state.started_at = now;
}

void freshness_tracker::on_response_started(store_table table) {
    state_of(table).response_started = true;
}

void freshness_tracker::on_read_completed(store_table table) {
    auto& state = state_of(table);
    state.in_flight = false;
    confirm(state, state.started_at);
    auto& routing = state_of(store_table::routing);
    const bool unanswered_poll = routing.in_flight && routing.long_poll &&
                                 !routing.response_started &&
                                 routing.started_at <= state.started_at;
    if (table == store_table::servers && unanswered_poll) {
        confirm(routing, state.started_at);
    }
}

void freshness_tracker::on_read_failed(store_table table) {
    state_of(table).in_flight = false;
}

void freshness_tracker::on_peer_routes(bool held, time_point as_of) {
    store_answered_at_ = std::max(store_answered_at_, std::optional(as_of));
    if (held) {
        peer_routes_as_of_ = std::max(peer_routes_as_of_, std::optional(as_of));
    }
}

std::optional<time_point> freshness_tracker::routes_as_of() const {
    const auto& routing =
        reads_[static_cast<std::size_t>(store_table::routing)];
    return std::max(routing.confirmed_at, peer_routes_as_of_);
}

std::optional<time_point> freshness_tracker::own_reads_as_of() const {
    return std::min(reads_[0].confirmed_at, reads_[1].confirmed_at);
}

} // namespace lacewingbeam
