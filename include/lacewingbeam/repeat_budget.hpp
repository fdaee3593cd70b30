#ifndef LACEWINGBEAM_REPEAT_BUDGET_HPP
#define LACEWINGBEAM_REPEAT_BUDGET_HPP

#include "core.hpp"

#include <deque>

// Bounds the sends beyond each request's first, over all instances, without
// asking any of them.
namespace lacewingbeam {

// In each window, all instances together may repeat `ratio` times their
// requests plus `slack`. Each keeps to its own requests and to its part of the
// slack, so that the sum holds.
struct repeat_limits {
    double ratio = 0.2;
    double slack = 0;
    duration window = std::chrono::seconds(10);
};

class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits) : limits_(limits) {}

    // What was counted is kept.
    void set_limits(repeat_limits limits) { limits_ = limits; }

    void on_request(time_point now);

    // Takes one repeat if the part of `instances` equal sharers allows it.
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
