#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

// The life of a request, from its arrival to its end.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Callers that give no time are kept waiting at most this long.
constexpr duration default_time_limit = std::chrono::seconds(30);

// Where a route has no objective, this part of its time limit stands for it.
constexpr int objective_part = 4;

// The network's part of a caller's time: an answer that leaves later is not
// read any more.
constexpr duration answer_transit = milliseconds(10);

// A few requests run many times longer than the rest.
constexpr double longest_learned = 3;

// Servers slower than this say little of what work usually takes.
constexpr double usual_slowness = 1.3;

// A request that comes before the directory is known waits for it this long;
// a read of the store takes some milliseconds.
constexpr duration directory_patience = milliseconds(600);
constexpr duration directory_retry = milliseconds(100);

// Callers that come back are sent to another instance.
constexpr duration stopping_retry = milliseconds(20);

} // namespace

request_router::request_router(const directory& known, router_options options,
                               std::uint64_t seed)
    : directory_(known), own_hash_(seed), options_(std::move(options)),
      engine_(seed) {}

void request_router::reconfigure(router_options options) {
    options_ = std::move(options);
    for (auto& [name, service] : services_) {
        if (service.repeats) {
            service.repeats->set_terms(options_.repeats);
        }
    }
}

const std::string& request_router::pick_service(const route& chosen,
                                                random_engine& engine) {
    double sum = 0;
    for (const auto& part : chosen.services) {
        sum += part.weight;
    }
    boost::random::uniform_real_distribution<double> draw(0, sum);
    double left = sum > 0 ? draw(engine) : 0;
    for (const auto& part : chosen.services) {
        if (left < part.weight) {
            return part.service;
        }
        left -= part.weight;
    }
    return chosen.services.back().service;
}

request_router::service_entry&
request_router::entry_of_service(const std::string& name) {
    auto& entry = services_[name];
    if (!entry.repeats) {
        entry.repeats = std::make_unique<repeat_budget>(options_.repeats);
    }
    return entry;
}

request_router::actions request_router::submit(const routed_request& request,
                                               time_point now) {
    actions out;
    const auto refuse_arrival = [&](not_run_reason reason) {
        out.emplace_back(
            finish_order{request.id, not_run{reason}, std::nullopt});
    };
    const auto* table = directory_.routing();
    if (stopping_) {
        out.emplace_back(
            finish_order{request.id, not_run{not_run_reason::instance_stopping},
                         stopping_retry});
        return out;
    }
    if (table == nullptr || directory_.server_count() == 0) {
        early_[request.id] = {request, now, now + directory_patience};
        return out;
    }
    const auto* chosen = table->match(request.host, request.path);
    if (chosen == nullptr || chosen->services.empty()) {
        refuse_arrival(not_run_reason::unknown_service);
        return out;
    }
    if (requests_.size() >= options_.max_requests) {
        refuse_arrival(not_run_reason::queue_full);
        return out;
    }
    request_entry entry;
    entry.id = request.id;
    entry.route = chosen->name;
    entry.service = pick_service(*chosen, engine_);
    const auto& options = table->options_of(entry.service);
    entry.health_path = options.health_path;
    entry.max_connections = options.max_connections;
    entry.priority = chosen->priority;
    entry.repeats = chosen->retry;
    entry.max_attempts = std::max(1U, chosen->max_attempts);
    entry.arrived = now;
    auto limit = chosen->time_limit.value_or(default_time_limit);
    if (request.caller_time_left) {
        limit = std::min(limit, *request.caller_time_left - answer_transit);
    }
    entry.limit_at = now + limit;
    entry.objective = chosen->objective.value_or(limit / objective_part);
    entry_of_service(entry.service).repeats->on_request(now);
    auto& kept = requests_[entry.id] = std::move(entry);
    if (limit <= duration::zero()) {
        finish(kept, not_run{not_run_reason::deadline_passed}, std::nullopt,
               out);
        return out;
    }
    begin_round(kept, now, out);
    return out;
}

