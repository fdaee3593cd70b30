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

} // namespace

int run_daemon(int argc, char** argv, const std::string& description,
               const std::function<void(const std::string&)>& serve) {
    try {
        TCLAP::CmdLine command(description, ' ', LACEWINGBEAM_VERSION);
        TCLAP::ValueArg<std::string> settings(
            "s", "settings", "settings file (INI)", true, "", "FILE", command);
        command.parse(argc, argv);
        serve(settings.getValue());
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
