#ifndef LACEWINGBEAM_ADAPTERS_DAEMON_HPP
#define LACEWINGBEAM_ADAPTERS_DAEMON_HPP

#include <functional>
#include <string>

namespace lacewingbeam {

// The main function of a daemon: reads --settings FILE from the command line
// and calls `serve` with the path. Returns the process's exit code: 0, 1 if it
// could not start or failed (LB1004), 2 for settings that cannot be accepted.
int run_daemon(int argc, char** argv, const std::string& description,
               const std::function<void(const std::string&)>& serve);

} // namespace lacewingbeam

#endif
