#include "lacewingbeam/deadline_queue.hpp"

namespace lacewingbeam {

deadline_queue::deadline_queue(std::size_t limit) : limit_(limit) {}

bool deadline_queue::push(call_id call, time_point deadline) {
    if (by_deadline_.size() >= limit_) {
        return false;
    }
    requeue(call, deadline);
    return true;
}

void deadline_queue::requeue(call_id call, time_point deadline) {
    by_deadline_.emplace(deadline, call);
    deadlines_.emplace(call, deadline);
}

bool deadline_queue::remove(call_id call) {
    const auto found = deadlines_.find(call);
    if (found == deadlines_.end()) {
        return false;
    }
    by_deadline_.erase({found->second, call});
    deadlines_.erase(found);
    return true;
}

std::vector<call_id> deadline_queue::calls_by_deadline() const {
    std::vector<call_id> calls;
    calls.reserve(by_deadline_.size());
    for (const auto& [deadline, call] : by_deadline_) {
        calls.push_back(call);
    }
    return calls;
}

std::vector<call_id> deadline_queue::take_expired(time_point now) {
    std::vector<call_id> expired;
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
        const auto call = by_deadline_.begin()->second;
        by_deadline_.erase(by_deadline_.begin());
        deadlines_.erase(call);
        expired.push_back(call);
    }
    return expired;
}

} // namespace lacewingbeam
