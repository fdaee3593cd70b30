#include "lacewingbeam/coordinator.hpp"

#include <algorithm>
#include <utility>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration default_retry_after = milliseconds(200);
constexpr duration unknown_outcome_retry_after = seconds(1);
constexpr std::size_t max_journal_backlog = 1000;
constexpr std::size_t claims_per_batch = 64;
constexpr std::size_t max_key_length = 200;

void finish(call_id id, const verdict& outcome, duration retry_after,
            coordinator::actions& out) {
    out.emplace_back(finish_call{id, outcome, retry_after});
}

void refuse(call_id id, not_run_reason reason, duration retry_after,
            coordinator::actions& out) {
    finish(id, not_run{reason}, retry_after, out);
}

operation_id ticket_operation(const ticket& value) {
    return {"t/" + to_string(value.minter) + "/" +
            std::to_string(value.sequence)};
}

operation_request make_operation_request(const arriving_call& arriving,
                                         const ticket& value,
                                         duration retention) {
    return {ticket_operation(value), arriving.fingerprint,
            arriving.attempt,        arriving.id,
            value.expires,           value.expires + retention};
}

// Returns the key of the claim row in the platform's table.
std::string claim_key(const arriving_call& arriving) {
    return arriving.service + "/" + arriving.idempotency_key;
}

operation_id key_operation(const std::string& key) {
    return {"k/" + key};
}

bool is_valid_key(std::string_view key) {
    return key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(),
                       [](char c) { return c > ' ' && c < '\x7f'; });
}

} // namespace

coordinator::coordinator(coordinator_options options, time_point now)
    : options_(std::move(options)), engine_(options_.seed),
      dispatcher_(options_.dispatch, options_.seed + 1),
      membership_(options_.own, options_.members), ledger_(options_.ledger),
      claims_(options_.own.id, claims_per_batch),
      mint_(options_.own.id, options_.key, options_.ticket_lifetime),
      write_budget_(options_.writes_per_second, options_.writes_per_second,
                    now),
      next_heartbeat_(now), next_housekeeping_(now), next_probes_(now),
      last_event_(now) {}

// Returns why the call cannot be accepted at present, or nullopt if it can.
std::optional<not_run_reason>
coordinator::find_refusal_reason(const arriving_call& arriving,
                                 time_point now) const {
    if (is_table_unconfirmed(now)) {
        return not_run_reason::table_unconfirmed;
    }
    if (table_.find_service(arriving.service) == nullptr) {
        return not_run_reason::unknown_service;
    }
    if (dispatcher_.calls() + forwarded_.size() >= options_.max_calls) {
        return not_run_reason::queue_full;
    }
    return std::nullopt;
}

// A call with a ticket or key may be a retry of one that ran. Only the owner of
// the operation may answer not_run, and the minter of the ticket only after it
// has consulted its ledger.
void coordinator::refuse_before_dispatch(const arriving_call& arriving,
                                         not_run_reason reason, time_point now,
                                         actions& out) {
    const auto wait = reason == not_run_reason::unknown_service
                          ? duration::zero()
                          : unknown_outcome_retry_after;
    if (arriving.ticket.empty() && arriving.idempotency_key.empty()) {
        refuse(arriving.id, reason, wait, out);
        return;
    }
    const auto value = decode(arriving.ticket, options_.key);
    if (!value || value->minter != own().id) {
        finish(arriving.id,
               may_have_run{may_have_run_reason::owner_not_consulted}, wait,
               out);
        return;
    }
    const auto request =
        make_operation_request(arriving, *value, options_.retention);
    if (begin_operation(arriving, make_call(arriving, now), request, now,
                        out)) {
        operations_.erase(arriving.id);
        finish_operation(request.operation, not_run{reason}, {}, wait, out);
        refuse(arriving.id, reason, wait, out);
    }
}

call coordinator::make_call(const arriving_call& arriving,
                            time_point now) const {
    call dispatch;
    dispatch.id = arriving.id;
    dispatch.service = arriving.service;
    dispatch.deadline = now;
    const auto* service = table_.find_service(arriving.service);
    if (service == nullptr) {
        return dispatch;
    }
    dispatch.idempotent =
        service->is_idempotent(arriving.method, arriving.path);
    dispatch.length = service->length_of(arriving.method, arriving.path);
    dispatch.deadline += std::min(
        arriving.time_left.value_or(service->deadline), service->deadline);
    return dispatch;
}

coordinator::actions coordinator::on_call(const arriving_call& arriving,
                                          time_point now) {
    detect_pause(now);
    actions out;
    const auto refusal_reason = find_refusal_reason(arriving, now);
    if (refusal_reason) {
        refuse_before_dispatch(arriving, *refusal_reason, now, out);
        return out;
    }
    const auto dispatch = make_call(arriving, now);
    if (forward_to_instance_with_share(arriving, dispatch, now, out)) {
        return out;
    }
    if (!dispatch.idempotent && !arriving.ticket.empty()) {
        begin_ticketed(arriving, dispatch, now, out);
    } else if (!dispatch.idempotent && !arriving.idempotency_key.empty()) {
        begin_keyed(arriving, dispatch, now, out);
    } else {
        apply_dispatcher_actions(dispatcher_.submit(dispatch, now), out);
    }
    return out;
}

