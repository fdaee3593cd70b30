#ifndef LACEWINGBEAM_TOOL_COMMANDS_HPP
#define LACEWINGBEAM_TOOL_COMMANDS_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

// Commands of the operators' command-line tool.
namespace lacewingbeam {

// Exit codes of lacewingbeam, as docs/INTERFACE.md lists them.
enum exit_code {
    exit_success = 0,
    exit_unreachable = 1, // platform or instance did not answer
    exit_bad_input = 2,   // invalid arguments, settings, cells or files
    exit_conflict = 3,    // another edit changed the row first
    exit_unknown = 4,     // unknown whether the edit was committed
    exit_timeout = 5,     // a drain did not finish in time
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

// Commands that query instances; drain also edits the table.
int run_drain(const std::vector<std::string>& arguments);
int run_status(const std::vector<std::string>& arguments);
int run_explain(const std::vector<std::string>& arguments);

// Commands for settings.
int run_check_settings(const std::vector<std::string>& arguments);
int run_settings_reference(const std::vector<std::string>& arguments);

} // namespace lacewingbeam

#endif
