#include "lacewingbeam/deadline_queue.hpp"

namespace lacewingbeam {

deadline_queue::deadline_queue(std::size_t limit) : limit_(limit) {}

bool deadline_queue::push(call_id call, time_point deadline) {
    if (order_.size() >= limit_) {
        return false;
    }
    restore(call, deadline);
    return true;
}

void deadline_queue::restore(call_id call, time_point deadline) {
    order_.emplace(deadline, call);
    deadlines_.emplace(call, deadline);
}

bool deadline_queue::remove(call_id call) {
    const auto found = deadlines_.find(call);
    if (found == deadlines_.end()) {
        return false;
    }
    order_.erase({found->second, call});
    deadlines_.erase(found);
    return true;
}

std::vector<call_id> deadline_queue::in_order() const {
    std::vector<call_id> calls;
    calls.reserve(order_.size());
    for (const auto& [deadline, call] : order_) {
        calls.push_back(call);
    }
    return calls;
}

std::vector<call_id> deadline_queue::expire(time_point now) {
    std::vector<call_id> expired;
    while (!order_.empty() && order_.begin()->first <= now) {
        const auto call = order_.begin()->second;
        order_.erase(order_.begin());
        deadlines_.erase(call);
        expired.push_back(call);
    }
    return expired;
}

} // namespace lacewingbeam
