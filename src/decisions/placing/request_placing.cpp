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

// Older samples say nothing of servers whose load changes within
// milliseconds.
constexpr duration sample_life = milliseconds(15);

// Distrust halves in this time without a new failure.
constexpr double distrust_half_life_s = 2;
constexpr double distrust_gain = 0.5;
constexpr double trust_gain = 0.4;
constexpr double hopeless_distrust = 0.7;

// A server that does not answer a probe is asked again after this time.
constexpr duration silence_pause = milliseconds(600);

constexpr double probe_burst = 12;

// An instance begins with what it gathers in this time: starting takes about
// as long, and so the budget holds even for one that always starts again.
constexpr duration first_probes = milliseconds(700);

// The part of the probe budget that is used; the rest covers instances that
// have started meanwhile.
constexpr double probe_part = 0.9;

// Time between two looks for a free slot.
constexpr duration look_interval = milliseconds(20);

// Equally good servers are taken in turn, not always the first.
constexpr double score_spread = 0.03;

// A time this near to the best possible is not worth waiting for more probes.
constexpr double good_enough_factor = 1.1;

// A request that can still meet its objective by this many times its usual
// work is not sent where it would miss it.
constexpr double patience = 1.1;

// One in so many servers of a subset is of another failure domain.
constexpr std::size_t far_part = 5;

constexpr unsigned least_connections = 2;

double initial_work_ms(duration objective) {
    constexpr double part = 0.35;
    return part * to_ms(objective);
}

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

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

// The server's part of the probe budget that is this instance's.
token_bucket& request_router::probes_of(server_entry& entry, time_point now) {
    const double rate =
        probe_part * options_.probes_per_second /
        static_cast<double>(std::max<std::size_t>(1, instances_));
    if (!entry.probes) {
        entry.probes = std::make_unique<token_bucket>(rate, probe_burst, now);
        entry.probes->add(rate * to_ms(first_probes) / 1000);
    }
    entry.probes->set_rate(rate, now);
    return *entry.probes;
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

placement_view request_router::view_of(const request_entry& request,
                                       const known_server& server,
                                       time_point now) {
    auto& entry = entry_of(server.info.id);
    placement_view view;
    view.load.slots = server.info.slots;
    view.load.running = entry.in_flight;
    if (entry.load) {
        view.load = *entry.load;
        view.sent_since = entry.sent_since;
    }
    view.cold = now < server.cold_until;
    view.same_domain = server.info.failure_domain == options_.failure_domain;
    view.distrust = distrust_of(entry, now);
    view.work_ms = work_of(request);
    view.objective_ms = to_ms(request.objective);
    const auto& sizes = entry_of_service(request.service).answer_kb;
    const auto size = sizes.find(request.route);
    view.answer_kb = size == sizes.end() ? 0 : size->second;
    view.crowding = entry_of_service(request.service).crowding;
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
            self.send_probes(request, policy.probes, policy.probe_timeout, now,
                             out);
        }
    };
    std::visit(visitor{*this, request, now, out}, options_.policy);
}

void request_router::send_probes(request_entry& request, unsigned count,
                                 duration timeout, time_point now,
                                 actions& out) {
    auto servers = candidates(request);
    std::erase_if(servers, [&](const known_server* server) {
        return now < entry_of(server->info.id).silent_until;
    });
    request.pending.clear();
    unsigned sent = 0;
    while (sent < count && !servers.empty()) {
        boost::random::uniform_int_distribution<std::size_t> draw(
            0, servers.size() - 1);
        const auto at =
            servers.begin() + static_cast<std::ptrdiff_t>(draw(engine_));
        const auto& server = **at;
        servers.erase(at);
        auto& entry = entry_of(server.info.id);
        if (distrust_of(entry, now) > hopeless_distrust && !servers.empty()) {
            continue;
        }
        if (!probes_of(entry, now).try_take(now)) {
            continue;
        }
        const auto id = probe_id{next_probe_++};
        probes_[id] = {request.id, server.info.id};
        request.pending.push_back(id);
        const auto share =
            request.max_connections / std::max<std::size_t>(1, instances_);
        out.emplace_back(probe_order{
            id, server.info.id, server.info.address, request.health_path,
            std::max(least_connections, static_cast<unsigned>(share)),
            timeout});
        ++sent;
    }
    if (sent == 0) {
        decide(request, now, out);
        return;
    }
    request.decide_at = now + timeout;
}

