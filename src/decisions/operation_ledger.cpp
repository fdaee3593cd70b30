#include "lacewingbeam/operation_ledger.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

answer_now refuse(not_run_reason reason) {
    return answer_now{not_run{reason}};
}

answer_now uncertain(may_have_run_reason reason) {
    return answer_now{may_have_run{reason}};
}

std::size_t size_of(const recorded_answer& answer) {
    std::size_t size = answer.body.size();
    for (const auto& field : answer.headers) {
        size += field.name.size() + field.value.size();
    }
    return size;
}

} // namespace

operation_ledger::operation_ledger(ledger_limits limits) : limits_(limits) {}

begin_result operation_ledger::begin(const operation_request& request,
                                     time_point now) {
    const auto known = entries_.find(request.operation.text);
    if (known != entries_.end()) {
        return begin_existing(known->second, request);
    }
    if (now >= request.retained_until) {
        return uncertain(may_have_run_reason::answer_not_kept);
    }
    if (now >= request.start_deadline) {
        return refuse(not_run_reason::ticket_expired);
    }
    if (entries_.size() >= limits_.operations) {
        return uncertain(may_have_run_reason::operations_full);
    }
    entry added;
    added.fingerprint = request.fingerprint;
    added.attempt = request.attempt;
    added.start_deadline = request.start_deadline;
    added.retained_until = request.retained_until;
    entries_.emplace(request.operation.text, std::move(added));
    expiry_.emplace(request.start_deadline, request.operation.text);
    return may_start{false};
}

begin_result
operation_ledger::begin_existing(entry& known,
                                 const operation_request& request) {
    if (known.fingerprint != request.fingerprint) {
        return refuse(not_run_reason::ticket_content_differs);
    }
    const bool newer = request.attempt > known.attempt;
    known.attempt = std::max(known.attempt, request.attempt);
    if (known.running) {
        known.waiters.push_back(request.call);
        return wait_for_result{};
    }
    if (newer && certainly_not_run(known.outcome)) {
        known.running = true;
        return may_start{true};
    }
    if (known.answer) {
        return replay{*known.answer};
    }
    if (std::holds_alternative<completed>(known.outcome)) {
        return uncertain(may_have_run_reason::answer_not_kept);
    }
    return answer_now{known.outcome};
}

std::vector<call_id>
operation_ledger::finish(const operation_id& operation, const verdict& outcome,
                         std::optional<recorded_answer> answer) {
    const auto found = entries_.find(operation.text);
    if (found == entries_.end()) {
        return {};
    }
    auto& known = found->second;
    auto waiters = std::move(known.waiters);
    known.waiters.clear();
    known.running = false;
    known.outcome = outcome;
    if (answer) {
        store_answer(known, operation, std::move(*answer));
    }
    return waiters;
}

std::vector<call_id> operation_ledger::abandon(const operation_id& operation) {
    const auto found = entries_.find(operation.text);
    if (found == entries_.end()) {
        return {};
    }
    auto waiters = std::move(found->second.waiters);
    entries_.erase(found);
    return waiters;
}

void operation_ledger::store_answer(entry& known, const operation_id& operation,
                                    recorded_answer answer) {
    answer_bytes_ += size_of(answer);
    known.answer = std::move(answer);
    answered_.push_back(operation.text);
    while (answer_bytes_ > limits_.answer_bytes && !answered_.empty()) {
        const auto oldest = entries_.find(answered_.front());
        answered_.pop_front();
        if (oldest != entries_.end()) {
            drop_answer(oldest->second);
        }
    }
}

void operation_ledger::drop_answer(entry& known) {
    if (known.answer) {
        answer_bytes_ -= size_of(*known.answer);
        known.answer.reset();
    }
}

void operation_ledger::remove_waiter(const operation_id& operation,
                                     call_id call) {
    const auto found = entries_.find(operation.text);
    if (found != entries_.end()) {
        std::erase(found->second.waiters, call);
    }
}

// An operation that did not run is removed once it can no longer start. One
// that ran, or may have run, is kept until its retention time has passed.
void operation_ledger::expire(time_point now) {
    constexpr duration recheck_interval = std::chrono::seconds(1);
    while (!expiry_.empty() && expiry_.begin()->first <= now) {
        auto due = expiry_.extract(expiry_.begin());
        const auto found = entries_.find(due.mapped());
        if (found == entries_.end()) {
            continue;
        }
        auto& known = found->second;
        const bool closed = !known.running && certainly_not_run(known.outcome);
        if (known.running) {
            due.key() = now + recheck_interval;
            expiry_.insert(std::move(due));
        } else if (!closed && now < known.retained_until) {
            due.key() = known.retained_until;
            expiry_.insert(std::move(due));
        } else {
            drop_answer(known);
            entries_.erase(found);
        }
    }
}

} // namespace lacewingbeam
