#include "lacewingbeam/expected_time.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Servers that have just started take about twice as long.
constexpr double cold_factor = 2;

// A request to another failure domain and its answer: two crossings of about
// 1 ms, and some time that a slower server at hand may take to save the bytes
// between.
constexpr double remote_ms = 6;
constexpr double remote_ms_per_kb = 4;

// A request that fails costs about this many objectives.
constexpr double failure_objectives = 3;

} // namespace

bool has_useful_slot(const placement_view& view) {
    return view.load.waiting == 0 &&
           view.load.running < view.crowding.useful_slots(view.load.slots);
}

bool has_free_slot(const placement_view& view) {
    return view.load.waiting == 0 && view.load.running < view.load.slots;
}

double expected_time_ms(const placement_view& view) {
    const double slots = std::max(1U, view.load.slots);
    double work = view.work_ms * view.load.slowness;
    if (view.cold) {
        work *= cold_factor;
    }
    const double after = view.load.running + 1;
    const double crowded =
        std::clamp(after - quiet_slots(view.load.slots), 0.0, 1.0);
    work *= 1 + crowded * (view.crowding.factor() - 1);
    double total = work;
    if (!has_free_slot(view)) {
        const double ahead = std::max(0.0, after - slots) + view.load.waiting;
        total += work * std::max(1.0, ahead) / slots;
    }
    return total;
}

double placement_cost_ms(const placement_view& view) {
    double cost = expected_time_ms(view) +
                  view.distrust * failure_objectives * view.objective_ms;
    if (!view.same_domain) {
        cost += remote_ms + remote_ms_per_kb * view.answer_kb;
    }
    return cost;
}

} // namespace lacewingbeam
