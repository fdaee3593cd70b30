#include "lacewingbeam/load_predictor.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

constexpr duration first_bucket_age = std::chrono::milliseconds(25);

// Half-life of a deviation, assumed without samples.
constexpr double prior_half_life_ms = 150;

// Weight of the prior as a sum of squared deviations: equals two samples that
// deviate by 5 from the mean slowness.
constexpr double prior_weight = 50;

// Limits the influence of outliers.
constexpr double max_slowness = 10;

// Caps the sample count, which turns the means into moving averages.
constexpr double max_samples = 300;

double clamp_slowness(double slowness) {
    return std::clamp(slowness, 0.0, max_slowness);
}

double half_life_decay(double elapsed_ms, double half_life_ms) {
    return std::exp2(-elapsed_ms / half_life_ms);
}

} // namespace

std::size_t load_predictor::bucket_of(duration age) {
    std::size_t bucket = 0;
    for (auto limit = first_bucket_age; age > limit && bucket + 1 < age_buckets;
         limit *= 2) {
        ++bucket;
    }
    return bucket;
}

void load_predictor::on_sample(const std::optional<load_observation>& earlier,
                               const server_load_sample& later) {
    if (earlier) {
        constexpr double decay = 1 - 1 / max_samples;
        auto& bucket = deviations_.at(bucket_of(earlier->age));
        const double before =
            clamp_slowness(earlier->sample.slowness) - mean_slowness_;
        const double after = clamp_slowness(later.slowness) - mean_slowness_;
        bucket.products = bucket.products * decay + before * after;
        bucket.squares = bucket.squares * decay + before * before;
    }
    samples_ = std::min(max_samples, samples_ + 1);
    mean_slowness_ +=
        (clamp_slowness(later.slowness) - mean_slowness_) / samples_;
    mean_running_ += (later.running + later.waiting - mean_running_) / samples_;
}

double load_predictor::retained_deviation(duration age) const {
    const double prior = half_life_decay(to_ms(age), prior_half_life_ms);
    const auto& bucket = deviations_.at(bucket_of(age));
    return std::clamp((bucket.products + prior_weight * prior) /
                          (bucket.squares + prior_weight),
                      0.0, 1.0);
}

expected_load
load_predictor::predict(const std::optional<load_observation>& observation,
                        unsigned slots, unsigned in_flight,
                        double base_latency_ms) const {
    expected_load load;
    if (!observation) {
        load.slots = slots;
        load.running = in_flight + mean_running_;
        load.slowness = mean_slowness_;
        return load;
    }
    const auto& sample = observation->sample;
    load.slots = sample.slots;
    load.running = sample.running + observation->sent_since;
    load.waiting = sample.waiting;
    load.slowness = sample.slowness;
    if (observation->age <= max_fresh_sample_age) {
        return load;
    }
    // Requests end after about their base latency; the running count returns to
    // the mean as others take their place.
    const double still_running = half_life_decay(
        to_ms(observation->age), std::max(1.0, base_latency_ms));
    const double others = std::max(0.0, load.running - in_flight);
    load.running = in_flight + still_running * others +
                   (1 - still_running) * mean_running_;
    load.waiting = 0;
    load.slowness =
        mean_slowness_ + retained_deviation(observation->age) *
                             (clamp_slowness(sample.slowness) - mean_slowness_);
    return load;
}

} // namespace lacewingbeam
