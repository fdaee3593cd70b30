#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

// The life cycle of a request.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Limit for requests without a time limit of the route.
constexpr duration default_time_limit = std::chrono::seconds(30);

// Routes without an objective use their time limit divided by this.
constexpr int objective_divisor = 4;

// Time for the response to reach the caller before the caller's own timeout.
constexpr duration response_transit = milliseconds(10);

// Latencies are heavy-tailed: observed values count up to this multiple of the
// mean.
constexpr double max_latency_ratio = 3;

// Latencies at slower servers are not typical and do not count for the
// contention estimate.
constexpr double max_typical_slowness = 1.3;

// How long a request waits for the directory to be loaded. A read of the store
// takes a few milliseconds.
constexpr duration directory_wait = milliseconds(600);
constexpr duration directory_retry_after = milliseconds(100);

// How long a request waits while the routes may be outdated.
constexpr duration confirmation_wait = milliseconds(150);

} // namespace

request_router::request_router(const directory& known, router_options options,
                               std::uint64_t seed)
    : directory_(known), subset_seed_(seed), options_(std::move(options)),
      engine_(seed), limits_(seed + 1) {}

void request_router::reconfigure(router_options options) {
    options_ = std::move(options);
    for (auto& [name, service] : services_) {
        if (service.repeats) {
            service.repeats->set_limits(options_.repeats);
        }
    }
}

bool request_router::on_limit(std::string_view server,
                              std::optional<double> per_second,
                              time_point now) {
    return per_second ? limits_.on_named(server, *per_second, now)
                      : limits_.on_lifted(server);
}

const std::string& request_router::pick_service(const route& chosen,
                                                random_engine& engine) {
    double sum = 0;
    for (const auto& part : chosen.services) {
        sum += part.weight;
    }
    boost::random::uniform_real_distribution<double> draw(0, sum);
    double remaining = sum > 0 ? draw(engine) : 0;
    for (const auto& part : chosen.services) {
        if (remaining < part.weight) {
            return part.service;
        }
        remaining -= part.weight;
    }
    return chosen.services.back().service;
}

request_router::service_entry&
request_router::entry_of_service(const std::string& name) {
    return services_[name];
}

bool request_router::can_decide(time_point now) const {
    return directory_.routes_valid_at(now) && directory_.server_count() > 0;
}

request_router::actions request_router::submit(const routed_request& request,
                                               time_point now) {
    actions out;
    const auto refuse_arrival = [&](not_run_reason reason) {
        out.emplace_back(
            finish_action{request.id, not_run{reason}, std::nullopt});
    };
    const auto* table = directory_.routing();
    if (stop_ && now >= stop_->refuse_from) {
        out.emplace_back(finish_action{
            request.id, not_run{not_run_reason::instance_stopping},
            stopping_retry_after});
        return out;
    }
    if (!can_decide(now)) {
        const auto wait = table == nullptr ? directory_wait : confirmation_wait;
        early_requests_[request.id] = {request, now, now + wait};
        return out;
    }
    const auto* chosen = table->match(request.host, request.path);
    if (chosen == nullptr || chosen->services.empty()) {
        refuse_arrival(not_run_reason::unknown_service);
        return out;
    }
    if (const auto refused = refusal_of(request.fingerprint, now)) {
        out.emplace_back(finish_action{
            request.id, not_run{not_run_reason::quarantined}, *refused});
        return out;
    }
    if (requests_.size() >= options_.max_requests) {
        refuse_arrival(not_run_reason::queue_full);
        return out;
    }
    request_entry entry;
    entry.id = request.id;
    entry.fingerprint = request.fingerprint;
    entry.route = chosen->name;
    entry.service = pick_service(*chosen, engine_);
    const auto& options = table->options_of(entry.service);
    entry.health_path = options.health_path;
    entry.max_connections = options.max_connections;
    entry.priority = chosen->priority;
    entry.retry = chosen->retry;
    entry.max_attempts = std::max(
        1U, std::min(chosen->max_attempts,
                     request.max_attempts.value_or(chosen->max_attempts)));
    entry.arrived = now;
    auto limit = chosen->time_limit.value_or(default_time_limit);
    if (request.caller_time_left) {
        limit = std::min(limit, *request.caller_time_left - response_transit);
    }
    entry.deadline = now + limit;
    entry.objective = chosen->objective.value_or(limit / objective_divisor);
    limit_by_stop(entry);
    entry.forwarded = request.forwarded;
    if (!request.forwarded) { // the instance that forwards it has counted it
        repeats_of(entry.service, now).on_request(now);
    }
    auto& added = requests_[entry.id] = std::move(entry);
    if (limit <= duration::zero()) {
        finish(added, not_run{not_run_reason::deadline_passed}, std::nullopt,
               out);
        return out;
    }
    start_placement(added, now, out);
    return out;
}

