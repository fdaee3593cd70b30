#include "lacewingbeam/coordinator.hpp"

// Claims of idempotency keys.
namespace lacewingbeam {

namespace {

constexpr duration unknown_outcome_retry_after = std::chrono::seconds(1);

} // namespace

coordinator::actions coordinator::on_claims_committed(std::uint64_t batch,
                                                      time_point now) {
    detect_pause(now);
    actions out;
    process_claim_events(claims_.on_committed(batch), now, out);
    return out;
}

coordinator::actions coordinator::on_claims_conflict(
    std::uint64_t batch, std::span<const claim> existing, time_point now) {
    detect_pause(now);
    actions out;
    process_claim_events(claims_.on_conflict(batch, existing), now, out);
    return out;
}

coordinator::actions coordinator::on_claims_unknown(std::uint64_t batch,
                                                    time_point now) {
    detect_pause(now);
    actions out;
    claims_.on_unknown(batch);
    process_claim_events({}, now, out);
    return out;
}

coordinator::actions coordinator::on_claim_read(const std::string& key,
                                                const std::optional<claim>& row,
                                                time_point now) {
    detect_pause(now);
    actions out;
    process_claim_events(claims_.on_read(key, row), now, out);
    return out;
}

coordinator::actions coordinator::on_claim_read_failed(const std::string& key,
                                                       time_point now) {
    detect_pause(now);
    claims_.on_read_failed(key);
    return {};
}

void coordinator::process_claim_events(const std::vector<claim_event>& events,
                                       time_point now, actions& out) {
    for (const auto& event : events) {
        on_claim_event(event, now, out);
    }
    issue_claim_actions(now, out);
}

void coordinator::on_claim_event(const claim_event& event, time_point now,
                                 actions& out) {
    const auto& key = std::visit(
        [](const auto& value) -> const std::string& { return value.key; },
        event);
    const auto claiming = claiming_calls_.find(key);
    if (claiming == claiming_calls_.end()) {
        return;
    }
    const auto id = claiming->second;
    claiming_calls_.erase(claiming);
    const auto waiting = operations_.at(id);
    if (std::holds_alternative<claim_won>(event)) {
        apply_dispatcher_actions(dispatcher_.submit(waiting.dispatch, now),
                                 out);
        return;
    }
    operations_.erase(id);
    // Nothing was started here, so the operation is removed from the ledger.
    // An earlier request may still have run on another instance.
    const auto waiters = ledger_.abandon(waiting.operation);
    if (std::holds_alternative<claim_abandoned>(event)) {
        const may_have_run outcome{may_have_run_reason::store_unavailable};
        out.emplace_back(finish_call{id, outcome, unknown_outcome_retry_after});
        for (const auto waiter : waiters) {
            operations_.erase(waiter);
            out.emplace_back(
                finish_call{waiter, outcome, unknown_outcome_retry_after});
        }
        return;
    }
    const auto& owner = std::get<claim_taken>(event).claimant;
    forward_or_look_up(waiting, owner, now, out);
    for (const auto waiter : waiters) {
        const auto entry = operations_.at(waiter);
        operations_.erase(waiter);
        forward_or_look_up(entry, owner, now, out);
    }
}

void coordinator::issue_claim_actions(time_point now, actions& out) {
    for (auto& key : claims_.next_reads()) {
        out.emplace_back(read_claim{std::move(key)});
    }
    if (!write_budget_.has_token(now)) {
        return;
    }
    auto batch = claims_.next_batch();
    if (batch && write_budget_.try_take(now)) {
        out.emplace_back(write_claims{std::move(*batch)});
    }
}

} // namespace lacewingbeam
