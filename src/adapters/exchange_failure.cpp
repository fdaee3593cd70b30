#include "connection_pool.hpp"

namespace lacewingbeam {

std::optional<may_have_run_reason>
to_may_have_run_reason(const exchange_failure& failure) {
    if (!failure.bytes_sent) {
        return std::nullopt;
    }
    switch (failure.problem) {
    case exchange_problem::malformed:
        return may_have_run_reason::answer_malformed;
    case exchange_problem::truncated:
        return may_have_run_reason::answer_truncated;
    case exchange_problem::stalled:
        return may_have_run_reason::answer_timeout;
    default:
        return may_have_run_reason::connection_lost;
    }
}

} // namespace lacewingbeam
