#ifndef LACEWINGBEAM_ROUTER_REQUEST_LOG_HPP
#define LACEWINGBEAM_ROUTER_REQUEST_LOG_HPP

#include "adapters/event_log.hpp"
#include "lacewingbeam/budget.hpp"

// Logs events of single requests at a limited rate.
namespace lacewingbeam {

// Formats a request's fingerprint as 16 hexadecimal digits.
std::string fingerprint_text(std::uint64_t fingerprint);

class request_log {
public:
    explicit request_log(time_point now);

    // Writes the event, or drops it if the rate limit is exceeded. The number
    // of dropped events is logged before the next event that is written.
    void write(event_number number, std::initializer_list<log_field> fields,
               time_point now);

private:
    token_bucket line_budget_;
    std::uint64_t suppressed_ = 0;
};

} // namespace lacewingbeam

#endif
