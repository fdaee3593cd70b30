#ifndef LACEWINGBEAM_TOOL_COMMANDS_HPP
#define LACEWINGBEAM_TOOL_COMMANDS_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

// The commands of the operators' tool.
namespace lacewingbeam {

// Exit codes of lacewingbeam, as docs/INTERFACE.md lists them.
enum exit_code {
    exit_success = 0,
    exit_unreachable = 1, // platform or instance did not answer
    exit_bad_input = 2,   // arguments, settings, cells or files
    exit_conflict = 3,    // somebody else changed the row first
    exit_unknown = 4,     // the edit may have been accepted
    exit_timeout = 5,     // the wait for a drain ended first
};

struct tool_command {
    std::string_view name; // one or two words
    std::string_view help;
    int (*run)(const std::vector<std::string>& arguments);
};

std::span<const tool_command> tool_commands();

// Commands that read or edit the table.
int run_table_show(const std::vector<std::string>& arguments);
int run_table_set(const std::vector<std::string>& arguments);
int run_table_remove(const std::vector<std::string>& arguments);
int run_table_export(const std::vector<std::string>& arguments);
int run_table_import(const std::vector<std::string>& arguments);

// Commands that ask instances.
int run_drain(const std::vector<std::string>& arguments);
int run_status(const std::vector<std::string>& arguments);
int run_explain(const std::vector<std::string>& arguments);

// Commands on settings.
int run_check_settings(const std::vector<std::string>& arguments);
int run_settings_reference(const std::vector<std::string>& arguments);

} // namespace lacewingbeam

#endif
