#ifndef LACEWINGBEAM_ADAPTERS_DAEMON_HPP
#define LACEWINGBEAM_ADAPTERS_DAEMON_HPP

#include <functional>
#include <string>

namespace lacewingbeam {

// Implements a daemon's main(): parses --settings FILE and calls `serve` with
// the path. Returns the exit code: 0 on success, 1 if the daemon failed to
// start or terminated with an error (LB1004), 2 if the settings are invalid.
int run_daemon(int argc, char** argv, const std::string& description,
               const std::function<void(const std::string&)>& serve);

} // namespace lacewingbeam

#endif
