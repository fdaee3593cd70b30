#include "lacewingbeam/repeat_budget.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Left for sends whose arrival is delayed into the next window, and for
// instances that have only just been heard of.
constexpr double usable_fraction = 0.85;

void drop_before(std::deque<time_point>& times, time_point limit) {
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

} // namespace

void repeat_budget::drop_expired(time_point now) {
    drop_before(requests_, now - limits_.window);
    drop_before(repeats_, now - limits_.window);
}

void repeat_budget::on_request(time_point now) {
    drop_expired(now);
    requests_.push_back(now);
}

bool repeat_budget::can_take(std::size_t instances, time_point now) {
    drop_expired(now);
    const double share =
        limits_.slack /
        static_cast<double>(std::max<std::size_t>(1, instances));
    const double allowed =
        usable_fraction *
        (limits_.ratio * static_cast<double>(requests_.size()) + share);
    return static_cast<double>(repeats_.size()) + 1 <= allowed;
}

bool repeat_budget::try_take(std::size_t instances, time_point now) {
    if (!can_take(instances, now)) {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

} // namespace lacewingbeam