request_router::actions
request_router::on_attempt_ended(attempt_id id, const attempt_outcome& result,
                                 time_point now) {
    actions out;
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return out;
    }
    const auto attempt = found->second;
    attempts_.erase(found);
    if (attempt.peer.empty()) {
        auto& server = entry_of(attempt.server);
        server.in_flight -= std::min(1U, server.in_flight);
    }
    auto& request = requests_.at(attempt.call);
    std::erase(request.running_attempts, id);
    if (attempt.peer.empty()) {
        note_outcome(attempt.server, result, now, out);
        on_server_attempt_ended(request, attempt, id, result, now, out);
    } else {
        on_forward_ended(request, attempt, id, result, now, out);
    }
    place_unsent_again(now, out);
    return out;
}

void request_router::on_server_attempt_ended(request_entry& request,
                                             const attempt_entry& attempt,
                                             attempt_id id,
                                             const attempt_outcome& result,
                                             time_point now, actions& out) {
    if (const auto* answered = std::get_if<attempt_answered>(&result)) {
        record_outcome(attempt.server, !answered->server_error, 1, now);
        note_server_alive(attempt.server, attempt.sent_at, now, out);
        if (!answered->server_error) {
            quarantine_.note_completed(request.fingerprint, now);
        }
        if (!answered->server_error &&
            quarantine_.losses(request.fingerprint) > 0) {
            tell_peers(quarantine_.on_completed(request.fingerprint, now), now,
                       out);
        }
        const bool retry = answered->server_error &&
                           request.retry == retry_policy::retryable &&
                           (!request.running_attempts.empty() ||
                            try_reserve_repeat(request, now));
        if (retry) {
            request.lost_reason = may_have_run_reason::server_failed;
            if (request.running_attempts.empty()) {
                start_placement(request, now, out);
            }
            return; // another attempt may still succeed
        }
        if (!answered->server_error) {
            update_estimates(request, attempt, answered->response_kb, now);
        }
        out.emplace_back(deliver_action{request.id, id});
        remove_request(request.id, id, out);
        return;
    }
    if (const auto* refused = std::get_if<attempt_not_run>(&result)) {
        request.refused_reason = refused->reason;
        if (refused->reason == not_run_reason::connect_failed) {
            request.may_have_arrived -= 1;
        }
        // A refusal weighs less than a failure: a server that is nearly full
        // refuses occasionally, and only one that reports a wrong load refuses
        // every request.
        constexpr double shed_weight = 0.4;
        record_outcome(attempt.server, false, shed_weight, now);
    } else {
        const auto& unknown = std::get<attempt_unknown>(result);
        request.lost_reason = unknown.reason;
        if (unknown.closed_by_server) {
            tell_peers(quarantine_.on_lost(request.fingerprint,
                                           attempt.server_run, now),
                       now, out);
        }
        record_outcome(attempt.server, false, 1, now);
    }
    if (request.running_attempts.empty() && !request.decide_at) {
        retry_or_finish(request, now, out);
    }
}

void request_router::update_estimates(const request_entry& request,
                                      const attempt_entry& attempt,
                                      double response_kb, time_point now) {
    auto& service = entry_of_service(request.service);
    auto& base_latency =
        service.base_latency_ms
            .try_emplace(request.route, base_latency_of(request))
            .first->second;
    const double observed =
        to_ms(now - attempt.sent_at) / std::max(1.0, attempt.load.slowness);
    const bool typical = attempt.load.waiting == 0 &&
                         attempt.load.slowness <= max_typical_slowness;
    if (typical) {
        const bool contended =
            attempt.load.running + 1 > uncontended_slots(attempt.load.slots);
        service.contention.on_completed(contended, observed / base_latency);
    }
    auto& size = service.response_kb.try_emplace(request.route, response_kb)
                     .first->second;
    constexpr double smoothing = 0.1;
    size += smoothing * (response_kb - size);
    base_latency +=
        smoothing *
        (std::min(observed, max_latency_ratio * base_latency) - base_latency);
}

void request_router::retry_or_finish(request_entry& request, time_point now,
                                     actions& out) {
    if (try_reserve_repeat(request, now)) {
        start_placement(request, now, out);
        return;
    }
    // No server got it, but another instance may reach them.
    if (request.may_have_arrived == 0 && try_forward(request, now, out)) {
        return;
    }
    refuse(request, request.refused_reason.value_or(not_run_reason::shed), now,
           out);
}

void request_router::refuse(request_entry& request, not_run_reason reason,
                            time_point now, actions& out) {
    if (request.lost_reason) {
        finish(request, may_have_run{*request.lost_reason}, std::nullopt, out);
        return;
    }
    // Servers that refuse in spite of free slots may accept a retry.
    const bool at_once =
        reason == not_run_reason::shed && has_free_server(request, now);
    const double wait_ms = at_once ? 0 : base_latency_of(request);
    finish(request, not_run{reason}, retry_delay(request, wait_ms, now), out);
}

// Time until a slot is likely to be free, about the latency of one request. The
// jitter keeps callers from retrying at the same moment.
duration request_router::retry_delay(const request_entry& request,
                                     double wait_ms, time_point now) {
    boost::random::uniform_real_distribution<double> jitter(0.5, 1.5);
    const auto wait =
        duration(static_cast<duration::rep>(wait_ms * jitter(engine_) * 1000));
    return std::min(wait,
                    std::max(duration::zero(), (request.deadline - now) / 3));
}

