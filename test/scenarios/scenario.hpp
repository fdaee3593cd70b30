#ifndef LACEWINGBEAM_TEST_SCENARIOS_SCENARIO_HPP
#define LACEWINGBEAM_TEST_SCENARIOS_SCENARIO_HPP

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

// The test language for scripted scenarios; docs/TESTING.md describes it.
namespace scenario {

// Thrown for a script that can't be read; names the line.
class script_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct result {
    std::vector<std::string> failures; // empty: all expectations were met
    std::size_t expectations = 0;
};

// Runs a script. `name` stands for the file in messages.
result run_script(std::string_view text, const std::string& name);

result run_file(const std::string& path);

} // namespace scenario

#endif