// If a service's limit is lower than the number of instances, some instances
// have no share of it. They forward the call to an instance that has one.
bool coordinator::forward_to_instance_with_share(const arriving_call& arriving,
                                                 const call& dispatch,
                                                 time_point now, actions& out) {
    const auto limit = table_.find_service(arriving.service)->limit;
    const bool has_operation =
        !arriving.ticket.empty() || !arriving.idempotency_key.empty();
    if (limit == 0 || arriving.forwarded || has_operation ||
        limit > membership_.own_rank(now)) {
        return false;
    }
    std::vector<member> holders;
    for (const auto& peer : membership_.members(now)) {
        if (peer.state == member_state::alive) {
            holders.push_back(peer);
        }
    }
    holders.resize(std::min<std::size_t>(holders.size(), limit));
    if (holders.empty()) {
        return false;
    }
    const auto position =
        static_cast<std::uint64_t>(arriving.id) % holders.size();
    const auto& holder = holders[position];
    forwarded_[arriving.id].deadline = dispatch.deadline;
    out.emplace_back(forward_call{arriving.id, holder.id, holder.caller_address,
                                  dispatch.deadline - now});
    return true;
}

void coordinator::begin_ticketed(const arriving_call& arriving,
                                 const call& dispatch, time_point now,
                                 actions& out) {
    const auto value = decode(arriving.ticket, options_.key);
    if (!value) {
        refuse(arriving.id, not_run_reason::ticket_invalid, {}, out);
        return;
    }
    const auto operation = ticket_operation(*value);
    if (value->minter != own().id) {
        operation_call waiting{operation, dispatch, false, arriving.forwarded};
        forward_or_look_up(waiting, value->minter, now, out);
        return;
    }
    const auto request =
        make_operation_request(arriving, *value, options_.retention);
    if (begin_operation(arriving, dispatch, request, now, out)) {
        apply_dispatcher_actions(
            dispatcher_.submit(operations_.at(arriving.id).dispatch, now), out);
    }
}

void coordinator::begin_keyed(const arriving_call& arriving,
                              const call& dispatch, time_point now,
                              actions& out) {
    if (!is_valid_key(arriving.idempotency_key)) {
        refuse(arriving.id, not_run_reason::bad_request, {}, out);
        return;
    }
    const auto key = claim_key(arriving);
    const auto expiry = now + options_.retention;
    const operation_request request{key_operation(key),
                                    arriving.fingerprint,
                                    arriving.attempt,
                                    arriving.id,
                                    expiry,
                                    expiry};
    const auto start = begin_operation(arriving, dispatch, request, now, out);
    if (start && start->reopened) {
        // The claim was won when the operation was first started here.
        apply_dispatcher_actions(
            dispatcher_.submit(operations_.at(arriving.id).dispatch, now), out);
    } else if (start) {
        claiming_calls_[key] = arriving.id;
        claims_.request(key, dispatch.deadline, engine_);
        issue_claim_actions(now, out);
    }
}

// Returns may_start if the call may start the operation, or nullopt if it waits
// for a running one or was answered immediately.
std::optional<may_start> coordinator::begin_operation(
    const arriving_call& arriving, const call& dispatch,
    const operation_request& request, time_point now, actions& out) {
    const auto result = ledger_.begin(request, now);
    operation_call entry{request.operation, dispatch, false,
                         arriving.forwarded};
    entry.dispatch.record_answer = true;
    if (const auto* start = std::get_if<may_start>(&result)) {
        entry.owner = true;
        operations_[arriving.id] = std::move(entry);
        return *start;
    }
    if (std::holds_alternative<wait_for_result>(result)) {
        operations_[arriving.id] = std::move(entry);
    } else if (const auto* known = std::get_if<replay>(&result)) {
        out.emplace_back(replay_answer{arriving.id, known->answer});
    } else {
        finish(arriving.id, std::get<answer_now>(result).outcome, {}, out);
    }
    return std::nullopt;
}

void coordinator::forward_or_look_up(const operation_call& waiting,
                                     const incarnation& owner, time_point now,
                                     actions& out) {
    const auto id = waiting.dispatch.id;
    auto& entry = forwarded_[id];
    entry.operation = waiting.operation;
    entry.deadline = waiting.dispatch.deadline;
    const auto peer = membership_.find(owner, now);
    if (peer && !waiting.forwarded && owner != own().id &&
        waiting.dispatch.deadline > now) {
        out.emplace_back(forward_call{id, owner, peer->caller_address,
                                      waiting.dispatch.deadline - now});
        return;
    }
    out.emplace_back(read_journal{id, waiting.operation});
}

