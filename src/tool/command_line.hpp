#ifndef LACEWINGBEAM_TOOL_COMMAND_LINE_HPP
#define LACEWINGBEAM_TOOL_COMMAND_LINE_HPP

#include <string>
#include <tclap/CmdLine.h>
#include <vector>

// TCLAP command line that leaves error handling to main(), which maps errors to
// the documented exit codes.
namespace lacewingbeam {

class command_line : public TCLAP::CmdLine {
public:
    explicit command_line(const std::string& help)
        : TCLAP::CmdLine(help, ' ', LACEWINGBEAM_VERSION) {
        setExceptionHandling(false);
    }

    void read(std::vector<std::string> arguments) { parse(arguments); }
};

} // namespace lacewingbeam

#endif
