#ifndef LACEWINGBEAM_CHOICE_HPP
#define LACEWINGBEAM_CHOICE_HPP

#include "core.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

// Rules that choose a backend server for a request.
namespace lacewingbeam {

// What is known of a backend server at the moment of a choice.
struct candidate {
    std::size_t index = 0; // the caller's own numbering
    double weight = 1;
    unsigned slots = 1;
    unsigned own_in_flight = 0; // exact, this instance's
    double load = 0;            // estimated requests of all instances
    double latency_ms = 0;      // recent short work, smoothed
    double penalty = 1;         // 1 healthy; grows with failures
    bool own_failure_domain = false;
};

// Any candidate, in proportion to weight.
struct random_choice {};

// Each candidate in turn, weights ignored.
struct round_robin {
    std::size_t next = 0;
};

// The fewest own requests in flight for its weight; ties at random.
struct least_in_flight {};

// The better of two random candidates by own requests in flight.
struct power_of_two {};

// Samples several candidates, drops those estimated to be full, and takes
// the one with the lowest expected wait from load, slots, latency and
// penalty.
struct load_aware {
    unsigned sample_size = 5;
};

using choice_policy = std::variant<random_choice, round_robin, least_in_flight,
                                   power_of_two, load_aware>;

// Reads a policy's name as written in settings. Throws error if unknown.
choice_policy parse_policy(std::string_view name);

// The chosen candidate's index; nothing if there are none.
std::optional<std::size_t> choose(choice_policy& policy,
                                  std::span<const candidate> candidates,
                                  random_engine& engine);

// The load-aware rule's cost of a candidate; lower is better.
double expected_cost(const candidate& value);

} // namespace lacewingbeam

#endif
