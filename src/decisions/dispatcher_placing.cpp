#include "lacewingbeam/dispatcher.hpp"

#include <algorithm>

// The part of the dispatcher that places calls on backend servers and hedges
// them.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// A hedge is sent when the wait exceeds the mean latency by this many mean
// deviations.
constexpr double hedge_deviations = 4;
constexpr duration min_hedge_delay = milliseconds(10);
constexpr std::size_t max_recorded_choices = 16;

// Until a latency is known, a call is hedged after its remaining time divided
// by this.
constexpr int unknown_latency_divisor = 4;

} // namespace

unsigned dispatcher::limit_share(const service_entry& entry) const {
    const auto base = entry.row.limit / share_.instances;
    const bool extra = share_.rank < entry.row.limit % share_.instances;
    return static_cast<unsigned>(base + (extra ? 1 : 0));
}

bool dispatcher::has_capacity(const server_state& state, const call& info,
                              time_point now) const {
    const auto& row = state.row();
    if (row.weight <= 0 || state.is_leaving(now) ||
        state.in_flight() >= row.slots) {
        return false;
    }
    if (!std::holds_alternative<load_aware>(options_.policy)) {
        return true;
    }
    if (state.estimated_load(now) >= row.slots) {
        return false;
    }
    const unsigned long_slots = std::max(1U, row.slots - 1);
    return info.length == work_length::short_work ||
           state.estimated_long_load(now) < long_slots;
}

std::vector<candidate> dispatcher::candidates_for(service_entry& entry,
                                                  const call_entry& pending,
                                                  bool ignore_tried,
                                                  time_point now) {
    std::vector<candidate> list;
    for (std::size_t i = 0; i < entry.servers.size(); ++i) {
        const auto& state = entry.servers[i];
        const auto& row = state.row();
        const bool tried =
            std::find(pending.tried_servers.begin(),
                      pending.tried_servers.end(),
                      row.key.backend_server) != pending.tried_servers.end();
        if ((tried && !ignore_tried) ||
            !has_capacity(state, pending.info, now)) {
            continue;
        }
        candidate item;
        item.index = i;
        item.weight = row.weight;
        item.slots = row.slots;
        item.own_in_flight = state.in_flight();
        item.load = state.estimated_load(now);
        // A server without a successful response so far is assumed to be as
        // fast as the service's average.
        item.latency_ms =
            state.latency_ms() > 0 ? state.latency_ms() : entry.latency_ms;
        item.penalty = state.penalty(now);
        item.own_failure_domain = row.failure_domain == options_.failure_domain;
        list.push_back(item);
    }
    return list;
}

server_state* dispatcher::choose_server(service_entry& entry,
                                        call_entry& pending, time_point now) {
    const bool tried_all = pending.tried_servers.size() >= entry.servers.size();
    auto list = candidates_for(entry, pending, tried_all, now);
    const auto index = choose(options_.policy, list, engine_);
    if (!index) {
        return nullptr;
    }
    auto& chosen = entry.servers[*index];
    if (entry.choices.size() >= max_recorded_choices) {
        entry.choices.erase(entry.choices.begin());
    }
    entry.choices.push_back({now, chosen.row().key, std::move(list)});
    return &chosen;
}

bool dispatcher::place(service_entry& entry, call_entry& pending, bool hedge,
                       time_point now, actions& out) {
    if (paused_ || pending.info.deadline <= now) {
        return false;
    }
    const bool none_running = pending.running_attempts.empty();
    if (none_running && entry.row.limit > 0 &&
        entry.running_calls >= limit_share(entry)) {
        return false;
    }
    auto* state = choose_server(entry, pending, now);
    if (state == nullptr) {
        return false;
    }
    const auto id = attempt_id{next_attempt_++};
    const auto& row = state->row();
    state->on_sent(pending.info.length, now);
    attempts_[id] = {pending.info.id, row.key, now, hedge};
    entry.running_calls += none_running ? 1 : 0;
    pending.running_attempts.push_back(id);
    pending.tried_servers.push_back(row.key.backend_server);
    ++pending.attempts;
    const auto share =
        std::max<std::size_t>(1, row.connections / share_.instances);
    out.emplace_back(
        start_attempt{pending.info.id, id, row.key, row.address,
                      pending.info.deadline - now, static_cast<unsigned>(share),
                      pending.info.idempotent, pending.info.record_answer});
    set_timer(pending, next_timer(entry, pending, now));
    return true;
}

void dispatcher::place_queued_calls(service_entry& entry, time_point now,
                                    actions& out) {
    bool short_blocked = false;
    bool long_blocked = false;
    for (const auto id : entry.queue.calls_by_deadline()) {
        if (short_blocked) {
            return;
        }
        auto& pending = calls_.at(id);
        const bool is_long = pending.info.length == work_length::long_work;
        if (is_long && long_blocked) {
            continue;
        }
        if (place(entry, pending, false, now, out)) {
            entry.queue.remove(id);
            pending.queued = false;
        } else if (is_long) {
            long_blocked = true;
        } else {
            short_blocked = true;
        }
    }
}

std::vector<choice_record>
dispatcher::recent_choices(std::string_view service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    return found->second.choices;
}

bool dispatcher::try_hedge(service_entry& entry, call_entry& pending,
                           time_point now, actions& out) {
    pending.hedged = true;
    if (pending.tried_servers.size() >= entry.servers.size() ||
        !entry.hedges.try_take()) {
        return false;
    }
    return place(entry, pending, true, now, out);
}

time_point dispatcher::next_timer(const service_entry& entry,
                                  const call_entry& pending,
                                  time_point now) const {
    const bool may_hedge = pending.info.idempotent && !pending.hedged &&
                           pending.info.length == work_length::short_work;
    if (!may_hedge) {
        return pending.info.deadline;
    }
    const double latency_bound_ms =
        entry.latency_ms + hedge_deviations * entry.deviation_ms;
    const auto latency_bound = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(latency_bound_ms));
    const auto default_delay =
        (pending.info.deadline - now) / unknown_latency_divisor;
    const auto delay = std::max(
        min_hedge_delay, entry.latency_ms > 0 ? latency_bound : default_delay);
    return std::min(pending.info.deadline, now + delay);
}

} // namespace lacewingbeam
