#ifndef LACEWINGBEAM_TEST_SCENARIOS_SCENARIO_HPP
#define LACEWINGBEAM_TEST_SCENARIOS_SCENARIO_HPP

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

// Runs scripted scenarios. docs/TESTING.md describes the scenario language.
namespace scenario {

// Thrown if a script is invalid. The message starts with the file and line.
class script_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct result {
    std::vector<std::string> failures; // empty if all expectations were met
    std::size_t expectations = 0;
};

// Runs a script. `name` is used as the file name in messages.
result run_script(std::string_view text, const std::string& name);

result run_file(const std::string& path);

} // namespace scenario

#endif
