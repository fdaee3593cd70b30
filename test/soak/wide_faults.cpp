#include "faults.hpp"

#include <algorithm>
#include <csignal>

// Faults of all servers, or of the paths to them, that last.
namespace soak {

namespace {

using testing_support::json;

// Share of the requests that a service in trouble refuses.
constexpr double shed_share = 0.6;

} // namespace

// Applies the settings to all servers until end_ms, then restores them.
// Includes servers that are started meanwhile.
void fault_director::control_servers_until(std::int64_t end_ms,
                                           server_settings settings_of) {
    constexpr std::int64_t step_ms = 500;
    const bool over = now_ms() >= end_ms;
    for (const auto& id : servers_) {
        const auto& server = environment_.server(id);
        if (server.child->is_running() && !paused_servers_.contains(id)) {
            testing_support::installation::control(server.address,
                                                   settings_of(server, over));
        }
    }
    if (!over || !paused_servers_.empty()) {
        const auto delay_ms =
            std::min(step_ms, std::max<std::int64_t>(50, end_ms - now_ms()));
        schedule_step(delay_ms,
                      [this, end_ms, settings_of = std::move(settings_of)] {
                          control_servers_until(end_ms, settings_of);
                      });
    }
}

void fault_director::shed_until(std::int64_t end_ms) {
    control_servers_until(end_ms, [](const auto&, bool over) {
        return json{{"refuse_share", over ? 0 : shed_share}};
    });
}

// Requests queue up at all routers.
void fault_director::slow_until(std::int64_t end_ms) {
    constexpr int slowness = 30;
    control_servers_until(end_ms, [](const auto& server, bool over) {
        return json{{"slowness", over ? 1 : slowness},
                    {"slots", over ? server.slots : 1}};
    });
}

// All servers of one service are lost at once, and their ports refuse
// connections.
void fault_director::crash_service(const fault& event) {
    const auto service = service_name(event.target % options_.services);
    const auto count = servers_.size();
    for (std::size_t i = 0; i < count; ++i) {
        auto& server = environment_.server(servers_[i]);
        if (server.service == service && !departing_.contains(server.id)) {
            server.proxy->child->signal(SIGKILL);
            begin_server_fault(
                {event.at_ms, "server_kill", i, event.duration_ms});
        }
    }
}

void fault_director::begin_paths_cut(const fault& event) {
    const std::vector<std::string> kinds{"hang", "refuse"};
    const auto count = environment_.routers().size();
    const auto affected =
        1 + event.target % std::max<std::size_t>(1, count - 1);
    std::set<std::size_t> routers;
    for (std::size_t i = 0; i < affected; ++i) {
        routers.insert((event.target / count + i) % count);
    }
    const auto end = started_ms_ + event.at_ms + event.duration_ms;
    history_.cuts.push_back({routers, now_ms(), end});
    cut_paths_until(end, routers, kinds[event.target % kinds.size()]);
}

// Includes the proxies of servers that are started meanwhile.
void fault_director::cut_paths_until(std::int64_t end_ms,
                                     const std::set<std::size_t>& routers,
                                     const std::string& how) {
    constexpr std::int64_t step_ms = 400;
    const bool over = now_ms() >= end_ms;
    for (const auto& [id, server] : environment_.servers()) {
        for (const auto router : routers) {
            testing_support::installation::control(
                server->proxy->control,
                {{"cut_source", environment_.routers()[router]->source_ip},
                 {"how", over ? "none" : how}});
        }
    }
    if (!over) {
        schedule_step(std::min(step_ms, end_ms - now_ms()),
                      [this, end_ms, routers, how] {
                          cut_paths_until(end_ms, routers, how);
                      });
    }
}

} // namespace soak
