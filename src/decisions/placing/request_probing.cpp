#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

// Probes of backend servers for their load.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Servers with a higher failure score, which two failures in a row lead to, are
// not probed in addition to others.
constexpr double max_probed_failure_score = 0.7;

// Time before a server that did not respond to a probe is probed again.
constexpr duration no_response_pause = milliseconds(600);

// Probes that an instance may send to one server at once. Allows for three
// requests that arrive together and each probe four servers of a small service.
constexpr double probe_burst = 12;

// A new budget starts with the probes of this period. An instance takes about
// as long to start, so the budget holds even if it restarts in a loop.
constexpr duration initial_probe_credit = milliseconds(700);

// The rest of the budget covers instances that have started but are not known
// yet.
constexpr double usable_probe_fraction = 0.9;

// A cost up to this multiple of the base latency ends probing early.
constexpr double good_enough_factor = 1.1;

// Relative jitter of the cost by which servers are chosen for probes, so that
// instances with the same information do not probe the same servers.
constexpr double probe_order_jitter = 0.2;

} // namespace

// This instance's share of the server's probe budget.
token_bucket& request_router::probe_budget_of(server_entry& entry,
                                              time_point now) {
    const double rate =
        usable_probe_fraction * options_.probes_per_second /
        static_cast<double>(std::max<std::size_t>(1, instances_));
    if (!entry.probe_budget) {
        entry.probe_budget =
            std::make_unique<token_bucket>(rate, probe_burst, now);
        entry.probe_budget->add(rate * to_ms(initial_probe_credit) / 1000);
    }
    entry.probe_budget->set_rate(rate, now);
    return *entry.probe_budget;
}

// Candidates that may be probed, in order of expected cost.
std::vector<const known_server*>
request_router::servers_to_probe(const request_entry& request,
                                 const expected_time_placement& policy,
                                 time_point now) {
    boost::random::uniform_real_distribution<double> jitter(
        1, 1 + probe_order_jitter);
    std::vector<std::pair<double, const known_server*>> ranked;
    for (const auto* server : candidates(request, now)) {
        const auto& entry = entry_of(server->info.id);
        const bool fresh = now - entry.load_at < policy.probe_timeout;
        if (now >= entry.next_probe_at && (request.probed == 0 || !fresh)) {
            ranked.emplace_back(
                placement_cost_ms(placement_inputs_for(request, *server, now)) *
                    jitter(engine_),
                server);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const known_server*> servers;
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(servers),
                   [](const auto& item) { return item.second; });
    return servers;
}

void request_router::send_probes(request_entry& request,
                                 const expected_time_placement& policy,
                                 time_point now, actions& out) {
    const bool first = request.probed == 0;
    const auto count = first ? std::min(policy.first_probes, policy.probes)
                             : policy.probes - request.probed;
    const auto servers = servers_to_probe(request, policy, now);
    request.pending_probes.clear();
    unsigned sent = 0;
    for (const auto* server : servers) {
        if (sent == count) {
            break;
        }
        auto& entry = entry_of(server->info.id);
        if (failure_score_of(entry, now) > max_probed_failure_score &&
            sent > 0) {
            continue;
        }
        if (!probe_budget_of(entry, now).try_take(now)) {
            continue;
        }
        const auto id = probe_id{next_probe_++};
        probes_[id] = {request.id, server->info.id, now};
        request.pending_probes.push_back(id);
        out.emplace_back(probe_action{
            id, server->info.id, server->info.address, request.health_path,
            connection_share(request.max_connections), policy.probe_timeout});
        ++sent;
    }
    if (sent == 0) {
        decide(request, now, out);
        return;
    }
    request.probed += sent;
    request.decide_at = now + policy.probe_timeout;
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
    note_response(server, now, out);
    note_server_alive(server, found->second.sent_at, now, out);
    record_load(server, load, now);
    entry_of(server).next_probe_at = time_point{};
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
    const bool checks_path = !found->second.call;
    if (failure == probe_failure::refused) {
        note_response(server, now, out);
    } else if (failure == probe_failure::unreachable || checks_path) {
        note_silence(server, now, out);
    } else {
        note_doubt(server, now);
    }
    auto& entry = entry_of(server);
    entry.load.reset();
    if (failure != probe_failure::connection_broken) {
        entry.next_probe_at = now + no_response_pause;
    }
    if (failure == probe_failure::refused) {
        constexpr double refusal_weight = 0.5;
        record_outcome(server, false, refusal_weight, now);
    }
    probe_settled(id, now, out);
    place_unsent_again(now, out);
    return out;
}

void request_router::probe_settled(probe_id id, time_point now, actions& out) {
    const auto probe = probes_.at(id);
    probes_.erase(id);
    const auto found =
        probe.call ? requests_.find(*probe.call) : requests_.end();
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    if (std::erase(request.pending_probes, id) == 0 || !request.decide_at) {
        return;
    }
    if (is_good_enough(request, probe.server, now)) {
        decide(request, now, out);
    } else if (request.pending_probes.empty()) {
        probe_more_or_decide(request, now, out);
    }
}

void request_router::probe_more_or_decide(request_entry& request,
                                          time_point now, actions& out) {
    const auto* policy = std::get_if<expected_time_placement>(&options_.policy);
    if (policy != nullptr && request.probed < policy->probes) {
        send_probes(request, *policy, now, out);
    } else {
        decide(request, now, out);
    }
}

bool request_router::is_good_enough(const request_entry& request,
                                    const std::string& server, time_point now) {
    const auto* known = directory_.find(server);
    const auto& entry = entry_of(server);
    if (known == nullptr || known->info.leaving || now != entry.load_at) {
        return false;
    }
    const auto inputs = placement_inputs_for(request, *known, now);
    return placement_cost_ms(inputs) <=
           good_enough_factor * inputs.base_latency_ms;
}

} // namespace lacewingbeam
