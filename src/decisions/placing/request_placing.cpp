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
constexpr double distrust_half_life_s = 2;

// Parts by which one failure moves distrust towards 1, and one success towards
// 0: an instance sees few requests of one server, so each counts much.
constexpr double distrust_gain = 0.5;
constexpr double trust_gain = 0.4;

// Time between two looks for a free slot.
constexpr duration look_interval = milliseconds(20);

// Equally good servers are taken in turn, not always the first.
constexpr double score_spread = 0.03;

// A request that can still meet its objective by this many times its usual
// work is not sent where it would miss it.
constexpr double patience = 1.1;

// A server has much room while it is idle or more than this many of its useful
// slots are free. One, two and all: 0.600, 0.605 and 0.599 of the worth of
// hanbit-gw, 0.690, 0.692 and 0.686 of kalnins-gw; without the rule 0.578 and
// 0.688 (10 days each).
constexpr unsigned slots_left_by_late = 2;

// One in so many servers of a subset is of another failure domain.
constexpr std::size_t far_part = 5;

// One for a probe beside one in use.
constexpr unsigned least_connections = 2;

// Before any answer was seen: objectives are set at about three times the
// usual time.
double initial_work_ms(duration objective) {
    constexpr double part = 0.35;
    return part * to_ms(objective);
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
            probes_of(entry_of(id), now); // begins to gather
        } else if (found != servers_.end() && found->second.in_flight == 0) {
            servers_.erase(found);
        }
    }
}

double request_router::distrust_of(const server_entry& entry,
                                   time_point now) const {
    const std::chrono::duration<double> passed = now - entry.distrust_at;
    return entry.distrust * std::exp2(-passed.count() / distrust_half_life_s);
}

void request_router::note_outcome(const std::string& server, bool good,
                                  double weight, time_point now) {
    auto& entry = entry_of(server);
    const double before = distrust_of(entry, now);
    entry.distrust = good ? before * (1 - trust_gain)
                          : before + distrust_gain * weight * (1 - before);
    entry.distrust_at = now;
}

double request_router::work_of(const request_entry& request) {
    const auto& learned = entry_of_service(request.service).work_ms;
    const auto found = learned.find(request.route);
    return found == learned.end() ? initial_work_ms(request.objective)
                                  : found->second;
}

std::optional<told_load> request_router::told_by(const server_entry& entry,
                                                 time_point now) {
    if (!entry.load) {
        return std::nullopt;
    }
    return told_load{*entry.load, now - entry.load_at, entry.sent_since};
}

placement_view request_router::view_of(const request_entry& request,
                                       const known_server& server,
                                       time_point now) {
    const auto& entry = entry_of(server.info.id);
    const auto& service = entry_of_service(request.service);
    placement_view view;
    view.work_ms = work_of(request);
    view.load = service.memory.expect(told_by(entry, now), server.info.slots,
                                      entry.in_flight, view.work_ms);
    view.cold = now < server.cold_until;
    view.same_domain = server.info.failure_domain == options_.failure_domain;
    view.distrust = distrust_of(entry, now);
    view.objective_ms = to_ms(request.objective);
    const auto size = service.answer_kb.find(request.route);
    view.answer_kb = size == service.answer_kb.end() ? 0 : size->second;
    view.crowding = service.crowding;
    return view;
}

