#include "lacewingbeam/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Largest number of extra attempts that can be saved up for a burst.
constexpr double retry_reserve = 20;
constexpr double hedge_reserve = 5;

// Weight of a new sample in the moving averages of latency and deviation.
constexpr double latency_smoothing = 0.1;

// A call is refused immediately if its expected wait exceeds the remaining
// time divided by this. Longer queues add latency for all calls and hardly
// increase goodput.
constexpr int max_wait_divisor = 10;

// Retry-after hint if there is no estimate, and the lower bound for most
// estimates.
constexpr duration default_retry_after = milliseconds(200);

struct to_verdict {
    verdict operator()(const attempt_completed&) const { return completed{}; }
    verdict operator()(const attempt_refused& value) const {
        return not_run{value.reason};
    }
    verdict operator()(const attempt_lost& value) const {
        return may_have_run{value.reason};
    }
};

} // namespace

dispatcher::dispatcher(dispatcher_options options, std::uint64_t seed)
    : options_(std::move(options)), engine_(seed) {}

void dispatcher::apply_table(const table_view& table, time_point now) {
    for (const auto& name : table.service_names()) {
        apply_service(table, name, now);
    }
}

void dispatcher::apply_service(const table_view& table, std::string_view name,
                               time_point now) {
    const auto* row = table.find_service(name);
    if (row == nullptr) {
        const auto gone = services_.find(name);
        if (gone != services_.end() && gone->second.queue.empty() &&
            gone->second.running_calls == 0) {
            services_.erase(gone);
        }
        return;
    }
    const auto [found, added] = services_.try_emplace(row->name);
    auto& entry = found->second;
    if (added) {
        entry.retries = {options_.retry_percent, retry_reserve};
        entry.hedges = {options_.hedge_percent, hedge_reserve};
    }
    entry.row = *row;
    entry.queue.set_limit(row->queue_limit);
    update_servers(entry, table, now);
}

void dispatcher::update_servers(service_entry& entry, const table_view& table,
                                time_point now) {
    std::vector<server_state> updated;
    for (const auto& row : table.servers_of(entry.row.name)) {
        const auto known = std::find_if(
            entry.servers.begin(), entry.servers.end(),
            [&](const server_state& s) { return s.row().key == row.key; });
        if (known != entry.servers.end()) {
            known->set_row(row, now);
            updated.push_back(std::move(*known));
        } else {
            updated.emplace_back(row, now);
        }
        updated.back().probe_budget().set_rate(
            probe_rate(entry.row.probe_cost, entry.row.probe_share,
                       entry.row.max_instances),
            now);
    }
    entry.servers = std::move(updated);
}

duration dispatcher::expected_wait(const service_entry& entry) const {
    double slots = 0;
    for (const auto& state : entry.servers) {
        slots += state.row().slots;
    }
    const double own_slots = std::max(1.0, slots / share_.instances);
    const double rounds = static_cast<double>(entry.queue.size()) / own_slots;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(rounds * entry.latency_ms));
}

dispatcher::actions dispatcher::submit(const call& arriving, time_point now) {
    actions out;
    const auto found = services_.find(arriving.service);
    if (found == services_.end()) {
        out.emplace_back(finish_call{
            arriving.id, not_run{not_run_reason::unknown_service}, {}});
        return out;
    }
    auto& entry = found->second;
    auto& created = calls_[arriving.id];
    created.info = arriving;
    if (entry.servers.empty()) {
        end_call(arriving.id, not_run{not_run_reason::no_backend_server},
                 default_retry_after, out);
        return out;
    }
    if (arriving.deadline <= now) {
        end_call(arriving.id, not_run{not_run_reason::deadline_passed}, {},
                 out);
        return out;
    }
    entry.retries.on_call();
    entry.hedges.on_call();
    const auto wait = expected_wait(entry);
    if (wait > (arriving.deadline - now) / max_wait_divisor) {
        end_call(arriving.id, not_run{not_run_reason::queue_full}, wait, out);
        return out;
    }
    place_or_queue(entry, created, now, out);
    return out;
}

void dispatcher::place_or_queue(service_entry& entry, call_entry& pending,
                                time_point now, actions& out) {
    set_timer(pending, pending.info.deadline);
    const bool first_in_line = entry.queue.empty();
    if (first_in_line && place(entry, pending, false, now, out)) {
        return;
    }
    const auto id = pending.info.id;
    if (pending.attempts > 0) {
        entry.queue.requeue(id, pending.info.deadline);
    } else if (!entry.queue.push(id, pending.info.deadline)) {
        const auto wait = std::max(expected_wait(entry), default_retry_after);
        end_call(id, not_run{not_run_reason::queue_full}, wait, out);
        return;
    }
    pending.queued = true;
    queued_services_.insert(entry.row.name);
    if (!first_in_line) {
        place_queued_calls(entry, now, out);
    }
}