void request_router::finish(request_entry& request, const verdict& outcome,
                            std::optional<duration> retry_after, actions& out) {
    out.emplace_back(finish_action{request.id, outcome, retry_after});
    remove_request(request.id, std::nullopt, out);
}

// Removes a request and cancels its attempts except `keep`.
void request_router::remove_request(call_id id, std::optional<attempt_id> keep,
                                    actions& out) {
    const auto found = requests_.find(id);
    release_repeat(found->second);
    for (const auto attempt : found->second.running_attempts) {
        if (attempt == keep) {
            continue;
        }
        out.emplace_back(cancel_action{attempt});
        const auto& cancelled = attempts_.at(attempt);
        if (cancelled.peer.empty()) {
            auto& server = entry_of(cancelled.server);
            server.in_flight -= std::min(1U, server.in_flight);
        }
        attempts_.erase(attempt);
    }
    requests_.erase(found);
}

// Submits requests that waited for the directory, and ends those that waited
// too long.
void request_router::submit_early(time_point now, actions& out) {
    const bool known = can_decide(now);
    std::vector<early_request> ready;
    std::erase_if(early_requests_, [&](const auto& item) {
        if (known) {
            ready.push_back(item.second);
        } else if (now >= item.second.give_up_at) {
            out.emplace_back(finish_action{
                item.first, not_run{not_run_reason::table_unconfirmed},
                directory_retry_after});
        }
        return known || now >= item.second.give_up_at;
    });
    for (auto& item : ready) {
        auto& time_left = item.request.caller_time_left;
        if (time_left) {
            *time_left -= now - item.arrived;
        }
        for (auto& action : submit(item.request, now)) {
            out.push_back(std::move(action));
        }
    }
}

request_router::actions request_router::on_caller_gone(call_id id, time_point) {
    actions out;
    early_requests_.erase(id);
    if (requests_.contains(id)) {
        remove_request(id, std::nullopt, out);
    }
    return out;
}

std::optional<time_point>
request_router::hedge_due(const request_entry& request) const {
    if (options_.hedge_at <= 0 || request.hedged || request.decide_at ||
        request.retry != retry_policy::retryable ||
        request.running_attempts.size() != 1 ||
        std::max(request.attempts, request.may_have_arrived) >=
            request.max_attempts) {
        return std::nullopt;
    }
    return request.arrived +
           duration(static_cast<duration::rep>(
               static_cast<double>(request.objective.count()) *
               options_.hedge_at));
}

// Sends a slow request to a second server as well.
void request_router::try_hedge(request_entry& request, time_point now,
                               actions& out) {
    request.hedged = true;
    if (quarantine_.losses(request.fingerprint) == 0 &&
        try_reserve_repeat(request, now)) {
        start_placement(request, now, out);
    }
}

time_point request_router::due_of(const request_entry& request) const {
    auto due = request.deadline;
    if (request.too_late_at && request.running_attempts.empty()) {
        due = std::min(due, *request.too_late_at);
    }
    if (request.decide_at) {
        due = std::min(due, *request.decide_at);
    }
    if (request.recheck_at) {
        due = std::min(due, *request.recheck_at);
    }
    if (const auto hedge = hedge_due(request)) {
        due = std::min(due, *hedge);
    }
    return due;
}

std::optional<time_point> request_router::next_due() const {
    std::optional<time_point> due;
    for (const auto& [id, request] : early_requests_) {
        due = due ? std::min(*due, request.give_up_at) : request.give_up_at;
    }
    for (const auto& [id, request] : requests_) {
        const auto request_due = due_of(request);
        due = due ? std::min(*due, request_due) : request_due;
    }
    if (const auto check = path_check_due()) {
        due = due ? std::min(*due, *check) : *check;
    }
    return due;
}

request_router::actions request_router::on_tick(time_point now) {
    actions out;
    submit_early(now, out);
    check_paths(now, out);
    std::vector<call_id> due;
    for (const auto& [id, request] : requests_) {
        if (due_of(request) <= now) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        auto& request = requests_.at(id);
        if (now >= request.deadline) {
            const bool sent = !request.running_attempts.empty();
            if (sent) {
                for (const auto attempt : request.running_attempts) {
                    const auto& server = attempts_.at(attempt).server;
                    if (!server.empty()) {
                        note_doubt(server, now);
                        record_outcome(server, false, 1, now);
                    }
                }
                request.lost_reason = may_have_run_reason::answer_timeout;
            }
            if (request.lost_reason) {
                finish(request, may_have_run{*request.lost_reason},
                       std::nullopt, out);
            } else {
                finish(request, not_run{not_run_reason::deadline_passed},
                       std::nullopt, out);
            }
        } else if (end_if_too_late(request, now, out)) {
            continue;
        } else if (request.decide_at && now >= *request.decide_at) {
            decide(request, now, out);
        } else if (request.recheck_at && now >= *request.recheck_at) {
            request.recheck_at.reset();
            start_placement(request, now, out);
        } else if (hedge_due(request)) {
            try_hedge(request, now, out);
        }
    }
    return out;
}

} // namespace lacewingbeam
