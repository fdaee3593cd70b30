#ifndef LACEWINGBEAM_CHOICE_HPP
#define LACEWINGBEAM_CHOICE_HPP

#include "core.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

// Load-balancing policies: how a backend server is selected for a request.
namespace lacewingbeam {

// What is known about a backend server when it is considered for a request.
struct candidate {
    std::size_t index = 0; // chosen by the caller; returned by choose
    double weight = 1;
    unsigned slots = 1;
    unsigned own_in_flight = 0; // sent by this instance; exact
    double load = 0;            // estimated in-flight requests, all instances
    double latency_ms = 0;      // moving average over short work
    double penalty = 1;         // cost factor; 1 if healthy
    bool own_failure_domain = false;
};

// Random selection in proportion to weight.
struct random_choice {};

// Each candidate in turn, regardless of weight.
struct round_robin {
    std::size_t next = 0;
};

// Fewest own requests in flight relative to weight; ties are broken at
// random.
struct least_in_flight {};

// Of two random candidates, the one with fewer own requests in flight
// relative to weight.
struct power_of_two {};

// Of several random candidates, the one with the lowest expected cost, given
// its load, slots, latency and penalty. The dispatcher passes only candidates
// that are not estimated to be full.
struct load_aware {
    unsigned sample_size = 5;
};

using choice_policy = std::variant<random_choice, round_robin, least_in_flight,
                                   power_of_two, load_aware>;

// Parses a policy name as used in the settings. Throws `error` if the name is
// unknown.
choice_policy parse_policy(std::string_view name);

// Returns the index of the chosen candidate, or nothing if there are no
// candidates.
std::optional<std::size_t> choose(choice_policy& policy,
                                  std::span<const candidate> candidates,
                                  random_engine& engine);

// Returns the cost by which load_aware compares candidates; lower is better.
double expected_cost(const candidate& value);

} // namespace lacewingbeam

#endif
