#include "request_log.hpp"

namespace lacewingbeam {

namespace {

// Bounds what logging costs at the crest: some microseconds a line.
constexpr double lines_per_second = 150;
constexpr double line_burst = 600;

} // namespace

request_log::request_log(time_point now)
    : lines_(lines_per_second, line_burst, now) {}

void request_log::write(event_number number,
                        std::initializer_list<log_field> fields,
                        time_point now) {
    if (!is_logged(number)) {
        return;
    }
    if (!lines_.try_take(now)) {
        ++left_out_;
        return;
    }
    if (left_out_ > 0) {
        log_event(event_number::lines_left_out,
                  {{"count", std::to_string(left_out_)}});
        left_out_ = 0;
    }
    log_event(number, fields);
}

} // namespace lacewingbeam