dispatcher::actions dispatcher::on_head(attempt_id attempt, bool server_error,
                                        time_point now) {
    actions out;
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return out;
    }
    auto& pending = calls_.at(found->second.call);
    if (pending.delivering) {
        return out;
    }
    pending.delivering = true;
    auto& entry = services_.at(pending.info.service);
    const auto latency = now - found->second.sent_at;
    auto* state = find_server(found->second.server);
    if (server_error) {
        // Don't record the latency: a server that fails fast would look fast
        // and idle, and attract more work.
        if (state != nullptr) {
            state->on_failure(now);
        }
    } else {
        if (state != nullptr) {
            state->on_answer(latency, pending.info.length, now);
        }
        if (pending.info.length == work_length::short_work) {
            update_latency(entry, to_ms(latency));
        }
    }
    cancel_others(pending, attempt, out);
    timers_.erase({pending.timer_at, pending.info.id});
    out.emplace_back(deliver_answer{pending.info.id, attempt});
    return out;
}

void dispatcher::update_latency(service_entry& entry, double latency_ms) {
    if (entry.latency_ms == 0) {
        entry.latency_ms = latency_ms;
        entry.deviation_ms = latency_ms;
        return;
    }
    const double difference = latency_ms - entry.latency_ms;
    entry.latency_ms += latency_smoothing * difference;
    entry.deviation_ms +=
        latency_smoothing * (std::abs(difference) - entry.deviation_ms);
}

void dispatcher::release_attempt(attempt_id attempt,
                                 const attempt_entry& entry) {
    const auto& info = calls_.at(entry.call).info;
    if (auto* state = find_server(entry.server)) {
        state->on_ended(info.length);
    }
    attempts_.erase(attempt);
}

void dispatcher::cancel_others(call_entry& pending, attempt_id keep,
                               actions& out) {
    const auto running = pending.running_attempts;
    for (const auto other : running) {
        if (other != keep) {
            out.emplace_back(cancel_attempt{other});
            drop_attempt(pending, other);
        }
    }
}

void dispatcher::drop_attempt(call_entry& pending, attempt_id attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    std::erase(pending.running_attempts, attempt);
    if (pending.running_attempts.empty()) {
        services_.at(pending.info.service).running_calls -= 1;
    }
    const auto entry = found->second;
    release_attempt(attempt, entry);
}

void dispatcher::record_server_result(const attempt_entry& entry,
                                      const attempt_result& result,
                                      time_point now) {
    auto* state = find_server(entry.server);
    if (state == nullptr) {
        return;
    }
    if (const auto* refused = std::get_if<attempt_refused>(&result)) {
        if (refused->reason == not_run_reason::shed) {
            state->on_shed(now);
        } else if (refused->reason == not_run_reason::draining) {
            state->mark_leaving(now);
        } else {
            state->on_failure(now);
        }
    } else if (std::holds_alternative<attempt_lost>(result)) {
        state->on_failure(now);
    }
}

dispatcher::actions dispatcher::on_ended(attempt_id attempt,
                                         const attempt_result& result,
                                         time_point now) {
    actions out;
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return out;
    }
    const auto entry = found->second;
    record_server_result(entry, result, now);
    auto& pending = calls_.at(entry.call);
    const auto service_name = pending.info.service;
    const verdict outcome = std::visit(to_verdict{}, result);
    drop_attempt(pending, attempt);
    if (const auto* lost = std::get_if<may_have_run>(&outcome)) {
        pending.lost = *lost;
    }
    if (pending.delivering || std::holds_alternative<completed>(outcome)) {
        end_call(entry.call, outcome, {}, out);
    } else if (pending.running_attempts.empty()) {
        retry_or_finish(pending, outcome, now, out);
    }
    place_queued_calls(services_.at(service_name), now, out);
    return out;
}