request_router::actions
request_router::on_attempt_ended(attempt_id id, const attempt_end& result,
                                 time_point now) {
    actions out;
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return out;
    }
    const auto attempt = found->second;
    attempts_.erase(found);
    auto& server = entry_of(attempt.server);
    server.in_flight -= std::min(1U, server.in_flight);
    auto& request = requests_.at(attempt.call);
    std::erase(request.running, id);
    if (const auto* answered = std::get_if<attempt_answered>(&result)) {
        note_outcome(attempt.server, !answered->server_error, 1, now);
        const bool again =
            answered->server_error &&
            request.repeats == retry_policy::retryable &&
            (!request.running.empty() || may_repeat(request, now));
        if (again) {
            request.lost = may_have_run_reason::server_failed;
            if (request.running.empty()) {
                begin_round(request, now, out);
            }
            return out; // the other attempt may still succeed
        }
        if (!answered->server_error) {
            learn(request, attempt, answered->answer_kb, now);
        }
        out.emplace_back(deliver_order{request.id, id});
        drop(request.id, id, out);
        return out;
    }
    if (const auto* refused = std::get_if<attempt_not_run>(&result)) {
        request.refused = refused->reason;
        // A server that was about to have room refuses now and then; one
        // that is not what it says it is refuses always.
        constexpr double shed_weight = 0.4;
        note_outcome(attempt.server, false, shed_weight, now);
    } else {
        request.lost = std::get<attempt_unknown>(result).reason;
        note_outcome(attempt.server, false, 1, now);
    }
    if (request.running.empty() && !request.decide_at) {
        send_again_or_finish(request, now, out);
    }
    return out;
}

void request_router::learn(const request_entry& request,
                           const attempt_entry& attempt, double answer_kb,
                           time_point now) {
    auto& service = entry_of_service(request.service);
    auto& work = service.work_ms.try_emplace(request.route, work_of(request))
                     .first->second;
    const double seen =
        to_ms(now - attempt.sent_at) / std::max(1.0, attempt.load.slowness);
    const bool usual =
        attempt.load.waiting == 0 && attempt.load.slowness <= usual_slowness;
    if (usual) {
        const bool crowded =
            attempt.load.running + 1 > quiet_slots(attempt.load.slots);
        service.crowding.on_completed(crowded, seen / work);
    }
    auto& size =
        service.answer_kb.try_emplace(request.route, answer_kb).first->second;
    constexpr double new_part = 0.1;
    size += new_part * (answer_kb - size);
    work += new_part * (std::min(seen, longest_learned * work) - work);
}

bool request_router::may_repeat(request_entry& request, time_point now) {
    if (request.attempts >= request.max_attempts || now >= request.limit_at) {
        return false;
    }
    if (request.lost && request.repeats == retry_policy::at_most_once) {
        return false;
    }
    return entry_of_service(request.service).repeats->try_take(instances_, now);
}

void request_router::send_again_or_finish(request_entry& request,
                                          time_point now, actions& out) {
    if (may_repeat(request, now)) {
        begin_round(request, now, out);
        return;
    }
    refuse(request, request.refused.value_or(not_run_reason::shed), now, out);
}

void request_router::refuse(request_entry& request, not_run_reason reason,
                            time_point now, actions& out) {
    if (request.lost) {
        finish(request, may_have_run{*request.lost}, std::nullopt, out);
        return;
    }
    // Servers that refuse although they have room may take the next request.
    const bool at_once =
        reason == not_run_reason::shed && finds_room(request, now);
    const double wait_ms = at_once ? 0 : work_of(request);
    finish(request, not_run{reason}, retry_time(request, wait_ms, now), out);
}

// When a slot is likely to be free again: about the time of one request, and
// spread, so that callers do not come back together.
duration request_router::retry_time(const request_entry& request,
                                    double wait_ms, time_point now) {
    boost::random::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto wait =
        duration(static_cast<duration::rep>(wait_ms * spread(engine_) * 1000));
    return std::min(wait,
                    std::max(duration::zero(), (request.limit_at - now) / 3));
}

void request_router::finish(request_entry& request, const verdict& outcome,
                            std::optional<duration> retry_after, actions& out) {
    out.emplace_back(finish_order{request.id, outcome, retry_after});
    drop(request.id, std::nullopt, out);
}

