#include "lacewingbeam/contention_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

// Fraction of a server's slots.
constexpr double contention_threshold = 0.8;

// Latencies are heavy-tailed: ratios outside these bounds depend on the request
// rather than on the server.
constexpr double min_ratio = 0.4;
constexpr double max_ratio = 3;

// Caps the sample count, which turns the mean into a moving average.
constexpr double max_weight = 200;

// Slowdown assumed without samples, and its weight as a number of requests.
constexpr double prior_factor = 1.2;
constexpr double prior_weight = 6;

// Allows for the estimate's uncertainty: all slots are used unless the slowdown
// clearly outweighs the additional slots.
constexpr double uncertainty_discount = 0.93;

} // namespace

unsigned uncontended_slots(unsigned slots) {
    return std::max(1U, static_cast<unsigned>(contention_threshold * slots));
}

void contention_estimator::on_completed(bool contended, double ratio) {
    auto& group = means_[contended ? 1 : 0];
    group.weight = std::min(max_weight, group.weight + 1);
    const double observed = std::log(std::clamp(ratio, min_ratio, max_ratio));
    group.log_ratio += (observed - group.log_ratio) / group.weight;
}

double contention_estimator::slowdown_factor() const {
    const auto& uncontended = means_[0];
    const auto& contended = means_[1];
    const double weight = std::min(uncontended.weight, contended.weight);
    const double observed = contended.log_ratio - uncontended.log_ratio;
    const double blended =
        (weight * observed + prior_weight * std::log(prior_factor)) /
        (weight + prior_weight);
    return std::max(1.0, std::exp(blended));
}

unsigned contention_estimator::useful_slots(unsigned slots) const {
    const unsigned uncontended = uncontended_slots(slots);
    const double slot_ratio = static_cast<double>(slots) / uncontended;
    return slowdown_factor() * uncertainty_discount > slot_ratio ? uncontended
                                                                 : slots;
}

} // namespace lacewingbeam
