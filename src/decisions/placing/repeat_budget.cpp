#include "lacewingbeam/repeat_budget.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// The rest covers repeats that links hold up until a later window, and
// instances that were not discovered yet.
constexpr double usable_slack = 0.85;
constexpr double usable_ratio = 0.95;

// The part of a share that may be saved. The rest is earned in each window.
constexpr double saved_fraction = 0.5;

} // namespace

double repeat_budget::share() const {
    return instances_
               ? usable_slack * limits_.slack /
                     static_cast<double>(std::max<std::size_t>(1, *instances_))
               : 0;
}

// Less than one could never be sent.
double repeat_budget::max_saved() const {
    const bool any_allowed = limits_.ratio > 0 || limits_.slack > 0;
    return any_allowed ? std::max(1.0, saved_fraction * share()) : 0;
}

void repeat_budget::set_limits(repeat_limits limits) {
    limits_ = limits;
    earned_ = std::min(earned_, max_saved());
}

// What was saved under a larger share is kept.
void repeat_budget::earn(double repeats) {
    earned_ = std::max(earned_, std::min(earned_ + repeats, max_saved()));
}

void repeat_budget::earn_by_time(time_point now) {
    const std::chrono::duration<double> elapsed =
        now - earned_until_.value_or(now);
    const std::chrono::duration<double> window = limits_.window;
    earned_until_ = now;
    if (elapsed.count() > 0) {
        const double per_window = std::max(0.0, share() - max_saved());
        earn(per_window * elapsed.count() / window.count());
    }
}

void repeat_budget::set_instances(std::optional<std::size_t> count,
                                  time_point now) {
    earn_by_time(now);
    instances_ = count;
}

void repeat_budget::on_request(time_point now) {
    earn_by_time(now);
    earn(usable_ratio * limits_.ratio);
}

bool repeat_budget::try_reserve(time_point now) {
    earn_by_time(now);
    if (earned_ < reserved_ + 1) {
        return false;
    }
    ++reserved_;
    return true;
}

void repeat_budget::on_sent() {
    release();
    earned_ -= 1;
}

void repeat_budget::release() {
    reserved_ -= 1;
}

} // namespace lacewingbeam
