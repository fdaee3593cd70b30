#include "request_log.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace lacewingbeam {

namespace {

// Limit the CPU time spent on logging at peak load. A line takes some
// microseconds.
constexpr double max_lines_per_second = 150;
constexpr double max_line_burst = 600;

} // namespace

std::string fingerprint_text(std::uint64_t fingerprint) {
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint);
    return text.data();
}

request_log::request_log(time_point now)
    : line_budget_(max_lines_per_second, max_line_burst, now) {}

void request_log::write(event_number number,
                        std::initializer_list<log_field> fields,
                        time_point now) {
    if (!is_logged(number)) {
        return;
    }
    if (!line_budget_.try_take(now)) {
        ++suppressed_;
        return;
    }
    if (suppressed_ > 0) {
        log_event(event_number::lines_left_out,
                  {{"count", std::to_string(suppressed_)}});
        suppressed_ = 0;
    }
    log_event(number, fields);
}

} // namespace lacewingbeam
