#include "lacewingbeam/dispatcher.hpp"

#include <algorithm>

// The part of the dispatcher that places calls on backend servers.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

constexpr double hedge_deviations = 4;
constexpr duration min_hedge_delay = milliseconds(10);
constexpr std::size_t kept_choices = 16;

// Before any answer was seen, a read is hedged after this share of its time.
constexpr int unknown_latency_share = 4;

} // namespace

unsigned dispatcher::limit_share(const service_entry& entry) const {
    const auto whole = entry.row.limit / share_.instances;
    const bool extra = share_.rank < entry.row.limit % share_.instances;
    return static_cast<unsigned>(whole + (extra ? 1 : 0));
}

bool dispatcher::has_room(const server_state& state, const call& info,
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
           state.estimated_long(now) < long_slots;
}

std::vector<candidate> dispatcher::candidates_for(service_entry& entry,
                                                  const call_entry& waiting,
                                                  bool ignore_tried,
                                                  time_point now) {
    std::vector<candidate> list;
    for (std::size_t i = 0; i < entry.servers.size(); ++i) {
        const auto& state = entry.servers[i];
        const auto& row = state.row();
        const bool tried =
            std::find(waiting.tried.begin(), waiting.tried.end(),
                      row.key.backend_server) != waiting.tried.end();
        if ((tried && !ignore_tried) || !has_room(state, waiting.info, now)) {
            continue;
        }
        candidate item;
        item.index = i;
        item.weight = row.weight;
        item.slots = row.slots;
        item.own_in_flight = state.in_flight();
        item.load = state.estimated_load(now);
        // One that has answered nothing yet, or only failed, is no faster
        // than the others.
        item.latency_ms =
            state.latency_ms() > 0 ? state.latency_ms() : entry.latency_ms;
        item.penalty = state.penalty(now);
        item.own_failure_domain = row.failure_domain == options_.failure_domain;
        list.push_back(item);
    }
    return list;
}

server_state* dispatcher::choose_server(service_entry& entry,
                                        call_entry& waiting, time_point now) {
    const bool tried_all = waiting.tried.size() >= entry.servers.size();
    auto list = candidates_for(entry, waiting, tried_all, now);
    const auto index = choose(options_.policy, list, engine_);
    if (!index) {
        return nullptr;
    }
    auto& chosen = entry.servers[*index];
    if (entry.choices.size() >= kept_choices) {
        entry.choices.erase(entry.choices.begin());
    }
    entry.choices.push_back({now, chosen.row().key, std::move(list)});
    return &chosen;
}

bool dispatcher::place(service_entry& entry, call_entry& waiting, bool hedge,
                       time_point now, actions& out) {
    if (holding_ || waiting.info.deadline <= now) {
        return false;
    }
    const bool first = waiting.running.empty();
    if (first && entry.row.limit > 0 && entry.running >= limit_share(entry)) {
        return false;
    }
    auto* state = choose_server(entry, waiting, now);
    if (state == nullptr) {
        return false;
    }
    const auto id = attempt_id{next_attempt_++};
    const auto& row = state->row();
    state->on_sent(waiting.info.length, now);
    attempts_[id] = {waiting.info.id, row.key, now, hedge};
    entry.running += first ? 1 : 0;
    waiting.running.push_back(id);
    waiting.tried.push_back(row.key.backend_server);
    ++waiting.attempts;
    const auto share =
        std::max<std::size_t>(1, row.connections / share_.instances);
    out.emplace_back(
        start_attempt{waiting.info.id, id, row.key, row.address,
                      waiting.info.deadline - now, static_cast<unsigned>(share),
                      waiting.info.idempotent, waiting.info.record_answer});
    schedule_check(waiting, next_check(entry, waiting, now));
    return true;
}

void dispatcher::pump(service_entry& entry, time_point now, actions& out) {
    bool short_blocked = false;
    bool long_blocked = false;
    for (const auto id : entry.queue.in_order()) {
        if (short_blocked) {
            return;
        }
        auto& waiting = calls_.at(id);
        const bool is_long = waiting.info.length == work_length::long_work;
        if (is_long && long_blocked) {
            continue;
        }
        if (place(entry, waiting, false, now, out)) {
            entry.queue.remove(id);
            waiting.waiting = false;
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

bool dispatcher::try_hedge(service_entry& entry, call_entry& owner,
                           time_point now, actions& out) {
    owner.hedged = true;
    if (owner.tried.size() >= entry.servers.size() ||
        !entry.hedges.try_take()) {
        return false;
    }
    return place(entry, owner, true, now, out);
}

time_point dispatcher::next_check(const service_entry& entry,
                                  const call_entry& owner,
                                  time_point now) const {
    const bool may_hedge = owner.info.idempotent && !owner.hedged &&
                           owner.info.length == work_length::short_work;
    if (!may_hedge) {
        return owner.info.deadline;
    }
    const double usual_ms =
        entry.latency_ms + hedge_deviations * entry.deviation_ms;
    const auto usual = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(usual_ms));
    const auto unknown = (owner.info.deadline - now) / unknown_latency_share;
    const auto delay =
        std::max(min_hedge_delay, entry.latency_ms > 0 ? usual : unknown);
    return std::min(owner.info.deadline, now + delay);
}

} // namespace lacewingbeam
