#ifndef LACEWINGBEAM_SERVER_STATE_HPP
#define LACEWINGBEAM_SERVER_STATE_HPP

#include "budget.hpp"
#include "core.hpp"
#include "table.hpp"

#include <optional>

// An instance's view of one backend server.
namespace lacewingbeam {

// A load report made by a backend server in a response or probe.
struct load_report {
    double in_flight = 0;
    double queued = 0;
};

// The load that peers have placed on one backend server.
struct peer_load {
    double in_flight = 0;
    double long_in_flight = 0;
};

// Tracks the load, latency, failures and draining of one backend server.
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

    // Records a leaving signal from the backend server, a peer or the platform.
    void mark_leaving(time_point when);
    bool is_leaving(time_point now) const;

    // Returns the time since the last leaving signal if that hasn't expired.
    std::optional<duration> leaving_age(time_point now) const;

    unsigned in_flight() const { return in_flight_; }
    unsigned long_in_flight() const { return long_in_flight_; }

    // Estimated number of requests at the backend server from all instances.
    double estimated_load(time_point now) const;

    // The same for requests of long work only.
    double estimated_long_load(time_point now) const;

    double latency_ms() const { return latency_ms_; }

    // Cost factor: 1 for a healthy server, higher after recent failures and
    // for some time after the server was added.
    double penalty(time_point now) const;

    // Returns true if the last contact with the server was at least `age` ago.
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
