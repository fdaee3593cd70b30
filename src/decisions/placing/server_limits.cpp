#include "lacewingbeam/server_limits.hpp"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace lacewingbeam {

namespace {

// The part of a limit that the sharing instances use. The rest is for trials of
// the others.
constexpr double shared_fraction = 0.8;
constexpr double trial_fraction = 0.1;

// Each sharing instance may save up one request. So many of them at the same
// time, and as many again while instances differ about their peers, stay within
// what servers tolerate: half of the limit and a few requests above it in a
// window of seconds.
constexpr double min_sharers = 2;
constexpr double sharers_per_limit = 1;

constexpr double max_saved_requests = 1;

// Bounds of the interval between trials.
constexpr double min_trial_interval_s = 10;
constexpr double max_trial_interval_s = 300;

} // namespace

void server_limits::set_instances(std::string own,
                                  std::vector<std::string> peers) {
    if (own == own_ && peers == peers_) {
        return;
    }
    own_ = std::move(own);
    peers_ = std::move(peers);
    ++view_;
}

std::size_t server_limits::sharers(double per_second) const {
    const auto wanted = static_cast<std::size_t>(
        min_sharers + sharers_per_limit * std::min(per_second, 1e6));
    return std::min(wanted, peers_.size() + 1);
}

// Returns the rank of this instance in an order that is different for each
// server and the same on all instances.
std::size_t server_limits::rank_for(std::string_view server) const {
    const auto key_of = [&](const std::string& address) {
        return hash(address + " " + std::string(server));
    };
    const auto own = key_of(own_);
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [&](const std::string& peer) { return key_of(peer) < own; }));
}

double server_limits::share_rate(std::string_view server, entry& limit) const {
    if (limit.ranked_in_view != view_) {
        limit.rank = rank_for(server);
        limit.ranked_in_view = view_;
    }
    const auto count = sharers(limit.per_second);
    const bool shares = !own_.empty() && limit.rank < count;
    return shares
               ? shared_fraction * limit.per_second / static_cast<double>(count)
               : 0;
}

// All instances together make trials at a fraction of the limit.
time_point server_limits::draw_trial_time(double per_second, time_point now) {
    const double interval = std::clamp(
        static_cast<double>(peers_.size() + 1) /
            std::max(trial_fraction * per_second, 1 / max_trial_interval_s),
        min_trial_interval_s, max_trial_interval_s);
    boost::random::uniform_real_distribution<double> jitter(0.5, 1.5);
    return now + from_seconds(interval * jitter(engine_));
}

bool server_limits::on_named(std::string_view server, double per_second,
                             time_point now) {
    const auto found = entries_.find(server);
    if (found != entries_.end()) {
        found->second.per_second = per_second;
        return false;
    }
    entry added{per_second, token_bucket(0, max_saved_requests, now),
                draw_trial_time(per_second, now)};
    added.share.set_rate(share_rate(server, added), now);
    entries_.emplace(std::string(server), added);
    return true;
}

bool server_limits::on_lifted(std::string_view server) {
    const auto found = entries_.find(server);
    if (found == entries_.end()) {
        return false;
    }
    entries_.erase(found);
    return true;
}

void server_limits::forget(std::string_view server) {
    on_lifted(server);
}

bool server_limits::may_send(std::string_view server, time_point now) {
    const auto found = entries_.find(server);
    if (found == entries_.end()) {
        return true;
    }
    auto& limit = found->second;
    limit.share.set_rate(share_rate(server, limit), now);
    return limit.share.has_token(now) || now >= limit.next_trial;
}

void server_limits::on_sent(std::string_view server, time_point now) {
    const auto found = entries_.find(server);
    if (found == entries_.end()) {
        return;
    }
    auto& limit = found->second;
    if (!limit.share.try_take(now)) {
        limit.next_trial = draw_trial_time(limit.per_second, now);
    }
}

} // namespace lacewingbeam
