#include "../adapters/daemon.hpp"
#include "../adapters/event_log.hpp"
#include "../adapters/settings_file.hpp"
#include "entry_process.hpp"

#include <iostream>

// Daemon of an entry instance: lacewingbeam-entry --settings FILE
// [--memory-limit MB].
int main(int argc, char** argv) {
    return lacewingbeam::run_daemon(
        argc, argv,
        "Entry instance of the lacewingbeam load balancer. SIGTERM drains and "
        "stops it.",
        [](const lacewingbeam::daemon_options& options) {
            auto values =
                lacewingbeam::read_settings_file(options.settings_path);
            values.limits.memory_limit =
                options.memory_limit.value_or(values.limits.memory_limit);
            lacewingbeam::configure_log(values.log.level);
            lacewingbeam::entry_process process(values);
            std::cout << process.ports_line() << std::endl;
            process.run();
        });
}
