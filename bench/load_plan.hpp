#ifndef LACEWINGBEAM_BENCH_LOAD_PLAN_HPP
#define LACEWINGBEAM_BENCH_LOAD_PLAN_HPP

#include "lacewingbeam/core.hpp"

#include <string>
#include <string_view>
#include <vector>

// What load to send: phases of a rate, and classes of work. All of it is
// drawn from one seed before the first call is sent.
namespace lacewingbeam::bench {

// A time with a constant rate of arrivals.
struct phase {
    std::string name;
    duration length{};
    double rate = 0; // calls a second
};

// A kind of call.
struct work_class {
    std::string name;
    double share = 1; // of all calls
    std::string method = "GET";
    std::string target;
    duration mean_work{}; // exponentially distributed; 0: as in target
    std::size_t answer_bytes = 16;
    bool ticketed = false; // bears a ticket of an earlier answer
    bool keyed = false;    // bears an idempotency key
};

struct planned_call {
    duration at{}; // from the start
    std::size_t phase = 0;
    std::size_t work_class = 0;
    duration work{};
};

struct load_plan {
    std::vector<phase> phases;
    std::vector<work_class> classes;
    std::vector<planned_call> calls; // in order of time
};

// Reads "steady:10s@200" or "a:5s@200,b:2s@600". Throws error.
std::vector<phase> parse_phases(std::string_view text);

// Reads "short:0.95:GET:/status/x:5ms:16" and such; a further ":ticket" or
// ":key" makes the calls bear tickets or keys. Throws error.
work_class parse_class(std::string_view text);

// Poisson arrivals for the phases and classes.
load_plan make_plan(std::vector<phase> phases, std::vector<work_class> classes,
                    std::uint64_t seed);

} // namespace lacewingbeam::bench

#endif
