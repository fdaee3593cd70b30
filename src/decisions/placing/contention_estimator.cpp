#include "lacewingbeam/contention_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

constexpr double contention_threshold = 0.8;

// A few requests run many times longer than the rest; beyond these ratios
// they say nothing of the server.
constexpr double min_ratio = 0.4;
constexpr double max_ratio = 3;

// Requests after which a new one counts as little as any before.
constexpr double max_weight = 200;

// What is assumed before anything was observed, and the requests that outweigh
// it.
constexpr double prior_factor = 1.2;
constexpr double prior_weight = 6;

// Uncertainty of the estimate that is conceded to the contended server.
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
    const double more_slots = static_cast<double>(slots) / uncontended;
    return slowdown_factor() * uncertainty_discount > more_slots ? uncontended
                                                                 : slots;
}

} // namespace lacewingbeam
