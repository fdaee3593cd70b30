#include "options_from_settings.hpp"

#include <boost/algorithm/string.hpp>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

placement_policy make_policy(const settings::placing_section& values) {
    if (values.policy == "random") {
        return random_placement{};
    }
    if (values.policy == "power_of_two") {
        return power_of_two_placement{};
    }
    return expected_time_placement{static_cast<unsigned>(values.probes),
                                   static_cast<unsigned>(values.first_probes),
                                   milliseconds(values.probe_timeout)};
}

// Keeps the value in force of a setting that can only be changed by a restart.
template <class Value>
void keep_running_value(const char* name, const Value& running, Value& reloaded,
                        std::vector<std::string>& needs_restart) {
    if (reloaded != running) {
        needs_restart.emplace_back(name);
        reloaded = running;
    }
}

} // namespace

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> items;
    if (!text.empty()) {
        boost::algorithm::split(items, text, [](char c) { return c == ','; });
    }
    for (auto& item : items) {
        boost::algorithm::trim(item);
    }
    return items;
}

router_options make_router_options(const settings::router_settings& values) {
    router_options options;
    options.policy = make_policy(values.placing);
    options.repeats = {values.budgets.repeat_ratio, values.budgets.repeat_slack,
                       from_seconds(values.budgets.repeat_window)};
    options.probes_per_second = values.budgets.probes_per_second;
    options.hedge_at = values.placing.hedge_at;
    options.failure_domain = values.router.failure_domain;
    options.max_requests = static_cast<std::size_t>(values.router.max_requests);
    return options;
}

reading_options make_reading_options(const settings::router_settings& values) {
    reading_options options;
    options.read_pause = milliseconds(values.store.read_pause);
    options.readers = static_cast<std::size_t>(values.store.readers);
    options.silence = milliseconds(values.store.silence);
    options.max_routes_age = milliseconds(values.store.max_routes_age);
    options.return_hold = milliseconds(values.store.return_hold);
    return options;
}

follower_options make_follower_options(const settings::router_settings& values,
                                       std::uint64_t seed) {
    follower_options options;
    options.reading = make_reading_options(values);
    options.seed_patience = milliseconds(values.store.seed_patience);
    options.heartbeat_interval = milliseconds(values.peers.heartbeat_interval);
    options.members.heartbeat_interval = options.heartbeat_interval;
    options.members.fan_out = static_cast<std::size_t>(values.peers.fan_out);
    options.members.suspect_after = milliseconds(values.peers.suspect_after);
    options.members.gone_after = milliseconds(values.peers.gone_after);
    options.seed = seed;
    random_engine engine(seed);
    options.own.id = draw_incarnation(engine);
    options.own.peer_address = values.router.peers;
    options.own.caller_address = values.router.callers;
    options.own.admin_address = values.router.metrics;
    options.own.failure_domain = values.router.failure_domain;
    return options;
}

sync_options make_sync_options(const settings::router_settings& values) {
    return {values.store.address, milliseconds(values.store.request_timeout)};
}

settings::router_settings
merge_reloaded(const settings::router_settings& running,
               const settings::router_settings& reloaded,
               std::vector<std::string>& needs_restart) {
    auto merged = reloaded;
    auto& router = merged.router;
    const auto& running_router = running.router;
    keep_running_value("router.failure_domain", running_router.failure_domain,
                       router.failure_domain, needs_restart);
    keep_running_value("router.callers", running_router.callers, router.callers,
                       needs_restart);
    keep_running_value("router.readiness", running_router.readiness,
                       router.readiness, needs_restart);
    keep_running_value("router.peers", running_router.peers, router.peers,
                       needs_restart);
    keep_running_value("router.metrics", running_router.metrics, router.metrics,
                       needs_restart);
    keep_running_value("router.source_ip", running_router.source_ip,
                       router.source_ip, needs_restart);
    keep_running_value("router.memory_limit", running_router.memory_limit,
                       router.memory_limit, needs_restart);
    keep_running_value("router.max_connections", running_router.max_connections,
                       router.max_connections, needs_restart);
    auto& peers = merged.peers;
    keep_running_value("peers.key", running.peers.key, peers.key,
                       needs_restart);
    keep_running_value("peers.heartbeat_interval",
                       running.peers.heartbeat_interval,
                       peers.heartbeat_interval, needs_restart);
    keep_running_value("peers.fan_out", running.peers.fan_out, peers.fan_out,
                       needs_restart);
    keep_running_value("peers.suspect_after", running.peers.suspect_after,
                       peers.suspect_after, needs_restart);
    keep_running_value("peers.gone_after", running.peers.gone_after,
                       peers.gone_after, needs_restart);
    return merged;
}

} // namespace lacewingbeam
