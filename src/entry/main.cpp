#include "../adapters/daemon.hpp"
#include "../adapters/event_log.hpp"
#include "../adapters/settings_file.hpp"
#include "entry_process.hpp"

#include <iostream>

// Daemon of an entry instance: lacewingbeam-entry --settings FILE.
int main(int argc, char** argv) {
    return lacewingbeam::run_daemon(
        argc, argv,
        "Entry instance of the lacewingbeam load balancer. SIGTERM drains and "
        "stops it.",
        [](const std::string& settings_path) {
            const auto values = lacewingbeam::read_settings_file(settings_path);
            lacewingbeam::configure_log(values.log.level);
            lacewingbeam::entry_process process(values);
            std::cout << process.ports_line() << std::endl;
            process.run();
        });
}
