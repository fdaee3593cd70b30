#include "lacewingbeam/server_state.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The weight of a load report halves in this time: older reports say little
// about the current load.
constexpr duration report_half_life = milliseconds(50);

// Peers send their counts only with heartbeats, so these decay more slowly.
constexpr duration peer_load_half_life = milliseconds(500);

// A server that shed a request is assumed to be full for this long.
constexpr duration full_after_shed = milliseconds(20);

constexpr duration failure_half_life = seconds(2);

// The penalty of a newly added server falls to zero over this time, so that
// its load rises gradually.
constexpr duration slow_start_duration = seconds(5);
constexpr double slow_start_penalty = 3;

// A leaving signal expires if it isn't repeated for this long.
constexpr duration leaving_signal_lifetime = seconds(30);

// Weight of a new sample in the moving average of latency.
constexpr double latency_smoothing = 0.2;

constexpr double penalty_per_failure = 4;
constexpr double max_failures = 8;
constexpr double probe_burst = 1;

double decay(duration age, duration half_life) {
    const double half_lives = to_ms(age) / to_ms(half_life);
    return std::exp2(-std::max(0.0, half_lives));
}

} // namespace

server_state::server_state(const server_row& row, time_point now)
    : row_(row), last_failure_at_(now), reported_at_(now), peer_load_at_(now),
      assumed_full_until_(now), last_contact_at_(now), added_at_(now),
      probe_budget_(0, probe_burst, now) {}

void server_state::set_row(const server_row& row, time_point now) {
    if (row.address != row_.address) {
        added_at_ = now;
        leaving_at_.reset();
    }
    row_ = row;
}

void server_state::on_sent(work_length length, time_point) {
    ++in_flight_;
    if (length == work_length::long_work) {
        ++long_in_flight_;
    }
}

void server_state::on_ended(work_length length) {
    // If the server was removed from the table and added again, its counts
    // started at zero and don't include earlier attempts.
    if (in_flight_ > 0) {
        --in_flight_;
    }
    if (length == work_length::long_work && long_in_flight_ > 0) {
        --long_in_flight_;
    }
}

void server_state::on_answer(duration latency, work_length length,
                             time_point now) {
    last_contact_at_ = now;
    if (length == work_length::long_work) {
        return;
    }
    const double sample = to_ms(latency);
    latency_ms_ = latency_ms_ == 0 ? sample
                                   : latency_ms_ + latency_smoothing *
                                                       (sample - latency_ms_);
}

void server_state::on_failure(time_point now) {
    const double remaining =
        failures_ * decay(now - last_failure_at_, failure_half_life);
    failures_ = std::min(max_failures, remaining + 1);
    last_failure_at_ = now;
    last_contact_at_ = now;
}

void server_state::on_shed(time_point now) {
    assumed_full_until_ = now + full_after_shed;
    last_contact_at_ = now;
}

void server_state::on_report(const load_report& report, time_point now) {
    // The report doesn't count the request whose response carried it. The
    // load beyond our own requests comes from other instances.
    reported_other_load_ =
        std::max(0.0, report.in_flight + report.queued - in_flight_);
    reported_at_ = now;
    last_contact_at_ = now;
    if (report.queued == 0) {
        assumed_full_until_ = std::min(assumed_full_until_, now);
    }
}

void server_state::set_peer_load(const peer_load& load, time_point now) {
    peer_load_ = load;
    peer_load_at_ = now;
}

void server_state::mark_leaving(time_point when) {
    leaving_at_ = leaving_at_ ? std::max(*leaving_at_, when) : when;
}

bool server_state::is_leaving(time_point now) const {
    return row_.leaving || leaving_age(now).has_value();
}

std::optional<duration> server_state::leaving_age(time_point now) const {
    if (!leaving_at_ || now - *leaving_at_ > leaving_signal_lifetime) {
        return std::nullopt;
    }
    return std::max(duration::zero(), now - *leaving_at_);
}

double server_state::remote_load(time_point now) const {
    const double by_report =
        reported_other_load_ * decay(now - reported_at_, report_half_life);
    const double by_peers =
        peer_load_.in_flight * decay(now - peer_load_at_, peer_load_half_life);
    // A fresh report takes precedence over the peers' counts; its weight
    // decays as it ages.
    return by_report +
           by_peers * (1 - decay(now - reported_at_, report_half_life));
}

double server_state::estimated_load(time_point now) const {
    const double load = in_flight_ + remote_load(now);
    return now < assumed_full_until_ ? std::max<double>(load, row_.slots)
                                     : load;
}

double server_state::estimated_long_load(time_point now) const {
    return long_in_flight_ +
           peer_load_.long_in_flight *
               decay(now - peer_load_at_, peer_load_half_life);
}

double server_state::penalty(time_point now) const {
    const double failures =
        failures_ * decay(now - last_failure_at_, failure_half_life);
    double factor = 1 + penalty_per_failure * failures;
    const auto since_added = now - added_at_;
    if (since_added < slow_start_duration) {
        const double remaining =
            1 - to_ms(since_added) / to_ms(slow_start_duration);
        factor += slow_start_penalty * remaining;
    }
    return factor;
}

bool server_state::silent_for(duration age, time_point now) const {
    return now - last_contact_at_ >= age;
}

} // namespace lacewingbeam
