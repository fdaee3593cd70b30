#include "lacewingbeam/freshness.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// The resolution of the times that the store states.
constexpr duration store_clock_resolution = std::chrono::milliseconds(1);

// nullopt compares less than any time.
void advance(std::optional<store_time>& value, store_time time) {
    value = std::max(value, std::optional(time));
}

} // namespace

freshness_tracker::read& freshness_tracker::state_of(store_table table) {
    return reads_[static_cast<std::size_t>(table)];
}

void freshness_tracker::on_read_started(store_table table, time_point now) {
    state_of(table).started_at = now;
}

void freshness_tracker::on_era(std::uint64_t era) {
    if (era > era_) {
        earlier_confirmed_at_ = routes_confirmed_at();
        era_ = era;
        clock_ahead_.reset();
    }
}

void freshness_tracker::on_read_completed(store_table table,
                                          store_time answered_at,
                                          bool confirms) {
    on_era(answered_at.era);
    if (answered_at.era < era_) {
        return;
    }
    auto& state = state_of(table);
    if (confirms) {
        advance(state.confirmed_at, answered_at);
    }
    advance(store_answered_at_, answered_at);
    const auto ahead = answered_at.since_start + store_clock_resolution -
                       state.started_at.time_since_epoch();
    clock_ahead_ = std::min(ahead, clock_ahead_.value_or(ahead));
}

void freshness_tracker::on_peer_routes(bool held, store_time as_of,
                                       time_point now) {
    on_era(as_of.era);
    advance(store_answered_at_, as_of);
    if (held) {
        advance(peer_routes_as_of_, as_of);
    }
    // The local clock was stopped if the store's must be further ahead.
    const auto local = to_local(as_of);
    if (local && *local > now) {
        clock_ahead_.reset();
    }
}

std::optional<store_time> freshness_tracker::routes_as_of() const {
    const auto& routing =
        reads_[static_cast<std::size_t>(store_table::routing)];
    return std::max(routing.confirmed_at, peer_routes_as_of_);
}

std::optional<time_point> freshness_tracker::routes_confirmed_at() const {
    return std::max(earlier_confirmed_at_, to_local(routes_as_of()));
}

std::optional<store_time> freshness_tracker::own_reads_as_of() const {
    return std::min(reads_[0].confirmed_at, reads_[1].confirmed_at);
}

std::optional<time_point>
freshness_tracker::to_local(std::optional<store_time> time) const {
    if (!time || time->era != era_ || !clock_ahead_) {
        return std::nullopt;
    }
    return time_point(time->since_start - *clock_ahead_);
}

std::optional<duration> freshness_tracker::age(std::optional<store_time> time,
                                               time_point now) const {
    const auto local = to_local(time);
    return local ? std::optional(std::max(duration{}, now - *local))
                 : std::nullopt;
}

} // namespace lacewingbeam
