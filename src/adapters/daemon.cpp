#include "daemon.hpp"

#include "event_log.hpp"
#include "settings_file.hpp"

#include <exception>
#include <iostream>
#include <tclap/CmdLine.h>

namespace lacewingbeam {

namespace {

constexpr int exit_success = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

// As for the setting.
constexpr int min_memory_limit = 64;
constexpr int max_memory_limit = 1048576;

int checked_memory_limit(int value) {
    if (value < min_memory_limit || value > max_memory_limit) {
        throw settings_error("--memory-limit " + std::to_string(value) +
                             ": allowed are " +
                             std::to_string(min_memory_limit) + " to " +
                             std::to_string(max_memory_limit) + " MB");
    }
    return value;
}

} // namespace

int run_daemon(int argc, char** argv, const std::string& description,
               const std::function<void(const daemon_options&)>& serve) {
    try {
        TCLAP::CmdLine command(description, ' ', LACEWINGBEAM_VERSION);
        TCLAP::ValueArg<std::string> settings(
            "s", "settings", "settings file (INI)", true, "", "FILE", command);
        TCLAP::ValueArg<int> memory("", "memory-limit",
                                    "replaces the setting memory_limit", false,
                                    0, "MB", command);
        command.parse(argc, argv);
        daemon_options options{settings.getValue(), std::nullopt};
        if (memory.isSet()) {
            options.memory_limit = checked_memory_limit(memory.getValue());
        }
        serve(options);
        return exit_success;
    } catch (const settings_error& problem) {
        std::cerr << problem.what() << std::endl;
        return exit_bad_settings;
    } catch (const std::exception& problem) {
        configure_log("error");
        log_event(event_number::start_failed, {{"reason", problem.what()}});
        return exit_failed;
    }
}

} // namespace lacewingbeam
