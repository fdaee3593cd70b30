#include "lacewingbeam/load_memory.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

constexpr duration youngest_group = std::chrono::milliseconds(25);

// Assumed of a deviation before anything was seen.
constexpr double assumed_half_life_ms = 150;

// What the assumption weighs, as a sum of squared deviations: two samples of
// servers that are five times slower than usual.
constexpr double assumed_weight = 50;

// Beyond this a sample says no more than that the server is very slow.
constexpr double greatest_slowness = 10;

// Samples after which a new one counts as little as any before.
constexpr double memory = 300;

double bounded(double slowness) {
    return std::clamp(slowness, 0.0, greatest_slowness);
}

double half_life_part(double passed_ms, double half_life_ms) {
    return std::exp2(-passed_ms / half_life_ms);
}

} // namespace

std::size_t load_memory::group_of(duration age) {
    std::size_t group = 0;
    for (auto limit = youngest_group; age > limit && group + 1 < age_groups;
         limit *= 2) {
        ++group;
    }
    return group;
}

void load_memory::on_told(const std::optional<told_load>& earlier,
                          const server_load_sample& later) {
    if (earlier) {
        constexpr double still_counts = 1 - 1 / memory;
        auto& group = deviations_.at(group_of(earlier->age));
        const double before =
            bounded(earlier->sample.slowness) - usual_slowness_;
        const double after = bounded(later.slowness) - usual_slowness_;
        group.products = group.products * still_counts + before * after;
        group.squares = group.squares * still_counts + before * before;
    }
    samples_ = std::min(memory, samples_ + 1);
    usual_slowness_ += (bounded(later.slowness) - usual_slowness_) / samples_;
    usual_running_ +=
        (later.running + later.waiting - usual_running_) / samples_;
}

double load_memory::kept_after(duration age) const {
    const double assumed = half_life_part(to_ms(age), assumed_half_life_ms);
    const auto& group = deviations_.at(group_of(age));
    return std::clamp((group.products + assumed_weight * assumed) /
                          (group.squares + assumed_weight),
                      0.0, 1.0);
}

expected_load load_memory::expect(const std::optional<told_load>& told,
                                  unsigned slots, unsigned in_flight,
                                  double work_ms) const {
    expected_load load;
    if (!told) {
        load.slots = slots;
        load.running = in_flight + usual_running_;
        load.slowness = usual_slowness_;
        return load;
    }
    const auto& sample = told->sample;
    load.slots = sample.slots;
    load.running = sample.running + told->sent_since;
    load.waiting = sample.waiting;
    load.slowness = sample.slowness;
    if (told->age <= current_sample_age) {
        return load;
    }
    // Requests end after about their work; others come in their place.
    const double still_run =
        half_life_part(to_ms(told->age), std::max(1.0, work_ms));
    const double others = std::max(0.0, load.running - in_flight);
    load.running =
        in_flight + still_run * others + (1 - still_run) * usual_running_;
    load.waiting = 0;
    load.slowness =
        usual_slowness_ +
        kept_after(told->age) * (bounded(sample.slowness) - usual_slowness_);
    return load;
}

} // namespace lacewingbeam
