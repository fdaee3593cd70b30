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
        schedule::outcome sum;
        std::size_t bad = 0;
        for (std::uint64_t i = 0; i < count.getValue(); ++i) {
            const auto one =
                schedule::run(seed.getValue() + i, operation.getValue());
            std::cout << one.timeline;
            for (const auto& violation : one.violations) {
                std::cout << "seed " << seed.getValue() + i << ": " << violation
                          << "\n";
            }
            bad += one.violations.empty() ? 0 : 1;
            sum.sends += one.sends;
            sum.runs += one.runs;
            sum.completed += one.completed;
            sum.not_run += one.not_run;
            sum.may_have_run += one.may_have_run;
        }
        std::cout << count.getValue() << " seeds, " << bad
                  << " with violations; operations " << sum.sends << ", runs "
                  << sum.runs << ", completed " << sum.completed << ", not_run "
                  << sum.not_run << ", may_have_run " << sum.may_have_run
                  << "\n";
        return bad == 0 ? 0 : 1;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
        return 2;
    }
}
