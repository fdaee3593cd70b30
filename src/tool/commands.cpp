#include "commands.hpp"
#include "command_line.hpp"

#include "adapters/settings_file.hpp"

#include <array>
#include <iostream>

namespace lacewingbeam {

namespace {

constexpr std::array<tool_command, 10> commands{{
    {"table show", "show the table", run_table_show},
    {"table set", "set cells of a row", run_table_set},
    {"table remove", "remove a row", run_table_remove},
    {"table export", "write the table as CSV", run_table_export},
    {"table import", "import rows from a CSV file", run_table_import},
    {"drain", "take a backend server out of service", run_drain},
    {"status", "show the status of all instances", run_status},
    {"explain", "show choices, or the log events of a request", run_explain},
    {"check-settings", "check a settings file", run_check_settings},
    {"settings-reference", "print all settings", run_settings_reference},
}};

} // namespace

std::span<const tool_command> tool_commands() {
    return commands;
}

int run_check_settings(const std::vector<std::string>& arguments) {
    command_line line("Checks a settings file of lacewingbeam-entry.");
    TCLAP::UnlabeledValueArg<std::string> path("file", "settings file", true,
                                               "", "FILE", line);
    line.read(arguments);
    read_settings_file(path.getValue());
    std::cout << path.getValue() << ": valid\n";
    return exit_success;
}

int run_settings_reference(const std::vector<std::string>& arguments) {
    command_line line("Prints all settings as Markdown.");
    line.read(arguments);
    std::cout << settings_reference();
    return exit_success;
}

} // namespace lacewingbeam
