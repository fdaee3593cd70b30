#include "lacewingbeam/request_router.hpp"

#include <algorithm>

// How requests end when the instance stops.
namespace lacewingbeam {

namespace {

// Latencies are heavy-tailed; most are below this multiple of the mean.
constexpr double usual_latency_ratio = 3;

} // namespace

void request_router::begin_stop(time_point refuse_from, time_point ends_at) {
    stop_ = {std::min(refuse_from, ends_at), ends_at};
    for (auto& [id, request] : requests_) {
        limit_by_stop(request);
    }
    for (auto& [id, request] : early_requests_) {
        request.give_up_at = std::min(request.give_up_at, ends_at);
    }
}

void request_router::limit_by_stop(request_entry& request) {
    if (!stop_) {
        return;
    }
    const auto usual = std::min(
        request.objective,
        from_seconds(usual_latency_ratio * base_latency_of(request) / 1000));
    request.deadline = std::min(request.deadline, stop_->ends_at);
    request.too_late_at = stop_->ends_at - usual;
}

// Ends a request that is not running and could no longer be answered before the
// instance exits. Returns true if it must not be sent.
bool request_router::end_if_too_late(request_entry& request, time_point now,
                                     actions& out) {
    if (!request.too_late_at || now < *request.too_late_at) {
        return false;
    }
    if (!request.running_attempts.empty()) { // it needs no hedge either
        release_repeat(request);
        request.hedged = true;
        request.decide_at.reset();
        request.recheck_at.reset();
        request.pending_probes.clear();
        return true;
    }
    if (request.lost_reason) {
        finish(request, may_have_run{*request.lost_reason}, std::nullopt, out);
    } else {
        finish(request, not_run{not_run_reason::instance_stopping},
               stopping_retry_after, out);
    }
    return true;
}

} // namespace lacewingbeam
