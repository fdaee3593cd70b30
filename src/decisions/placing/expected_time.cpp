#include "lacewingbeam/expected_time.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Servers that have just started take about twice as long.
constexpr double cold_start_factor = 2;

// A request to another failure domain and its answer: two crossings of about
// 1 ms, and some time that a slower server at hand may take to save the bytes
// between.
constexpr double cross_domain_ms = 6;
constexpr double cross_domain_ms_per_kb = 4;

// A request that fails costs about this many objectives.
constexpr double failure_cost_objectives = 3;

} // namespace

bool has_useful_slot(const placement_inputs& inputs) {
    return inputs.load.waiting == 0 &&
           inputs.load.running <
               inputs.contention.useful_slots(inputs.load.slots);
}

bool has_free_slot(const placement_inputs& inputs) {
    return inputs.load.waiting == 0 && inputs.load.running < inputs.load.slots;
}

double expected_time_ms(const placement_inputs& inputs) {
    const double slots = std::max(1U, inputs.load.slots);
    double latency = inputs.base_latency_ms * inputs.load.slowness;
    if (inputs.cold) {
        latency *= cold_start_factor;
    }
    const double running = inputs.load.running + 1;
    const double contended =
        std::clamp(running - uncontended_slots(inputs.load.slots), 0.0, 1.0);
    latency *= 1 + contended * (inputs.contention.slowdown_factor() - 1);
    double total = latency;
    if (!has_free_slot(inputs)) {
        const double ahead =
            std::max(0.0, running - slots) + inputs.load.waiting;
        total += latency * std::max(1.0, ahead) / slots;
    }
    return total;
}

double placement_cost_ms(const placement_inputs& inputs) {
    double cost = expected_time_ms(inputs) + inputs.failure_score *
                                                 failure_cost_objectives *
                                                 inputs.objective_ms;
    if (!inputs.same_domain) {
        cost += cross_domain_ms + cross_domain_ms_per_kb * inputs.response_kb;
    }
    return cost;
}

} // namespace lacewingbeam
