#ifndef LACEWINGBEAM_ROUTER_REQUEST_LOG_HPP
#define LACEWINGBEAM_ROUTER_REQUEST_LOG_HPP

#include "adapters/event_log.hpp"
#include "lacewingbeam/budget.hpp"

// Lines about single requests, bounded under load.
namespace lacewingbeam {

class request_log {
public:
    explicit request_log(time_point now);

    // Writes the event, or counts it as left out if too many were written
    // lately; the next line that is written says how many were left out.
    void write(event_number number, std::initializer_list<log_field> fields,
               time_point now);

private:
    token_bucket line_budget_;
    std::uint64_t suppressed_ = 0;
};

} // namespace lacewingbeam

#endif
