#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <tuple>

// How the request router chooses a backend server.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Distrust halves in this time without a new failure; servers recover within
// seconds.
constexpr double failure_score_half_life_s = 2;

// Parts by which one failure moves failure_score towards 1, and one success
// towards 0: an instance sees few requests of one server, so each counts much.
constexpr double failure_gain = 0.5;
constexpr double success_gain = 0.4;

// Time between two looks for a free slot.
constexpr duration recheck_interval = milliseconds(20);

// Equally good servers are taken in turn, not always the first.
constexpr double cost_jitter = 0.03;

// A request that can still meet its objective by this many times its usual
// work is not sent where it would miss it.
constexpr double objective_margin = 1.1;

// A server has much room while it is idle or more than this many of its useful
// slots are free. One, two and all: 0.600, 0.605 and 0.599 of the worth of
// hanbit-gw, 0.690, 0.692 and 0.686 of kalnins-gw; without the rule 0.578 and
// 0.688 (10 days each).
constexpr unsigned late_request_slot_reserve = 2;

// One in so many servers of a subset is of another failure domain.
constexpr std::size_t remote_subset_divisor = 5;

// One for a probe beside one in use.
constexpr unsigned min_connections = 2;

// Before any answer was seen: objectives are set at about three times the
// usual time.
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
        service.subset.clear(); // drawn anew
    }
    for (const auto& id : ids) {
        const auto found = servers_.find(id);
        if (directory_.find(id) != nullptr) {
            probe_budget_of(entry_of(id), now); // begins to gather
        } else if (found != servers_.end() && found->second.in_flight == 0) {
            servers_.erase(found);
        }
    }
}

double request_router::failure_score_of(const server_entry& entry,
                                        time_point now) const {
    const std::chrono::duration<double> passed = now - entry.failure_score_at;
    return entry.failure_score *
           std::exp2(-passed.count() / failure_score_half_life_s);
}

void request_router::record_outcome(const std::string& server, bool good,
                                    double weight, time_point now) {
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

// This instance's part of a service's servers: mostly of its own failure
// domain, and such that all instances together use all servers alike.
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
request_router::candidates(const request_entry& request) {
    auto found = directory_.available(request.service);
    std::erase_if(found, [&](const known_server* server) {
        return std::find(request.tried.begin(), request.tried.end(),
                         server->info.id) != request.tried.end();
    });
    // A request that found its subset full looks further.
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

// An answer has just left a slot: the most promising waiting request takes
// it, without a probe.
void request_router::place_waiting(const std::string& id, time_point now,
                                   actions& out) {
    const auto* server = directory_.find(id);
    if (server == nullptr || server->info.leaving) {
        return;
    }
    while (true) {
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

// In overload every slot serves one request at a time, and one that is late
// anyway loses less by waiting than one that would become late by it. So late
// requests use servers with much room only, without asking other instances
// who waits there.
bool request_router::is_eligible(const request_entry& request,
                                 const placement_inputs& inputs,
                                 time_point now) const {
    const auto objective_at = request.arrived + request.objective;
    const bool late = to_ms(objective_at - now) < inputs.base_latency_ms;
    constexpr double idle = 0.5; // means less than one request
    const double used = inputs.load.running;
    const auto useful = inputs.contention.useful_slots(inputs.load.slots);
    const bool mostly_idle =
        used < idle || used + late_request_slot_reserve < useful;
    return has_useful_slot(inputs) && (!late || mostly_idle);
}

// True if a server that has not refused the request seems to have room.
bool request_router::has_free_server(const request_entry& request,
                                     time_point now) {
    const auto servers = candidates(request);
    return std::any_of(
        servers.begin(), servers.end(), [&](const known_server* server) {
            return has_free_slot(placement_inputs_for(request, *server, now));
        });
}

// Requests that can still meet their objective first, then by priority, then
// the oldest.
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
    for (const auto* server : candidates(request)) {
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

// The baselines, which ask no server.
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
        if (!running) {
            refuse(request,
                   request.refused_reason.value_or(
                       not_run_reason::no_backend_server),
                   now, out);
        }
        return;
    }
    const auto count = scored.size();
    if (!std::holds_alternative<expected_time_placement>(options_.policy)) {
        place(request, choose_without_probes(scored), count, now, out);
        return;
    }
    // Where no probe could be sent or was answered, older samples decide.
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
    const double left = to_ms(request.deadline - now);
    if (running) {
        if (best.eligible) {
            place(request, best, count, now, out);
        }
        return;
    }
    const double objective_left =
        to_ms(request.arrived + request.objective - now);
    const bool better_soon =
        best.expected_ms > objective_left &&
        objective_left > objective_margin * base_latency_of(request);
    if (!best.eligible || better_soon) {
        wait_for_slot(request, now, out);
        return;
    }
    if (best.expected_ms > left) {
        refuse(request, not_run_reason::queue_full, now, out);
        return;
    }
    place(request, best, count, now, out);
}

// Until a slot is free: an answer that comes back tells of one, and now and
// then a few servers are asked.
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

// This instance's part of the connections that a server accepts.
unsigned request_router::connection_share(const request_entry& request) const {
    const auto share =
        request.max_connections / std::max<std::size_t>(1, instances_);
    return std::max(min_connections, static_cast<unsigned>(share));
}

void request_router::place(request_entry& request, const scored_server& chosen,
                           std::size_t count, time_point now, actions& out) {
    const bool may_run_elsewhere =
        !request.running_attempts.empty() || request.lost_reason;
    if (may_run_elsewhere && request.repeats == retry_policy::at_most_once) {
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
    action.max_connections = connection_share(request);
    action.repeatable = request.repeats == retry_policy::retryable;
    action.hedge = !request.running_attempts.empty();
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
    attempts_[id] = {request.id, chosen.id, now, action.load};
    request.running_attempts.push_back(id);
    request.tried.push_back(chosen.id);
    ++request.attempts;
    ++entry.in_flight;
    ++entry.sent_since;
    out.emplace_back(std::move(action));
}

} // namespace lacewingbeam
