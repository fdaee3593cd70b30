#ifndef LACEWINGBEAM_EXPECTED_TIME_HPP
#define LACEWINGBEAM_EXPECTED_TIME_HPP

#include "contention_estimator.hpp"
#include "core.hpp"

// Estimates how long an additional request takes at a backend server.
namespace lacewingbeam {

// A backend server's load as reported in a response or a probe.
struct server_load_sample {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    double slowness = 1; // current latency relative to the usual one
};

// The load that a new request is expected to meet. Regresses towards the
// service's mean as the sample ages.
struct expected_load {
    unsigned slots = 1;
    double running = 0;
    unsigned waiting = 0;
    double slowness = 1;
};

// Inputs of the placement decision for one request and one backend server.
struct placement_inputs {
    expected_load load;
    bool cold = false;            // started recently
    bool same_domain = true;      // in this instance's failure domain
    double failure_score = 0;     // recent failures, from 0 (none) to 1 (all)
    double base_latency_ms = 100; // mean latency on the route at slowness 1
    double objective_ms = 300;    // response time objective
    double response_kb = 0;       // mean size of response bodies
    contention_estimator contention;
};

// Expected time in milliseconds until the response is complete.
double expected_time_ms(const placement_inputs& inputs);

// The expected time plus penalties, in milliseconds, for traffic between
// failure domains and for recent failures. Ranks servers against each other;
// it is not an estimate of the response time.
double placement_cost_ms(const placement_inputs& inputs);

// True if the request would start at once and raise the server's throughput.
bool has_useful_slot(const placement_inputs& inputs);

// True if the request would start at once.
bool has_free_slot(const placement_inputs& inputs);

} // namespace lacewingbeam

#endif
