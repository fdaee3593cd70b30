#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <tuple>

// Choice of a backend server for a request.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Half-life of a failure score without new failures; servers recover within
// seconds.
constexpr double failure_score_half_life_s = 2;

// Fractions by which a failure moves the score towards 1 and a success towards
// 0. They are large because an instance sends few requests to each server.
constexpr double failure_gain = 0.5;
constexpr double success_gain = 0.4;

// Time between two searches for a free slot while requests wait.
constexpr duration recheck_interval = milliseconds(20);

// Relative jitter that spreads requests over servers of equal cost.
constexpr double cost_jitter = 0.03;

// While more than this multiple of its base latency remains until the
// objective, a request waits rather than go to a server where it would miss it.
constexpr double objective_margin = 1.1;

// Requests that can no longer meet their objective use a server only if it is
// idle or more than this many of its useful slots are free.
constexpr unsigned late_request_slot_reserve = 2;

// One in this many servers of a subset is in another failure domain.
constexpr std::size_t remote_subset_divisor = 5;

// One for a request and one for a probe at the same time.
constexpr unsigned min_connections = 2;

// Used until a response was received. Objectives are usually set to about three
// times the mean latency.
double initial_base_latency_ms(duration objective) {
    constexpr double fraction = 0.35;
    return fraction * to_ms(objective);
}

} // namespace

request_router::server_entry& request_router::entry_of(const std::string& id) {
    return servers_[id];
}

void request_router::on_servers_changed(std::span<const std::string> ids,
                                        time_point now) {
    for (auto& [name, service] : services_) {
        service.subset.clear(); // selected again on next use
    }
    for (const auto& id : ids) {
        const auto found = servers_.find(id);
        if (const auto* known = directory_.find(id)) {
            // Both start to accumulate.
            probe_budget_of(entry_of(id), now);
            repeats_of(known->info.service, now);
            continue;
        }
        limits_.forget(id);
        if (found != servers_.end() && found->second.in_flight == 0) {
            servers_.erase(found);
        }
    }
}

double request_router::failure_score_of(const server_entry& entry,
                                        time_point now) const {
    const std::chrono::duration<double> elapsed = now - entry.failure_score_at;
    return entry.failure_score *
           std::exp2(-elapsed.count() / failure_score_half_life_s);
}

void request_router::record_outcome(const std::string& server, bool good,
                                    double weight, time_point now) {
    const auto* known = directory_.find(server);
    if (!good && known != nullptr && is_path_lost(known->info.service)) {
        return; // the servers are not at fault
    }
    auto& entry = entry_of(server);
    const double before = failure_score_of(entry, now);
    entry.failure_score = good ? before * (1 - success_gain)
                               : before + failure_gain * weight * (1 - before);
    entry.failure_score_at = now;
}

double request_router::base_latency_of(const request_entry& request) {
    const auto& learned = entry_of_service(request.service).base_latency_ms;
    const auto found = learned.find(request.route);
    return found == learned.end() ? initial_base_latency_ms(request.objective)
                                  : found->second;
}

std::optional<load_observation>
request_router::last_observation(const server_entry& entry, time_point now) {
    if (!entry.load) {
        return std::nullopt;
    }
    return load_observation{*entry.load, now - entry.load_at, entry.sent_since};
}

placement_inputs request_router::placement_inputs_for(
    const request_entry& request, const known_server& server, time_point now) {
    const auto& entry = entry_of(server.info.id);
    const auto& service = entry_of_service(request.service);
    placement_inputs inputs;
    inputs.base_latency_ms = base_latency_of(request);
    inputs.load = service.predictor.predict(last_observation(entry, now),
                                            server.info.slots, entry.in_flight,
                                            inputs.base_latency_ms);
    inputs.cold = now < server.cold_until;
    inputs.same_domain = server.info.failure_domain == options_.failure_domain;
    inputs.failure_score = failure_score_of(entry, now);
    inputs.objective_ms = to_ms(request.objective);
    const auto size = service.response_kb.find(request.route);
    inputs.response_kb = size == service.response_kb.end() ? 0 : size->second;
    inputs.contention = service.contention;
    return inputs;
}