void dispatcher::retry_or_finish(call_entry& pending, const verdict& outcome,
                                 time_point now, actions& out) {
    auto& entry = services_.at(pending.info.service);
    const bool safe_to_retry =
        certainly_not_run(outcome) || pending.info.idempotent;
    const bool time_left = pending.info.deadline > now;
    if (safe_to_retry && time_left &&
        pending.attempts < options_.max_attempts && entry.retries.try_take()) {
        place_or_queue(entry, pending, now, out);
        return;
    }
    const verdict final_outcome =
        pending.lost ? verdict{*pending.lost} : outcome;
    const auto wait = std::max(expected_wait(entry), default_retry_after);
    end_call(pending.info.id, final_outcome, wait, out);
}

void dispatcher::end_call(call_id id, const verdict& outcome,
                          duration retry_after, actions& out) {
    const auto found = calls_.find(id);
    auto& pending = found->second;
    const auto running = pending.running_attempts;
    for (const auto attempt : running) {
        out.emplace_back(cancel_attempt{attempt});
        drop_attempt(pending, attempt);
    }
    if (pending.queued) {
        services_.at(pending.info.service).queue.remove(id);
    }
    timers_.erase({pending.timer_at, id});
    calls_.erase(found);
    out.emplace_back(finish_call{id, outcome, retry_after});
}

dispatcher::actions dispatcher::cancel(call_id id, time_point now) {
    actions out;
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return out;
    }
    const auto service_name = found->second.info.service;
    const bool sent =
        !found->second.running_attempts.empty() || found->second.lost;
    const verdict outcome =
        sent ? verdict{may_have_run{may_have_run_reason::caller_gone}}
             : verdict{not_run{not_run_reason::caller_gone}};
    end_call(id, outcome, {}, out);
    place_queued_calls(services_.at(service_name), now, out);
    return out;
}

void dispatcher::set_timer(call_entry& pending, time_point at) {
    timers_.erase({pending.timer_at, pending.info.id});
    pending.timer_at = at;
    timers_.emplace(at, pending.info.id);
}

dispatcher::actions dispatcher::tick(time_point now) {
    actions out;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto id = timers_.begin()->second;
        timers_.erase(timers_.begin());
        on_timer(id, now, out);
    }
    const auto names = queued_services_;
    for (const auto& name : names) {
        const auto found = services_.find(name);
        if (found != services_.end()) {
            place_queued_calls(found->second, now, out);
        }
        if (found == services_.end() || found->second.queue.empty()) {
            queued_services_.erase(name);
        }
    }
    return out;
}

void dispatcher::on_timer(call_id id, time_point now, actions& out) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.delivering) {
        return;
    }
    auto& pending = found->second;
    if (pending.info.deadline <= now) {
        expire_call(pending, now, out);
        return;
    }
    auto& entry = services_.at(pending.info.service);
    if (!pending.running_attempts.empty() && !pending.hedged) {
        try_hedge(entry, pending, now, out);
    }
    set_timer(pending, pending.info.deadline);
}

void dispatcher::expire_call(call_entry& pending, time_point now,
                             actions& out) {
    verdict outcome = not_run{not_run_reason::deadline_passed};
    if (!pending.running_attempts.empty()) {
        outcome = may_have_run{may_have_run_reason::answer_timeout};
        for (const auto attempt : pending.running_attempts) {
            if (auto* state = find_server(attempts_.at(attempt).server)) {
                state->on_failure(now);
            }
        }
    } else if (pending.lost) {
        outcome = *pending.lost;
    }
    const auto& entry = services_.at(pending.info.service);
    const auto wait = std::max(expected_wait(entry), default_retry_after);
    end_call(pending.info.id, outcome, wait, out);
}

dispatcher::actions dispatcher::refuse_waiting(not_run_reason reason) {
    actions out;
    for (auto& [name, entry] : services_) {
        for (const auto id : entry.queue.calls_by_deadline()) {
            const auto& pending = calls_.at(id);
            const verdict outcome = pending.lost ? verdict{*pending.lost}
                                                 : verdict{not_run{reason}};
            end_call(id, outcome, default_retry_after, out);
        }
    }
    return out;
}

server_state* dispatcher::find_server(const server_key& key) {
    const auto found = services_.find(key.service);
    if (found == services_.end()) {
        return nullptr;
    }
    auto& servers = found->second.servers;
    const auto position = std::lower_bound(
        servers.begin(), servers.end(), key,
        [](const server_state& state, const server_key& wanted) {
            return state.row().key < wanted;
        });
    if (position == servers.end() || position->row().key != key) {
        return nullptr;
    }
    return &*position;
}

std::size_t dispatcher::waiting() const {
    std::size_t count = 0;
    for (const auto& [name, entry] : services_) {
        count += entry.queue.size();
    }
    return count;
}

} // namespace lacewingbeam
