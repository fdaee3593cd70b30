#include "load_generator.hpp"

#include <csignal>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

// lacewingbeam-load: sends open-loop load and prints a report as JSON.
namespace {

using namespace lacewingbeam::bench;

std::vector<std::string> split_targets(const std::string& text) {
    std::vector<std::string> targets;
    std::istringstream input(text);
    for (std::string target; std::getline(input, target, ',');) {
        targets.push_back(target);
    }
    return targets;
}

int run(int argc, char** argv) {
    TCLAP::CmdLine line("Sends open-loop load; latencies count from the "
                        "planned send time.",
                        ' ', "1");
    TCLAP::ValueArg<std::string> targets("t", "targets", "addresses to send to",
                                         true, "", "IP:port,...", line);
    TCLAP::ValueArg<std::string> phases("p", "phases", "phases of the load",
                                        true, "", "name:10s@200,...", line);
    TCLAP::MultiArg<std::string> classes(
        "c", "class", "class of calls", true,
        "name:share:METHOD:/path:work:bytes[:ticket|:key]", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of the plan", false,
                                        1, "SEED", line);
    TCLAP::ValueArg<std::string> prefix(
        "o", "prefix", "prefix of operation names", false, "op", "TEXT", line);
    line.parse(argc, argv);
    std::vector<work_class> work_classes;
    for (const auto& text : classes.getValue()) {
        work_classes.push_back(parse_class(text));
    }
    const auto plan = make_plan(parse_phases(phases.getValue()),
                                std::move(work_classes), seed.getValue());
    generator_options options;
    options.targets = split_targets(targets.getValue());
    options.operation_prefix = prefix.getValue();
    load_generator generator(plan, options);
    std::cout << generator.run().to_json().dump(1) << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc, argv);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 2;
    }
}
