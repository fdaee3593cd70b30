#ifndef LACEWINGBEAM_BENCH_LOAD_PLAN_HPP
#define LACEWINGBEAM_BENCH_LOAD_PLAN_HPP

#include "lacewingbeam/core.hpp"

#include <string>
#include <string_view>
#include <vector>

// Plan of the load: phases with an arrival rate, and classes of work. The plan
// is generated from one seed before the first call is sent.
namespace lacewingbeam::bench {

// A period with a constant arrival rate.
struct phase {
    std::string name;
    duration length{};
    double rate = 0; // calls per second
};

// A class of calls with the same target and amount of work.
struct work_class {
    std::string name;
    double share = 1; // relative share of all calls
    std::string method = "GET";
    std::string target;
    duration mean_work{}; // mean of an exponential distribution; 0: no work
    std::size_t answer_bytes = 16;
    bool ticketed = false; // sends a ticket from an earlier answer
    bool keyed = false;    // sends an idempotency key
};

struct planned_call {
    duration at{}; // offset from the start of the run
    std::size_t phase = 0;
    std::size_t work_class = 0;
    duration work{};
};

struct load_plan {
    std::vector<phase> phases;
    std::vector<work_class> classes;
    std::vector<planned_call> calls; // sorted by time
};

// Parses "steady:10s@200" or "a:5s@200,b:2s@600". Throws error.
std::vector<phase> parse_phases(std::string_view text);

// Parses text such as "short:0.95:GET:/status/x:5ms:16"; a final ":ticket" or
// ":key" makes the calls send tickets or idempotency keys. Throws error.
work_class parse_class(std::string_view text);

// Generates Poisson arrivals for the phases and classes.
load_plan make_plan(std::vector<phase> phases, std::vector<work_class> classes,
                    std::uint64_t seed);

} // namespace lacewingbeam::bench

#endif
