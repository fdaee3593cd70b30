#include "schedule.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

// Runs random schedules: run-schedules --seed N [--count M].
int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Random schedules against the decisions", ' ',
                               "1");
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1,
                                            "SEED", command);
        TCLAP::ValueArg<std::uint64_t> count("n", "count", "how many seeds",
                                             false, 1, "COUNT", command);
        TCLAP::ValueArg<std::string> operation("o", "operation",
                                               "show what happened to it",
                                               false, "", "NAME", command);
        command.parse(argc, argv);
        schedule::outcome totals;
        std::size_t violating_seeds = 0;
        for (std::uint64_t i = 0; i < count.getValue(); ++i) {
            const auto one =
                schedule::run(seed.getValue() + i, operation.getValue());
            std::cout << one.timeline;
            for (const auto& violation : one.violations) {
                std::cout << "seed " << seed.getValue() + i << ": " << violation
                          << "\n";
            }
            violating_seeds += one.violations.empty() ? 0 : 1;
            totals.operations += one.operations;
            totals.runs += one.runs;
            totals.completed += one.completed;
            totals.not_run += one.not_run;
            totals.may_have_run += one.may_have_run;
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