coordinator::actions coordinator::on_forward_ended(call_id id,
                                                   const forward_result& result,
                                                   time_point now) {
    detect_pause(now);
    actions out;
    const auto found = forwarded_.find(id);
    if (found == forwarded_.end()) {
        return out;
    }
    auto& entry = found->second;
    const bool has_operation = !entry.operation.text.empty();
    const bool lost = std::holds_alternative<forward_lost>(result);
    if (std::holds_alternative<forward_completed>(result)) {
        forwarded_.erase(found);
        finish(id, completed{}, {}, out);
    } else if (has_operation) {
        if (lost) {
            entry.fallback_reason = may_have_run_reason::connection_lost;
        }
        out.emplace_back(read_journal{id, entry.operation});
    } else if (lost) {
        forwarded_.erase(found);
        finish(id, may_have_run{may_have_run_reason::connection_lost},
               unknown_outcome_retry_after, out);
    } else {
        forwarded_.erase(found);
        refuse(id, not_run_reason::connect_failed, default_retry_after, out);
    }
    return out;
}

coordinator::actions
coordinator::on_journal(call_id id, std::optional<recorded_answer> answer,
                        time_point now) {
    detect_pause(now);
    actions out;
    const auto found = forwarded_.find(id);
    if (found == forwarded_.end()) {
        return out;
    }
    const auto fallback_reason = found->second.fallback_reason;
    forwarded_.erase(found);
    if (answer) {
        out.emplace_back(replay_answer{id, std::move(*answer)});
    } else {
        finish(id, may_have_run{fallback_reason}, unknown_outcome_retry_after,
               out);
    }
    return out;
}

// A running operation continues when its caller disconnects, since the caller
// may retry to get the result. A call that only waits for another instance or
// for another call's run ends.
coordinator::actions coordinator::on_caller_gone(call_id id, time_point now) {
    detect_pause(now);
    actions out;
    const may_have_run gone{may_have_run_reason::caller_gone};
    const auto found = operations_.find(id);
    if (found != operations_.end()) {
        if (!found->second.owner) {
            ledger_.remove_waiter(found->second.operation, id);
            operations_.erase(found);
            finish(id, gone, {}, out);
        }
    } else if (forwarded_.erase(id) > 0) {
        finish(id, gone, {}, out);
    } else {
        apply_dispatcher_actions(dispatcher_.cancel(id, now), out);
    }
    return out;
}

std::optional<std::string> coordinator::mint_ticket(time_point now) {
    if (stopping_since_) {
        return std::nullopt;
    }
    return mint_.mint(now);
}

coordinator::actions coordinator::on_head(attempt_id attempt, bool server_error,
                                          time_point now) {
    detect_pause(now);
    actions out;
    apply_dispatcher_actions(dispatcher_.on_head(attempt, server_error, now),
                             out);
    return out;
}

coordinator::actions
coordinator::on_attempt_ended(attempt_id attempt, const attempt_result& result,
                              std::optional<recorded_answer> answer,
                              time_point now) {
    detect_pause(now);
    actions out;
    apply_dispatcher_actions(dispatcher_.on_ended(attempt, result, now), out,
                             std::move(answer));
    return out;
}

void coordinator::apply_dispatcher_actions(
    dispatcher::actions decided, actions& out,
    std::optional<recorded_answer> answer) {
    for (auto& item : decided) {
        std::visit([&](auto& value) { out.emplace_back(std::move(value)); },
                   item);
        const auto* ended = std::get_if<finish_call>(&out.back());
        if (ended == nullptr) {
            continue;
        }
        const auto finished = *ended;
        const auto found = operations_.find(finished.call);
        if (found == operations_.end() || !found->second.owner) {
            continue;
        }
        const auto operation = found->second.operation;
        operations_.erase(found);
        const bool ran = std::holds_alternative<completed>(finished.outcome);
        finish_operation(operation, finished.outcome,
                         ran ? std::exchange(answer, std::nullopt)
                             : std::nullopt,
                         finished.retry_after, out);
    }
}

void coordinator::finish_operation(const operation_id& operation,
                                   const verdict& outcome,
                                   std::optional<recorded_answer> answer,
                                   duration retry_after, actions& out) {
    const auto waiters = ledger_.finish(operation, outcome, answer);
    for (const auto id : waiters) {
        operations_.erase(id);
        finish_waiter(id, outcome, answer, retry_after, out);
    }
    if (!answer) {
        return;
    }
    if (journal_.size() >= max_journal_backlog) {
        journal_.pop_front();
    }
    journal_.push_back({operation, std::move(*answer)});
}

void coordinator::finish_waiter(call_id id, const verdict& outcome,
                                const std::optional<recorded_answer>& answer,
                                duration retry_after, actions& out) {
    if (answer) {
        out.emplace_back(replay_answer{id, *answer});
    } else if (std::holds_alternative<completed>(outcome)) {
        finish(id, may_have_run{may_have_run_reason::answer_not_kept}, {}, out);
    } else {
        finish(id, outcome, retry_after, out);
    }
}

} // namespace lacewingbeam
