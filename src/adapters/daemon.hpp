#ifndef LACEWINGBEAM_ADAPTERS_DAEMON_HPP
#define LACEWINGBEAM_ADAPTERS_DAEMON_HPP

#include <functional>
#include <optional>
#include <string>

namespace lacewingbeam {

struct daemon_options {
    std::string settings_path;
    std::optional<int> memory_limit; // MB; replaces the setting
};

// Implements a daemon's main(): parses --settings FILE and --memory-limit MB
// and calls `serve` with them. Returns the exit code: 0 on success, 1 if the
// daemon failed to start or terminated with an error (LB1004), 2 if the
// settings are invalid.
int run_daemon(int argc, char** argv, const std::string& description,
               const std::function<void(const daemon_options&)>& serve);

} // namespace lacewingbeam

#endif
