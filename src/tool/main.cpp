#include "adapters/settings_file.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "csv.hpp"
#include "session.hpp"

#include <iostream>

// The operators' command-line tool: lacewingbeam COMMAND ...
namespace {

using lacewingbeam::tool_command;

void print_help(std::ostream& out) {
    out << "usage: lacewingbeam COMMAND [ARGUMENTS]\n\n";
    for (const auto& command : lacewingbeam::tool_commands()) {
        out << "  " << command.name
            << std::string(22 - command.name.size(), ' ') << command.help
            << "\n";
    }
    out << "\nlacewingbeam COMMAND --help shows a command's arguments.\n"
           "exit codes: 0 success, 1 no answer, 2 invalid input, 3 conflict, "
           "4 edit may have\nbeen committed, 5 timed out\n";
}

// Finds the command named by the first one or two words.
const tool_command* find_command(const std::vector<std::string>& words) {
    for (const auto& command : lacewingbeam::tool_commands()) {
        const bool matches_one_word =
            !words.empty() && words[0] == command.name;
        const bool matches_two_words =
            words.size() > 1 && words[0] + " " + words[1] == command.name;
        if (matches_one_word || matches_two_words) {
            return &command;
        }
    }
    return nullptr;
}

int run_command(const tool_command& command, std::vector<std::string> words) {
    const bool has_two_words = command.name.find(' ') != std::string_view::npos;
    words.erase(words.begin(), words.begin() + (has_two_words ? 2 : 1));
    // TCLAP expects the program name as the first word.
    words.insert(words.begin(), "lacewingbeam " + std::string(command.name));
    return command.run(words);
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (!words.empty() && (words[0] == "--help" || words[0] == "-h")) {
        print_help(std::cout);
        return lacewingbeam::exit_success;
    }
    const auto* command = find_command(words);
    if (command == nullptr) {
        print_help(std::cerr);
        return lacewingbeam::exit_bad_input;
    }
    try {
        return run_command(*command, words);
    } catch (const lacewingbeam::unreachable_error& problem) {
        std::cerr << problem.what() << std::endl;
        return lacewingbeam::exit_unreachable;
    } catch (const TCLAP::ExitException& exit_request) {
        return exit_request.getExitStatus();
    } catch (const TCLAP::ArgException& problem) {
        std::cerr << problem.error() << " " << problem.argId() << std::endl;
        return lacewingbeam::exit_bad_input;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return lacewingbeam::exit_bad_input;
    }
}
