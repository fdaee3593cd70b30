#ifndef LACEWINGBEAM_TEST_RANDOM_SCHEDULE_HPP
#define LACEWINGBEAM_TEST_RANDOM_SCHEDULE_HPP

#include <cstdint>
#include <string>
#include <vector>

// Random schedules of calls, resends, faults, edits, pauses and replacements
// against the decisions, each fixed by its seed.
namespace schedule {

struct outcome {
    std::vector<std::string> violations;
    std::string timeline;
    std::size_t operations = 0;
    std::size_t runs = 0;
    std::size_t completed = 0;
    std::size_t not_run = 0;
    std::size_t may_have_run = 0;
};

// With an operation's name, the outcome has its timeline.
outcome run(std::uint64_t seed, const std::string& operation = {});

} // namespace schedule

#endif
