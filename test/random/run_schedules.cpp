#include "schedule.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

// Runs random schedules:
// run-schedules [--seed N] [--count M] [--operation NAME].
int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command(
            "Runs random fault schedules against the coordinator", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1,
                                            "SEED", command);
        TCLAP::ValueArg<std::uint64_t> count("n", "count", "number of seeds",
                                             false, 1, "COUNT", command);
        TCLAP::ValueArg<std::string> operation(
            "o", "operation", "operation to print the timeline of", false, "",
            "NAME", command);
        command.parse(argc, argv);
        schedule::outcome totals;
        std::size_t violating_seeds = 0;
        for (std::uint64_t i = 0; i < count.getValue(); ++i) {
            const auto result =
                schedule::run(seed.getValue() + i, operation.getValue());
            std::cout << result.timeline;
            for (const auto& violation : result.violations) {
                std::cout << "seed " << seed.getValue() + i << ": " << violation
                          << "\n";
            }
            violating_seeds += result.violations.empty() ? 0 : 1;
            totals.operations += result.operations;
            totals.runs += result.runs;
            totals.completed += result.completed;
            totals.not_run += result.not_run;
            totals.may_have_run += result.may_have_run;
        }
        std::cout << count.getValue() << " seeds, " << violating_seeds
                  << " with violations; operations " << totals.operations
                  << ", runs " << totals.runs << ", completed "
                  << totals.completed << ", not_run " << totals.not_run
                  << ", may_have_run " << totals.may_have_run << "\n";
        return violating_seeds == 0 ? 0 : 1;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
        return 2;
    }
}
