#ifndef LACEWINGBEAM_REPEAT_BUDGET_HPP
#define LACEWINGBEAM_REPEAT_BUDGET_HPP

#include "core.hpp"

#include <deque>

// Bounds retries and hedges over all instances without coordination between
// them.
namespace lacewingbeam {

// In each window, all instances together may send `ratio` repeats per request
// plus `slack` repeats. Each instance applies the ratio to its own requests and
// takes an equal share of the slack, which keeps the sum within the limit.
struct repeat_limits {
    double ratio = 0.2;
    double slack = 0;
    duration window = std::chrono::seconds(10);
};

class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits) : limits_(limits) {}

    // Keeps the requests and repeats counted so far.
    void set_limits(repeat_limits limits) { limits_ = limits; }

    void on_request(time_point now);

    // Takes one repeat if this instance's share allows it. `instances` is the
    // number of instances that share the slack.
    bool try_take(std::size_t instances, time_point now);

    bool can_take(std::size_t instances, time_point now);

private:
    void drop_expired(time_point now);

    repeat_limits limits_;
    std::deque<time_point> requests_;
    std::deque<time_point> repeats_;
};

} // namespace lacewingbeam

#endif