// Selects this instance's subset of a service's servers by rendezvous hashing,
// which spreads the instances evenly over the servers. Prefers the instance's
// own failure domain.
const std::set<std::string>&
request_router::subset_of(const std::string& service) {
    auto& subset = entry_of_service(service).subset;
    if (!subset.empty()) {
        return subset;
    }
    std::vector<std::pair<std::uint64_t, const known_server*>> local;
    std::vector<std::pair<std::uint64_t, const known_server*>> remote;
    for (const auto* server : directory_.available(service)) {
        const bool same =
            server->info.failure_domain == options_.failure_domain;
        const auto rank = hash(server->info.id + std::to_string(subset_seed_));
        (same ? local : remote).emplace_back(rank, server);
    }
    std::sort(local.begin(), local.end());
    std::sort(remote.begin(), remote.end());
    const auto remote_count =
        std::min(remote.size(),
                 std::max(options_.subset_size / remote_subset_divisor,
                          options_.subset_size -
                              std::min(options_.subset_size, local.size())));
    const auto local_count =
        std::min(local.size(), options_.subset_size - remote_count);
    for (std::size_t i = 0; i < local_count; ++i) {
        subset.insert(local[i].second->info.id);
    }
    for (std::size_t i = 0; i < remote_count; ++i) {
        subset.insert(remote[i].second->info.id);
    }
    return subset;
}

std::vector<const known_server*>
request_router::candidates(const request_entry& request, time_point now) {
    auto found = directory_.available(request.service);
    std::erase_if(found, [&](const known_server* server) {
        const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                     server->info.id) != request.tried.end();
        return tried || !may_send_to(server->info.id, now);
    });
    // A waiting request found its subset full and considers all servers.
    if (found.size() > options_.subset_size && !request.waiting) {
        const auto& subset = subset_of(request.service);
        const auto begin = std::partition(
            found.begin(), found.end(), [&](const known_server* server) {
                return subset.contains(server->info.id);
            });
        if (begin != found.begin()) {
            found.erase(begin, found.end());
        }
    }
    return found;
}

void request_router::start_placement(request_entry& request, time_point now,
                                     actions& out) {
    struct visitor {
        request_router& self;
        request_entry& request;
        time_point now;
        actions& out;

        void operator()(const random_placement&) const {
            self.decide(request, now, out);
        }
        void operator()(const power_of_two_placement&) const {
            self.decide(request, now, out);
        }
        void operator()(const expected_time_placement& policy) const {
            request.probed = 0;
            self.send_probes(request, policy, now, out);
        }
    };
    if (end_if_too_late(request, now, out)) {
        return;
    }
    if (is_path_lost(request.service)) {
        if (request.forwarded && request.may_have_arrived == 0) {
            finish(request, not_run{not_run_reason::no_path}, std::nullopt,
                   out);
            return;
        }
        if (try_forward(request, now, out)) {
            return;
        }
    }
    std::visit(visitor{*this, request, now, out}, options_.policy);
}

void request_router::record_load(const std::string& server,
                                 const std::optional<server_load_sample>& load,
                                 time_point now) {
    auto& entry = entry_of(server);
    const auto* known = directory_.find(server);
    if (load && known != nullptr) {
        entry_of_service(known->info.service)
            .predictor.on_sample(last_observation(entry, now), *load);
    }
    entry.load = load;
    entry.load_at = now;
    entry.sent_since = 0;
}

request_router::actions request_router::on_load(std::string_view server,
                                                const server_load_sample& load,
                                                time_point now) {
    actions out;
    const std::string id(server);
    record_load(id, load, now);
    place_waiting(id, now, out);
    return out;
}

