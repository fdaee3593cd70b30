#include "lacewingbeam/coordinator.hpp"

// The part of the coordinator that claims idempotency keys.
namespace lacewingbeam {

namespace {

constexpr duration doubt_retry_after = std::chrono::seconds(1);

} // namespace

coordinator::actions coordinator::on_claims_committed(std::uint64_t batch,
                                                      time_point now) {
    observe(now);
    actions out;
    settle_claims(claims_.on_committed(batch), now, out);
    return out;
}

coordinator::actions coordinator::on_claims_conflict(
    std::uint64_t batch, std::span<const claim> existing, time_point now) {
    observe(now);
    actions out;
    settle_claims(claims_.on_conflict(batch, existing), now, out);
    return out;
}

coordinator::actions coordinator::on_claims_unknown(std::uint64_t batch,
                                                    time_point now) {
    observe(now);
    actions out;
    claims_.on_unknown(batch);
    settle_claims({}, now, out);
    return out;
}

coordinator::actions coordinator::on_claim_read(const std::string& key,
                                                const std::optional<claim>& row,
                                                time_point now) {
    observe(now);
    actions out;
    settle_claims(claims_.on_read(key, row), now, out);
    return out;
}

coordinator::actions coordinator::on_claim_read_failed(const std::string& key,
                                                       time_point now) {
    observe(now);
    claims_.on_read_failed(key);
    return {};
}

void coordinator::settle_claims(const std::vector<claim_event>& events,
                                time_point now, actions& out) {
    for (const auto& event : events) {
        on_claim_event(event, now, out);
    }
    pump_claims(now, out);
}

void coordinator::on_claim_event(const claim_event& event, time_point now,
                                 actions& out) {
    const auto& key = std::visit(
        [](const auto& value) -> const std::string& { return value.key; },
        event);
    const auto claiming = claiming_.find(key);
    if (claiming == claiming_.end()) {
        return;
    }
    const auto id = claiming->second;
    claiming_.erase(claiming);
    const auto waiting = operations_.at(id);
    if (std::holds_alternative<claim_won>(event)) {
        take(dispatcher_.submit(waiting.dispatch, now), out);
        return;
    }
    operations_.erase(id);
    // Nothing was started here, so the ledger forgets the operation; an
    // earlier send may have run elsewhere all the same.
    const auto followers = ledger_.abandon(waiting.operation);
    if (std::holds_alternative<claim_abandoned>(event)) {
        const may_have_run outcome{may_have_run_reason::store_unavailable};
        out.emplace_back(finish_call{id, outcome, doubt_retry_after});
        for (const auto follower : followers) {
            operations_.erase(follower);
            out.emplace_back(finish_call{follower, outcome, doubt_retry_after});
        }
        return;
    }
    const auto& owner = std::get<claim_taken>(event).claimant;
    forward_or_look_up(waiting, owner, now, out);
    for (const auto follower : followers) {
        const auto entry = operations_.at(follower);
        operations_.erase(follower);
        forward_or_look_up(entry, owner, now, out);
    }
}

void coordinator::pump_claims(time_point now, actions& out) {
    for (auto& key : claims_.next_reads()) {
        out.emplace_back(read_claim{std::move(key)});
    }
    if (!writes_.has_token(now)) {
        return;
    }
    auto batch = claims_.next_batch();
    if (batch && writes_.try_take(now)) {
        out.emplace_back(write_claims{std::move(*batch)});
    }
}

} // namespace lacewingbeam
