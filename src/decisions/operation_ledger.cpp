#include "lacewingbeam/operation_ledger.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

answer_now refuse(not_run_reason reason) {
    return answer_now{not_run{reason}};
}

answer_now doubt(may_have_run_reason reason) {
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

begin_result operation_ledger::begin(const operation_id& operation,
                                     std::uint64_t fingerprint, call_id call,
                                     operation_lifetime lifetime,
                                     time_point now) {
    const auto known = entries_.find(operation.text);
    if (known != entries_.end()) {
        return begin_known(known->second, fingerprint, call);
    }
    if (now >= lifetime.forget_after) {
        return doubt(may_have_run_reason::answer_not_kept);
    }
    if (now >= lifetime.start_before) {
        return refuse(not_run_reason::ticket_expired);
    }
    if (entries_.size() >= limits_.operations) {
        return refuse(not_run_reason::operations_full);
    }
    entry fresh;
    fresh.fingerprint = fingerprint;
    fresh.forget_after = lifetime.forget_after;
    entries_.emplace(operation.text, std::move(fresh));
    expiry_.emplace_back(lifetime.forget_after, operation.text);
    return may_start{};
}

begin_result operation_ledger::begin_known(entry& known,
                                           std::uint64_t fingerprint,
                                           call_id call) {
    if (known.fingerprint != fingerprint) {
        return refuse(not_run_reason::ticket_content_differs);
    }
    if (known.running) {
        known.waiters.push_back(call);
        return wait_for_result{};
    }
    if (known.answer) {
        return replay{*known.answer};
    }
    if (std::holds_alternative<completed>(known.outcome)) {
        return doubt(may_have_run_reason::answer_not_kept);
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
    auto waiters = std::move(found->second.waiters);
    if (certainly_not_run(outcome)) {
        entries_.erase(found);
        return waiters;
    }
    auto& known = found->second;
    known.running = false;
    known.waiters.clear();
    known.outcome = outcome;
    if (answer) {
        keep_answer(known, operation, std::move(*answer));
    }
    return waiters;
}

void operation_ledger::keep_answer(entry& known, const operation_id& operation,
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

void operation_ledger::forget_waiter(const operation_id& operation,
                                     call_id call) {
    const auto found = entries_.find(operation.text);
    if (found != entries_.end()) {
        std::erase(found->second.waiters, call);
    }
}

void operation_ledger::expire(time_point now) {
    while (!expiry_.empty() && expiry_.front().first <= now) {
        const auto [due, text] = std::move(expiry_.front());
        expiry_.pop_front();
        const auto found = entries_.find(text);
        if (found == entries_.end() || found->second.forget_after > now) {
            continue;
        }
        if (found->second.running) {
            constexpr duration look_again = std::chrono::seconds(1);
            found->second.forget_after = now + look_again;
            expiry_.emplace_back(now + look_again, text);
            continue;
        }
        drop_answer(found->second);
        entries_.erase(found);
    }
}

const recorded_answer*
operation_ledger::find_answer(const operation_id& operation) const {
    const auto found = entries_.find(operation.text);
    if (found == entries_.end() || !found->second.answer) {
        return nullptr;
    }
    return &*found->second.answer;
}

} // namespace lacewingbeam