// A response has just freed a slot: places the waiting request of the highest
// priority there without a probe.
void request_router::place_waiting(const std::string& id, time_point now,
                                   actions& out) {
    const auto* server = directory_.find(id);
    if (server == nullptr || server->info.leaving) {
        return;
    }
    while (may_send_to(id, now)) {
        request_entry* best = nullptr;
        for (auto& [call, request] : requests_) {
            const bool fits =
                request.waiting && request.service == server->info.service &&
                std::find(request.tried.begin(), request.tried.end(), id) ==
                    request.tried.end();
            if (fits &&
                (best == nullptr || has_priority_over(request, *best, now))) {
                best = &request;
            }
        }
        if (best == nullptr) {
            return;
        }
        const auto inputs = placement_inputs_for(*best, *server, now);
        const double expected = expected_time_ms(inputs);
        if (!is_eligible(*best, inputs, now) ||
            expected > to_ms(best->deadline - now)) {
            return;
        }
        place(*best, {.id = id, .expected_ms = expected}, 1, now, out);
    }
}

// In overload a request that can no longer meet its objective loses less by
// waiting than one that would miss it by waiting. Late requests therefore use
// only mostly idle servers, which leaves the other slots to requests on time,
// also to those of other instances, without coordination.
bool request_router::is_eligible(const request_entry& request,
                                 const placement_inputs& inputs,
                                 time_point now) const {
    const auto objective_at = request.arrived + request.objective;
    const bool late = to_ms(objective_at - now) < inputs.base_latency_ms;
    constexpr double idle = 0.5; // expected running requests are fractional
    const double used = inputs.load.running;
    const auto useful = inputs.contention.useful_slots(inputs.load.slots);
    const bool mostly_idle =
        used < idle || used + late_request_slot_reserve < useful;
    return has_useful_slot(inputs) && (!late || mostly_idle);
}

// True if a server that was not tried yet is expected to have a free slot.
bool request_router::has_free_server(const request_entry& request,
                                     time_point now) {
    const auto servers = candidates(request, now);
    return std::any_of(
        servers.begin(), servers.end(), [&](const known_server* server) {
            return has_free_slot(placement_inputs_for(request, *server, now));
        });
}

// Orders requests that can still meet their objective first, then by priority,
// then by age.
bool request_router::has_priority_over(const request_entry& a,
                                       const request_entry& b, time_point now) {
    const auto rank = [&](const request_entry& request) {
        const bool late = to_ms(request.arrived + request.objective - now) <
                          base_latency_of(request);
        return std::tuple(late, request.priority, request.arrived);
    };
    return rank(a) < rank(b);
}

std::vector<request_router::scored_server>
request_router::score(const request_entry& request, time_point now) {
    boost::random::uniform_real_distribution<double> jitter(1, 1 + cost_jitter);
    std::vector<scored_server> scored;
    for (const auto* server : candidates(request, now)) {
        const auto& entry = entry_of(server->info.id);
        const auto inputs = placement_inputs_for(request, *server, now);
        scored_server item;
        item.id = server->info.id;
        item.fresh = now - entry.load_at <= max_fresh_sample_age;
        item.expected_ms = expected_time_ms(inputs);
        item.cost_ms = placement_cost_ms(inputs) * jitter(engine_);
        item.eligible = is_eligible(request, inputs, now);
        scored.push_back(std::move(item));
    }
    return scored;
}

// The choice of the policies that send no probes.
const request_router::scored_server& request_router::choose_without_probes(
    const std::vector<scored_server>& scored) {
    boost::random::uniform_int_distribution<std::size_t> draw(0, scored.size() -
                                                                     1);
    const auto& first = scored[draw(engine_)];
    if (std::holds_alternative<random_placement>(options_.policy)) {
        return first;
    }
    const auto& second = scored[draw(engine_)];
    return entry_of(first.id).in_flight <= entry_of(second.id).in_flight
               ? first
               : second;
}

