#include "admin_api.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_not_allowed = 405;
constexpr int status_unavailable = 503;

void reply_json(incoming_request& incoming, int status, const json& body) {
    incoming.reply(status, {{"Content-Type", "application/json"}},
                   body.dump() + "\n");
}

std::string_view state_name(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::leaving:
        return "leaving";
    case member_state::suspected:
        return "suspected";
    }
    return "unknown";
}

json describe(const member& value) {
    return {{"incarnation", to_string(value.id)},
            {"peer_address", value.peer_address},
            {"caller_address", value.caller_address},
            {"admin_address", value.admin_address},
            {"failure_domain", value.failure_domain},
            {"state", state_name(value.state)},
            {"age_ms", to_ms(value.age)}};
}

json describe(const candidate& value, std::span<const server_row> servers) {
    const auto name = value.index < servers.size()
                          ? servers[value.index].key.backend_server
                          : std::string();
    return {{"backend_server", name},
            {"weight", value.weight},
            {"slots", value.slots},
            {"own_in_flight", value.own_in_flight},
            {"estimated_load", value.load},
            {"latency_ms", value.latency_ms},
            {"penalty", value.penalty},
            {"expected_cost", expected_cost(value)}};
}

} // namespace

admin_api::admin_api(event_loop& loop, coordinator& coord, metrics& registry,
                     const trace_recorder& traces, const peer_link& peers)
    : loop_(loop), coordinator_(coord), metrics_(registry), traces_(traces),
      peer_link_(peers) {}

void admin_api::on_request(const std::shared_ptr<incoming_request>& incoming) {
    if (incoming->method() != EVHTTP_REQ_GET) {
        reply_json(*incoming, status_not_allowed,
                   {{"title", "the admin API supports only GET"}});
        return;
    }
    dispatch(*incoming);
}

void admin_api::dispatch(incoming_request& incoming) {
    const std::string target(incoming.target());
    constexpr std::string_view explain = "/admin/explain/";
    if (target == "/metrics") {
        serve_metrics(incoming);
    } else if (target == "/live") {
        reply_json(incoming, status_ok, {{"live", true}});
    } else if (target == "/ready") {
        const bool ready = coordinator_.status(loop_.now()).ready;
        reply_json(incoming, ready ? status_ok : status_unavailable,
                   {{"ready", ready}});
    } else if (target == "/admin/status") {
        serve_status(incoming);
    } else if (target == "/admin/peers") {
        serve_peers(incoming);
    } else if (target == "/admin/servers") {
        serve_servers(incoming);
    } else if (target == "/admin/traces") {
        incoming.reply(status_ok, {{"Content-Type", "application/jsonl"}},
                       traces_.export_lines());
    } else if (target.starts_with(explain)) {
        serve_explain(incoming, target.substr(explain.size()));
    } else {
        reply_json(
            incoming, status_not_found,
            {{"title", "no such page"},
             {"pages",
              {"/metrics", "/live", "/ready", "/admin/status", "/admin/peers",
               "/admin/servers", "/admin/traces", "/admin/explain/SERVICE"}}});
    }
}

void admin_api::serve_metrics(incoming_request& incoming) {
    const auto status = coordinator_.status(loop_.now());
    metrics_.set_gauge("ready", status.ready ? 1 : 0);
    metrics_.set_gauge("calls", static_cast<double>(status.calls));
    metrics_.set_gauge("waiting_calls", static_cast<double>(status.waiting));
    metrics_.set_gauge("operations", static_cast<double>(status.operations));
    metrics_.set_gauge("active_instances",
                       static_cast<double>(status.active_instances));
    metrics_.set_gauge("table_version",
                       static_cast<double>(status.table_version));
    metrics_.set_gauge("table_age_seconds", to_ms(status.table_age) / 1000);
    const auto& link = peer_link_.counts();
    metrics_.set_gauge("peer_messages_sent", static_cast<double>(link.sent));
    metrics_.set_gauge("peer_bytes_sent", static_cast<double>(link.sent_bytes));
    metrics_.set_gauge("peer_messages_received",
                       static_cast<double>(link.received));
    metrics_.set_gauge("peer_messages_dropped",
                       static_cast<double>(link.dropped));
    incoming.reply(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.text());
}

void admin_api::serve_status(incoming_request& incoming) {
    const auto status = coordinator_.status(loop_.now());
    auto body = describe(coordinator_.own());
    body["ready"] = status.ready;
    body["stopping"] = status.stopping;
    body["table_confirmed"] = status.table_confirmed;
    body["table_version"] = status.table_version;
    body["table_age_ms"] = to_ms(status.table_age);
    body["calls"] = status.calls;
    body["waiting_calls"] = status.waiting;
    body["operations"] = status.operations;
    body["active_instances"] = status.active_instances;
    reply_json(incoming, status_ok, body);
}

void admin_api::serve_peers(incoming_request& incoming) {
    auto list = json::array();
    for (const auto& peer : coordinator_.peers(loop_.now())) {
        list.push_back(describe(peer));
    }
    reply_json(incoming, status_ok, {{"peers", std::move(list)}});
}

void admin_api::serve_servers(incoming_request& incoming) {
    auto list = json::array();
    const auto now = loop_.now();
    coordinator_.servers().for_each_server([&](server_state& state) {
        const auto& row = state.row();
        list.push_back({{"service", row.key.service},
                        {"backend_server", row.key.backend_server},
                        {"address", row.address},
                        {"in_flight", state.in_flight()},
                        {"estimated_load", state.estimated_load(now)},
                        {"latency_ms", state.latency_ms()},
                        {"penalty", state.penalty(now)},
                        {"leaving", state.is_leaving(now)}});
    });
    reply_json(incoming, status_ok, {{"servers", std::move(list)}});
}

void admin_api::serve_explain(incoming_request& incoming,
                              const std::string& service) {
    if (coordinator_.table().find_service(service) == nullptr) {
        reply_json(incoming, status_not_found,
                   {{"title", "unknown service " + service}});
        return;
    }
    const auto servers = coordinator_.table().servers_of(service);
    auto list = json::array();
    for (const auto& choice : coordinator_.servers().recent_choices(service)) {
        auto candidates = json::array();
        for (const auto& item : choice.candidates) {
            candidates.push_back(describe(item, servers));
        }
        list.push_back({{"age_ms", to_ms(loop_.now() - choice.at)},
                        {"chosen", choice.chosen.backend_server},
                        {"candidates", std::move(candidates)}});
    }
    reply_json(incoming, status_ok, {{"choices", std::move(list)}});
}

} // namespace lacewingbeam
