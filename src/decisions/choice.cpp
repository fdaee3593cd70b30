#include "lacewingbeam/choice.hpp"

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <string>

namespace lacewingbeam {

namespace {

using candidates_view = std::span<const candidate>;

constexpr std::size_t max_sample_size = 16;

// Lower bound for a server's latency; also used while it is unknown.
constexpr double min_latency_ms = 1;

// Accounts for the extra network delay to another failure domain.
constexpr double remote_domain_factor = 1.05;

double total_weight(candidates_view candidates) {
    double sum = 0;
    for (const auto& item : candidates) {
        sum += item.weight;
    }
    return sum;
}

// Returns a random position, in proportion to weight.
std::size_t pick_weighted(candidates_view candidates, double total,
                          random_engine& engine) {
    boost::random::uniform_real_distribution<double> pick(0, total);
    double remaining = pick(engine);
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
        remaining -= candidates[i].weight;
        if (remaining < 0) {
            return i;
        }
    }
    return candidates.size() - 1;
}

double own_load(const candidate& item) {
    return (item.own_in_flight + 1.0) / item.weight;
}

struct chooser {
    candidates_view candidates;
    random_engine& engine;

    std::size_t operator()(random_choice&) const {
        return pick_weighted(candidates, total_weight(candidates), engine);
    }

    std::size_t operator()(round_robin& policy) const {
        return policy.next++ % candidates.size();
    }

    std::size_t operator()(least_in_flight&) const {
        std::size_t best = 0;
        unsigned ties = 1;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            const double load = own_load(candidates[i]);
            const double best_load = own_load(candidates[best]);
            if (load < best_load) {
                best = i;
                ties = 1;
            } else if (load == best_load) {
                ++ties;
                boost::random::uniform_int_distribution<unsigned> pick(1, ties);
                if (pick(engine) == 1) {
                    best = i;
                }
            }
        }
        return best;
    }

    std::size_t operator()(power_of_two&) const {
        const double total = total_weight(candidates);
        const auto first = pick_weighted(candidates, total, engine);
        const auto second = pick_weighted(candidates, total, engine);
        return own_load(candidates[second]) < own_load(candidates[first])
                   ? second
                   : first;
    }

    std::size_t operator()(load_aware& policy) const {
        const auto sample_size =
            std::min<std::size_t>(policy.sample_size, candidates.size());
        std::array<std::size_t, max_sample_size> positions{};
        if (candidates.size() <= max_sample_size) {
            return best_of_sample(sample_size, positions);
        }
        const double total = total_weight(candidates);
        std::size_t best = pick_weighted(candidates, total, engine);
        for (std::size_t i = 1; i < sample_size; ++i) {
            best = lower_cost(best, pick_weighted(candidates, total, engine));
        }
        return best;
    }

private:
    std::size_t lower_cost(std::size_t a, std::size_t b) const {
        return expected_cost(candidates[b]) < expected_cost(candidates[a]) ? b
                                                                           : a;
    }

    // Draws `sample_size` distinct positions by a partial shuffle and returns
    // the one with the lowest cost.
    std::size_t
    best_of_sample(std::size_t sample_size,
                   std::array<std::size_t, max_sample_size>& positions) const {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            positions[i] = i;
        }
        std::size_t best = candidates.size();
        for (std::size_t i = 0; i < sample_size; ++i) {
            boost::random::uniform_int_distribution<std::size_t> pick(
                i, candidates.size() - 1);
            std::swap(positions[i], positions[pick(engine)]);
            best = best == candidates.size() ? positions[i]
                                             : lower_cost(best, positions[i]);
        }
        return best;
    }
};

} // namespace

double expected_cost(const candidate& value) {
    const double service_ms = std::max(value.latency_ms, min_latency_ms);
    const double per_slot = (value.load + 1) / (value.slots * value.weight);
    const double waiting =
        std::max(0.0, value.load + 1 - value.slots) / value.slots;
    const double domain = value.own_failure_domain ? 1 : remote_domain_factor;
    return service_ms * (per_slot + waiting + 1) * value.penalty * domain;
}

choice_policy parse_policy(std::string_view name) {
    if (name == "random") {
        return random_choice{};
    }
    if (name == "round_robin") {
        return round_robin{};
    }
    if (name == "least_in_flight") {
        return least_in_flight{};
    }
    if (name == "power_of_two") {
        return power_of_two{};
    }
    if (name == "load_aware") {
        return load_aware{};
    }
    throw error("unknown policy \"" + std::string(name) +
                "\"; expected random, round_robin, least_in_flight, "
                "power_of_two or load_aware");
}

std::optional<std::size_t> choose(choice_policy& policy,
                                  std::span<const candidate> candidates,
                                  random_engine& engine) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto position = std::visit(chooser{candidates, engine}, policy);
    return candidates[position].index;
}

} // namespace lacewingbeam