void request_router::decide(request_entry& request, time_point now,
                            actions& out) {
    request.decide_at.reset();
    request.pending_probes.clear();
    auto scored = score(request, now);
    const bool running = !request.running_attempts.empty();
    if (scored.empty()) {
        if (running) {
            release_repeat(request);
        } else {
            wait_for_limited_server(request, now, out);
        }
        return;
    }
    const auto count = scored.size();
    if (!std::holds_alternative<expected_time_placement>(options_.policy)) {
        place(request, choose_without_probes(scored), count, now, out);
        return;
    }
    // Older samples are used only if no server has a fresh one.
    const bool any_fresh =
        std::any_of(scored.begin(), scored.end(),
                    [](const scored_server& item) { return item.fresh; });
    if (any_fresh) {
        std::erase_if(scored,
                      [](const scored_server& item) { return !item.fresh; });
    }
    const auto best =
        *std::min_element(scored.begin(), scored.end(),
                          [](const scored_server& a, const scored_server& b) {
                              return a.cost_ms < b.cost_ms;
                          });
    const double left_ms = to_ms(request.deadline - now);
    if (running) {
        if (best.eligible) {
            place(request, best, count, now, out);
        }
        release_repeat(request);
        return;
    }
    const double objective_left_ms =
        to_ms(request.arrived + request.objective - now);
    const bool better_soon =
        best.expected_ms > objective_left_ms &&
        objective_left_ms > objective_margin * base_latency_of(request);
    if (!best.eligible || better_soon) {
        wait_for_slot(request, now, out);
        return;
    }
    if (best.expected_ms > left_ms) {
        refuse(request, not_run_reason::queue_full, now, out);
        return;
    }
    place(request, best, count, now, out);
}

// Keeps the request until a slot is free. A load report in a response may place
// it earlier; otherwise servers are probed again at recheck_at.
void request_router::wait_for_slot(request_entry& request, time_point now,
                                   actions& out) {
    if (to_ms(request.deadline - now) < base_latency_of(request)) {
        refuse(request, not_run_reason::queue_full, now, out);
        return;
    }
    request.waiting = true;
    const auto others = std::count_if(
        requests_.begin(), requests_.end(), [&](const auto& item) {
            return item.second.waiting &&
                   item.second.service == request.service;
        });
    request.recheck_at = now + recheck_interval * others;
}

// This instance's share of the connections that a server accepts.
unsigned request_router::connection_share(unsigned max_connections) const {
    const auto share = max_connections / std::max<std::size_t>(1, instances_);
    return std::max(min_connections, static_cast<unsigned>(share));
}

// Sends the request to the server. A request that must not be sent again ends,
// unless another attempt is running.
void request_router::place(request_entry& request, const scored_server& chosen,
                           std::size_t count, time_point now, actions& out) {
    const bool running = !request.running_attempts.empty();
    if (end_if_too_late(request, now, out) ||
        refuse_if_quarantined(request, now, out)) {
        return;
    }
    const bool may_send = request.retry == retry_policy::retryable ||
                          (!running && !request.lost_reason);
    if (!may_send || !take_reserved_repeat(request)) {
        if (!running) {
            refuse(request,
                   request.refused_reason.value_or(not_run_reason::shed), now,
                   out);
        }
        return;
    }
    const auto& server = *directory_.find(chosen.id);
    auto& entry = entry_of(chosen.id);
    const auto id = attempt_id{next_attempt_++};
    send_action action;
    action.call = request.id;
    action.attempt = id;
    action.server = chosen.id;
    action.service = request.service;
    action.address = server.info.address;
    action.time_left = request.deadline - now;
    action.max_connections = connection_share(request.max_connections);
    action.repeatable = request.retry == retry_policy::retryable;
    action.hedge = running;
    action.load = entry.load.value_or(server_load_sample{});
    if (entry.load) {
        action.load_age = now - entry.load_at;
    }
    action.expected_ms = chosen.expected_ms;
    action.candidates = count;
    request.waiting = false;
    request.recheck_at.reset();
    request.decide_at.reset();
    request.pending_probes.clear();
    attempts_[id] = {
        request.id, chosen.id, now, action.load, current_run_of(chosen.id),
        {},         0};
    request.running_attempts.push_back(id);
    request.tried.push_back(chosen.id);
    ++request.attempts;
    ++request.may_have_arrived;
    ++entry.in_flight;
    ++entry.sent_since;
    limits_.on_sent(chosen.id, now);
    out.emplace_back(std::move(action));
}

} // namespace lacewingbeam
