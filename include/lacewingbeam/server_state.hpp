#ifndef LACEWINGBEAM_SERVER_STATE_HPP
#define LACEWINGBEAM_SERVER_STATE_HPP

#include "budget.hpp"
#include "core.hpp"
#include "table.hpp"

#include <optional>

// What an instance knows of one backend server.
namespace lacewingbeam {

// A backend server's own load report, from a reply or a probe.
struct load_report {
    double in_flight = 0;
    double queued = 0;
};

// Load of one backend server as a peer tells it.
struct peer_load {
    double in_flight = 0;
    double long_in_flight = 0;
};

// Tracks load, latency, failures and drain of one backend server.
class server_state {
public:
    server_state(const server_row& row, time_point now);

    void set_row(const server_row& row, time_point now);
    const server_row& row() const { return row_; }

    void on_sent(work_length length, time_point now);
    void on_ended(work_length length);
    void on_answer(duration latency, work_length length, time_point now);
    void on_failure(time_point now);
    void on_shed(time_point now);
    void on_report(const load_report& report, time_point now);
    void set_peer_load(const peer_load& load, time_point now);

    // The backend server, a peer or the platform said that it is leaving.
    void mark_leaving(time_point when);
    bool is_leaving(time_point now) const;

    // Time since the last leaving signal, if it is still in force.
    std::optional<duration> leaving_age(time_point now) const;

    unsigned in_flight() const { return in_flight_; }
    unsigned long_in_flight() const { return long_in_flight_; }

    // Estimated requests at the backend server, of all instances.
    double estimated_load(time_point now) const;

    // Estimated long requests at the backend server, of all instances.
    double estimated_long_load(time_point now) const;

    double latency_ms() const { return latency_ms_; }

    // 1 for a healthy server; grows with recent failures, slowness against
    // its own past, and after a cold start.
    double penalty(time_point now) const;

    // True if nothing was heard of it for `age`.
    bool silent_for(duration age, time_point now) const;

    token_bucket& probe_budget() { return probe_budget_; }

private:
    double remote_load(time_point now) const;

    server_row row_;
    unsigned in_flight_ = 0;
    unsigned long_in_flight_ = 0;
    double latency_ms_ = 0;
    double failures_ = 0;
    time_point last_failure_at_;
    double reported_other_load_ = 0;
    time_point reported_at_;
    peer_load peer_load_;
    time_point peer_load_at_;
    time_point assumed_full_until_;
    time_point last_contact_at_;
    time_point added_at_;
    std::optional<time_point> leaving_at_;
    token_bucket probe_budget_;
};

} // namespace lacewingbeam

#endif
