#ifndef LACEWINGBEAM_EXPECTED_TIME_HPP
#define LACEWINGBEAM_EXPECTED_TIME_HPP

#include "contention_estimator.hpp"
#include "core.hpp"

// How long one more request takes at a backend server.
namespace lacewingbeam {

// What a backend server says of itself in an answer or a probe.
struct server_load_sample {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    double slowness = 1; // time that work takes now, relative to the usual
};

// The load that a request would meet; a mean where samples are old.
struct expected_load {
    unsigned slots = 1;
    double running = 0;
    unsigned waiting = 0;
    double slowness = 1;
};

// Everything that is known of a backend server when a request is placed.
struct placement_inputs {
    expected_load load;
    bool cold = false;            // started a moment ago
    bool same_domain = true;      // in this instance's failure domain
    double failure_score = 0;     // 0 none, 1 every recent request failed
    double base_latency_ms = 100; // usual time of this kind of request
    double objective_ms = 300;    // response-time objective
    double response_kb = 0;       // usual size of the answer
    contention_estimator contention;
};

// Expected time in milliseconds from now to the whole answer.
double expected_time_ms(const placement_inputs& inputs);

// The expected time and, as milliseconds too, what bytes between failure
// domains and failures cost. It says which of several servers to take, not
// when the answer is there.
double placement_cost_ms(const placement_inputs& inputs);

// True if the request would start at once, at a server where one more makes
// it do more in all.
bool has_useful_slot(const placement_inputs& inputs);

// True if the request would start at once.
bool has_free_slot(const placement_inputs& inputs);

} // namespace lacewingbeam

#endif
