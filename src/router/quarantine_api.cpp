#include "quarantine_api.hpp"

#include "request_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;

void reply_json(incoming_request& incoming, int status,
                const nlohmann::json& body) {
    incoming.reply(status, {{"Content-Type", "application/json"}},
                   body.dump() + "\n");
}

nlohmann::json list_refused(const request_quarantine& quarantine,
                            time_point now) {
    auto requests = nlohmann::json::array();
    for (const auto request : quarantine.refused(now)) {
        const auto left = quarantine.refused_for(request, now);
        requests.push_back({{"fingerprint", fingerprint_text(request)},
                            {"losses", quarantine.losses(request)},
                            {"refused_for_ms", left ? to_ms(*left) : 0}});
    }
    return {{"requests", requests}};
}

} // namespace

void handle_quarantine_call(incoming_request& incoming,
                            const request_quarantine& quarantine,
                            request_gateway& gateway, time_point now) {
    const auto rest = incoming.target().substr(quarantine_path.size());
    if (incoming.method() == EVHTTP_REQ_GET && rest.empty()) {
        reply_json(incoming, status_ok, list_refused(quarantine, now));
        return;
    }
    if (incoming.method() != EVHTTP_REQ_DELETE || !rest.starts_with('/')) {
        reply_json(incoming, status_method_not_allowed,
                   {{"error", "use GET /quarantine or "
                              "DELETE /quarantine/FINGERPRINT"}});
        return;
    }
    const auto name = rest.substr(1);
    const auto refused = quarantine.refused(now);
    const auto found =
        std::find_if(refused.begin(), refused.end(), [&](const auto request) {
            return fingerprint_text(request) == name;
        });
    if (found == refused.end()) {
        reply_json(incoming, status_not_found,
                   {{"error", "request \"" + std::string(name) +
                                  "\" is not in quarantine"}});
        return;
    }
    gateway.release(*found);
    reply_json(incoming, status_ok, {{"released", std::string(name)}});
}

} // namespace lacewingbeam
