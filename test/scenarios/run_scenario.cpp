#include "scenario.hpp"

#include <iostream>

// Runs scenario files: run-scenario FILE...
int main(int argc, char** argv) {
    bool good = true;
    for (int i = 1; i < argc; ++i) {
        try {
            const auto outcome = scenario::run_file(argv[i]);
            for (const auto& failure : outcome.failures) {
                std::cout << failure << "\n";
            }
            good = good && outcome.failures.empty();
            std::cout << argv[i] << ": " << outcome.expectations
                      << " expectations, " << outcome.failures.size()
                      << " failures\n";
        } catch (const scenario::script_error& problem) {
            std::cerr << problem.what() << "\n";
            return 2;
        }
    }
    return good ? 0 : 1;
}