// This instance's part of a service's servers: mostly of its own failure
// domain, and such that all instances together use all servers alike.
const std::set<std::string>&
request_router::subset_of(const std::string& service) {
    auto& subset = entry_of_service(service).subset;
    if (!subset.empty()) {
        return subset;
    }
    std::vector<std::pair<std::uint64_t, const known_server*>> near;
    std::vector<std::pair<std::uint64_t, const known_server*>> far;
    for (const auto* server : directory_.available(service)) {
        const bool same =
            server->info.failure_domain == options_.failure_domain;
        const auto rank = hash(server->info.id + std::to_string(own_hash_));
        (same ? near : far).emplace_back(rank, server);
    }
    std::sort(near.begin(), near.end());
    std::sort(far.begin(), far.end());
    const auto from_far = std::min(
        far.size(),
        std::max(options_.subset / far_part,
                 options_.subset - std::min(options_.subset, near.size())));
    const auto from_near = std::min(near.size(), options_.subset - from_far);
    for (std::size_t i = 0; i < from_near; ++i) {
        subset.insert(near[i].second->info.id);
    }
    for (std::size_t i = 0; i < from_far; ++i) {
        subset.insert(far[i].second->info.id);
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
    if (found.size() > options_.subset && !request.waiting) {
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

void request_router::begin_round(request_entry& request, time_point now,
                                 actions& out) {
    struct visitor {
        request_router& self;
        request_entry& request;
        time_point now;
        actions& out;

        void operator()(const place_at_random&) const {
            self.decide(request, now, out);
        }
        void operator()(const place_by_two_choices&) const {
            self.decide(request, now, out);
        }
        void operator()(const place_by_expected_time& policy) const {
            request.probed = 0;
            self.send_probes(request, policy, now, out);
        }
    };
    std::visit(visitor{*this, request, now, out}, options_.policy);
}

void request_router::take_load(const std::string& server,
                               const std::optional<server_load_sample>& load,
                               time_point now) {
    auto& entry = entry_of(server);
    const auto* known = directory_.find(server);
    if (load && known != nullptr) {
        entry_of_service(known->info.service)
            .memory.on_told(told_by(entry, now), *load);
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
    take_load(id, load, now);
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
            if (fits && (best == nullptr || goes_before(request, *best, now))) {
                best = &request;
            }
        }
        if (best == nullptr) {
            return;
        }
        const auto view = view_of(*best, *server, now);
        const double expected = expected_time_ms(view);
        if (!may_use(*best, view, now) ||
            expected > to_ms(best->limit_at - now)) {
            return;
        }
        place(*best, {.id = id, .expected_ms = expected}, 1, now, out);
    }
}

// In overload every slot serves one request at a time, and one that is late
// anyway loses less by waiting than one that would become late by it. So late
// requests use servers with much room only, without asking other instances
// who waits there.
bool request_router::may_use(const request_entry& request,
                             const placement_view& view, time_point now) const {
    const auto objective_at = request.arrived + request.objective;
    const bool late = to_ms(objective_at - now) < view.work_ms;
    constexpr double idle = 0.5; // means less than one request
    const double used = view.load.running;
    const auto useful = view.crowding.useful_slots(view.load.slots);
    const bool much_room = used < idle || used + slots_left_by_late < useful;
    return has_useful_slot(view) && (!late || much_room);
}

// True if a server that has not refused the request seems to have room.
bool request_router::finds_room(const request_entry& request, time_point now) {
    const auto servers = candidates(request);
    return std::any_of(servers.begin(), servers.end(),
                       [&](const known_server* server) {
                           return has_free_slot(view_of(request, *server, now));
                       });
}

// Requests that can still meet their objective first, then by priority, then
// the oldest.
bool request_router::goes_before(const request_entry& a, const request_entry& b,
                                 time_point now) {
    const auto rank = [&](const request_entry& request) {
        const bool late =
            to_ms(request.arrived + request.objective - now) < work_of(request);
        return std::tuple(late, request.priority, request.arrived);
    };
    return rank(a) < rank(b);
}

std::vector<request_router::scored_server>
request_router::score(const request_entry& request, time_point now) {
    boost::random::uniform_real_distribution<double> spread(1,
                                                            1 + score_spread);
    std::vector<scored_server> scored;
    for (const auto* server : candidates(request)) {
        const auto& entry = entry_of(server->info.id);
        const auto view = view_of(request, *server, now);
        scored_server item;
        item.id = server->info.id;
        item.told = now - entry.load_at <= current_sample_age;
        item.expected_ms = expected_time_ms(view);
        item.cost_ms = placement_cost_ms(view) * spread(engine_);
        item.useful_slot = may_use(request, view, now);
        scored.push_back(std::move(item));
    }
    return scored;
}

// The baselines, which ask no server.
const request_router::scored_server&
request_router::choose_untold(const std::vector<scored_server>& scored) {
    boost::random::uniform_int_distribution<std::size_t> draw(0, scored.size() -
                                                                     1);
    const auto& first = scored[draw(engine_)];
    if (std::holds_alternative<place_at_random>(options_.policy)) {
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
    request.pending.clear();
    auto scored = score(request, now);
    const bool running = !request.running.empty();
    if (scored.empty()) {
        if (!running) {
            refuse(request,
                   request.refused.value_or(not_run_reason::no_backend_server),
                   now, out);
        }
        return;
    }
    const auto count = scored.size();
    if (!std::holds_alternative<place_by_expected_time>(options_.policy)) {
        place(request, choose_untold(scored), count, now, out);
        return;
    }
    // Where no probe could be sent or was answered, older samples decide.
    const bool any_told =
        std::any_of(scored.begin(), scored.end(),
                    [](const scored_server& item) { return item.told; });
    if (any_told) {
        std::erase_if(scored,
                      [](const scored_server& item) { return !item.told; });
    }
    const auto best =
        *std::min_element(scored.begin(), scored.end(),
                          [](const scored_server& a, const scored_server& b) {
                              return a.cost_ms < b.cost_ms;
                          });
    const double left = to_ms(request.limit_at - now);
    if (running) {
        if (best.useful_slot) {
            place(request, best, count, now, out);
        }
        return;
    }
    const double objective_left =
        to_ms(request.arrived + request.objective - now);
    const bool better_soon = best.expected_ms > objective_left &&
                             objective_left > patience * work_of(request);
    if (!best.useful_slot || better_soon) {
        wait(request, now, out);
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
void request_router::wait(request_entry& request, time_point now,
                          actions& out) {
    if (to_ms(request.limit_at - now) < work_of(request)) {
        refuse(request, not_run_reason::queue_full, now, out);
        return;
    }
    request.waiting = true;
    const auto others = std::count_if(
        requests_.begin(), requests_.end(), [&](const auto& item) {
            return item.second.waiting &&
                   item.second.service == request.service;
        });
    request.retry_at = now + look_interval * others;
}

// This instance's part of the connections that a server accepts.
unsigned request_router::connection_share(const request_entry& request) const {
    const auto share =
        request.max_connections / std::max<std::size_t>(1, instances_);
    return std::max(least_connections, static_cast<unsigned>(share));
}

void request_router::place(request_entry& request, const scored_server& chosen,
                           std::size_t count, time_point now, actions& out) {
    const bool may_run_elsewhere = !request.running.empty() || request.lost;
    if (may_run_elsewhere && request.repeats == retry_policy::at_most_once) {
        return;
    }
    const auto& server = *directory_.find(chosen.id);
    auto& entry = entry_of(chosen.id);
    const auto id = attempt_id{next_attempt_++};
    send_order order;
    order.call = request.id;
    order.attempt = id;
    order.server = chosen.id;
    order.service = request.service;
    order.address = server.info.address;
    order.time_left = request.limit_at - now;
    order.connections = connection_share(request);
    order.repeatable = request.repeats == retry_policy::retryable;
    order.hedge = !request.running.empty();
    order.load = entry.load.value_or(server_load_sample{});
    if (entry.load) {
        order.load_age = now - entry.load_at;
    }
    order.expected_ms = chosen.expected_ms;
    order.candidates = count;
    request.waiting = false;
    request.retry_at.reset();
    request.decide_at.reset();
    request.pending.clear();
    attempts_[id] = {request.id, chosen.id, now, order.load};
    request.running.push_back(id);
    request.tried.push_back(chosen.id);
    ++request.attempts;
    ++entry.in_flight;
    ++entry.sent_since;
    out.emplace_back(std::move(order));
}

} // namespace lacewingbeam
