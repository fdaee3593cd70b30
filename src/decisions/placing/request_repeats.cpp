#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <utility>

// This instance's part of the budget of repeats.
namespace lacewingbeam {

void request_router::set_sharing_instances(std::size_t count, bool all_known,
                                           time_point now) {
    sharing_instances_ = all_known ? std::optional(count) : std::nullopt;
    for (auto& [name, service] : services_) {
        if (service.repeats) {
            service.repeats->set_instances(sharing_instances_, now);
        }
    }
}

repeat_budget& request_router::repeats_of(const std::string& service,
                                          time_point now) {
    auto& repeats = entry_of_service(service).repeats;
    if (!repeats) {
        repeats = std::make_unique<repeat_budget>(options_.repeats);
        repeats->set_instances(sharing_instances_, now);
    }
    return *repeats;
}

// Every attempt beyond the first needs a reserved repeat, which `place` sends.
bool request_router::try_reserve_repeat(request_entry& request,
                                        time_point now) {
    if (request.repeat_reserved) {
        return true;
    }
    if (std::max(request.attempts, request.may_have_arrived) >=
            request.max_attempts ||
        now >= request.deadline) {
        return false;
    }
    if (request.lost_reason && request.retry == retry_policy::at_most_once) {
        return false;
    }
    if (request.may_have_arrived == 0) {
        return true; // the next attempt is the first to arrive
    }
    // The request may be what crashed these servers.
    if (quarantine_.losses(request.fingerprint) >=
        request_quarantine::losses_to_suspect) {
        return false;
    }
    request.repeat_reserved = repeats_of(request.service, now).try_reserve(now);
    return request.repeat_reserved;
}

// Called before an attempt is sent. Returns false if it would be one beyond the
// first without a reserved repeat.
bool request_router::take_reserved_repeat(request_entry& request) {
    if (request.may_have_arrived == 0) {
        release_repeat(request);
        return true;
    }
    if (!std::exchange(request.repeat_reserved, false)) {
        return false;
    }
    entry_of_service(request.service).repeats->on_sent();
    return true;
}

void request_router::release_repeat(request_entry& request) {
    if (std::exchange(request.repeat_reserved, false)) {
        entry_of_service(request.service).repeats->release();
    }
}

} // namespace lacewingbeam
