#include "lacewingbeam/crowding.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

constexpr double crowded_part = 0.8;

// A few requests run many times longer than the rest; beyond these ratios
// they say nothing of the server.
constexpr double least_ratio = 0.4;
constexpr double greatest_ratio = 3;

// Requests after which a new one counts as little as any before.
constexpr double memory = 200;

// What is assumed before anything was seen, and the requests that outweigh
// it.
constexpr double assumed_factor = 1.2;
constexpr double assumed_weight = 6;

// Uncertainty of the estimate that is conceded to the crowded server.
constexpr double benefit_of_doubt = 0.93;

} // namespace

unsigned quiet_slots(unsigned slots) {
    return std::max(1U, static_cast<unsigned>(crowded_part * slots));
}

void crowding_estimate::on_completed(bool crowded, double ratio) {
    auto& group = means_[crowded ? 1 : 0];
    group.weight = std::min(memory, group.weight + 1);
    const double seen =
        std::log(std::clamp(ratio, least_ratio, greatest_ratio));
    group.log_ratio += (seen - group.log_ratio) / group.weight;
}

double crowding_estimate::factor() const {
    const auto& quiet = means_[0];
    const auto& crowded = means_[1];
    const double weight = std::min(quiet.weight, crowded.weight);
    const double seen = crowded.log_ratio - quiet.log_ratio;
    const double blended =
        (weight * seen + assumed_weight * std::log(assumed_factor)) /
        (weight + assumed_weight);
    return std::max(1.0, std::exp(blended));
}

unsigned crowding_estimate::useful_slots(unsigned slots) const {
    const unsigned quiet = quiet_slots(slots);
    const double more_slots = static_cast<double>(slots) / quiet;
    return factor() * benefit_of_doubt > more_slots ? quiet : slots;
}

} // namespace lacewingbeam