// Forgets a request and ends its other attempts.
void request_router::drop(call_id id, std::optional<attempt_id> keep,
                          actions& out) {
    const auto found = requests_.find(id);
    for (const auto attempt : found->second.running) {
        if (attempt == keep) {
            continue;
        }
        out.emplace_back(cancel_order{attempt});
        auto& server = entry_of(attempts_.at(attempt).server);
        server.in_flight -= std::min(1U, server.in_flight);
        attempts_.erase(attempt);
    }
    requests_.erase(found);
}

// Takes the requests that came before the directory.
void request_router::submit_early(time_point now, actions& out) {
    const bool known =
        directory_.routing() != nullptr && directory_.server_count() > 0;
    std::vector<early_request> ready;
    std::erase_if(early_, [&](const auto& item) {
        if (known) {
            ready.push_back(item.second);
        } else if (now >= item.second.give_up_at) {
            out.emplace_back(finish_order{
                item.first, not_run{not_run_reason::table_unconfirmed},
                directory_retry});
        }
        return known || now >= item.second.give_up_at;
    });
    for (auto& item : ready) {
        auto& left = item.request.caller_time_left;
        if (left) {
            *left -= now - item.arrived;
        }
        for (auto& action : submit(item.request, now)) {
            out.push_back(std::move(action));
        }
    }
}

request_router::actions request_router::on_caller_gone(call_id id, time_point) {
    actions out;
    early_.erase(id);
    if (requests_.contains(id)) {
        drop(id, std::nullopt, out);
    }
    return out;
}

std::optional<time_point>
request_router::hedge_due(const request_entry& request) const {
    if (options_.hedge_at <= 0 || request.hedged || request.decide_at ||
        request.repeats != retry_policy::retryable ||
        request.running.size() != 1 ||
        request.attempts >= request.max_attempts) {
        return std::nullopt;
    }
    return request.arrived +
           duration(static_cast<duration::rep>(
               static_cast<double>(request.objective.count()) *
               options_.hedge_at));
}

// A second server for a request that is late where it is.
void request_router::try_hedge(request_entry& request, time_point now,
                               actions& out) {
    request.hedged = true;
    if (may_repeat(request, now)) {
        begin_round(request, now, out);
    }
}

time_point request_router::due_of(const request_entry& request) const {
    auto due = request.limit_at;
    if (request.decide_at) {
        due = std::min(due, *request.decide_at);
    }
    if (request.retry_at) {
        due = std::min(due, *request.retry_at);
    }
    if (const auto hedge = hedge_due(request)) {
        due = std::min(due, *hedge);
    }
    return due;
}

std::optional<time_point> request_router::next_due() const {
    std::optional<time_point> due;
    for (const auto& [id, request] : early_) {
        due = due ? std::min(*due, request.give_up_at) : request.give_up_at;
    }
    for (const auto& [id, request] : requests_) {
        const auto one = due_of(request);
        due = due ? std::min(*due, one) : one;
    }
    return due;
}

request_router::actions request_router::on_tick(time_point now) {
    actions out;
    submit_early(now, out);
    std::vector<call_id> due;
    for (const auto& [id, request] : requests_) {
        if (due_of(request) <= now) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        auto& request = requests_.at(id);
        if (now >= request.limit_at) {
            const bool sent = !request.running.empty();
            if (sent) {
                for (const auto attempt : request.running) {
                    note_outcome(attempts_.at(attempt).server, false, 1, now);
                }
                request.lost = may_have_run_reason::answer_timeout;
            }
            if (request.lost) {
                finish(request, may_have_run{*request.lost}, std::nullopt, out);
            } else {
                finish(request, not_run{not_run_reason::deadline_passed},
                       std::nullopt, out);
            }
        } else if (request.decide_at && now >= *request.decide_at) {
            decide(request, now, out);
        } else if (request.retry_at && now >= *request.retry_at) {
            request.retry_at.reset();
            begin_round(request, now, out);
        } else if (hedge_due(request)) {
            try_hedge(request, now, out);
        }
    }
    return out;
}

} // namespace lacewingbeam