void request_router::take_load(const std::string& server,
                               const std::optional<server_load_sample>& load,
                               time_point now) {
    auto& entry = entry_of(server);
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
        if (!has_useful_slot(view) || expected > to_ms(best->limit_at - now)) {
            return;
        }
        place(*best, {id, expected, true, true}, 1, now, out);
    }
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

request_router::actions
request_router::on_probe_answered(probe_id id,
                                  const std::optional<server_load_sample>& load,
                                  time_point now) {
    actions out;
    const auto found = probes_.find(id);
    if (found == probes_.end()) {
        return out;
    }
    const auto server = found->second.server;
    take_load(server, load, now);
    entry_of(server).silent_until = time_point{};
    probe_settled(id, now, out);
    return out;
}

request_router::actions request_router::on_probe_failed(probe_id id,
                                                        probe_failure failure,
                                                        time_point now) {
    actions out;
    const auto found = probes_.find(id);
    if (found == probes_.end()) {
        return out;
    }
    const auto server = found->second.server;
    auto& entry = entry_of(server);
    entry.load.reset();
    if (failure != probe_failure::broken) {
        entry.silent_until = now + silence_pause;
    }
    if (failure == probe_failure::refused) {
        constexpr double refusal_weight = 0.5;
        note_outcome(server, false, refusal_weight, now);
    }
    probe_settled(id, now, out);
    return out;
}

void request_router::probe_settled(probe_id id, time_point now, actions& out) {
    const auto probe = probes_.at(id);
    probes_.erase(id);
    const auto found = requests_.find(probe.call);
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    if (std::erase(request.pending, id) == 0 || !request.decide_at) {
        return;
    }
    if (request.pending.empty() || good_enough(request, probe.server, now)) {
        decide(request, now, out);
    }
}

bool request_router::good_enough(const request_entry& request,
                                 const std::string& server, time_point now) {
    const auto* known = directory_.find(server);
    const auto& entry = entry_of(server);
    if (known == nullptr || known->info.leaving || now != entry.load_at) {
        return false;
    }
    const auto view = view_of(request, *known, now);
    return expected_time_ms(view) <= good_enough_factor * view.work_ms;
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
        item.told = now - entry.load_at <= sample_life;
        item.expected_ms = expected_time_ms(view) * spread(engine_);
        item.free_slot = has_useful_slot(view);
        scored.push_back(std::move(item));
    }
    return scored;
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
    const auto pick_random = [&]() -> const scored_server& {
        boost::random::uniform_int_distribution<std::size_t> draw(
            0, scored.size() - 1);
        return scored[draw(engine_)];
    };
    if (std::holds_alternative<place_at_random>(options_.policy)) {
        place(request, pick_random(), count, now, out);
        return;
    }
    if (std::holds_alternative<place_by_two_choices>(options_.policy)) {
        const auto& a = pick_random();
        const auto& b = pick_random();
        place(request,
              entry_of(a.id).in_flight <= entry_of(b.id).in_flight ? a : b,
              count, now, out);
        return;
    }
    const bool any_told =
        std::any_of(scored.begin(), scored.end(),
                    [](const scored_server& item) { return item.told; });
    if (!any_told) {
        if (!running) {
            wait(request, now, out);
        }
        return;
    }
    std::erase_if(scored, [](const scored_server& item) { return !item.told; });
    const auto best =
        *std::min_element(scored.begin(), scored.end(),
                          [](const scored_server& a, const scored_server& b) {
                              return a.expected_ms < b.expected_ms;
                          });
    const double left = to_ms(request.limit_at - now);
    if (running) {
        if (best.free_slot) {
            place(request, best, count, now, out);
        }
        return;
    }
    const double objective_left =
        to_ms(request.arrived + request.objective - now);
    const bool better_soon = best.expected_ms > objective_left &&
                             objective_left > patience * work_of(request);
    if (!best.free_slot || better_soon) {
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

void request_router::place(request_entry& request, const scored_server& chosen,
                           std::size_t count, time_point now, actions& out) {
    const bool may_run_elsewhere = !request.running.empty() || request.lost;
    if (may_run_elsewhere && request.repeats == repetition::at_most_once) {
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
    const auto share =
        request.max_connections / std::max<std::size_t>(1, instances_);
    order.connections =
        std::max(least_connections, static_cast<unsigned>(share));
    order.repeatable = request.repeats == repetition::repeatable;
    order.hedge = !request.running.empty();
    order.load = entry.load.value_or(server_load_sample{});
    order.load_age = entry.load ? now - entry.load_at : duration::max();
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
