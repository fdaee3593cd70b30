#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <iterator>

// Requests that crash the servers that run them.
namespace lacewingbeam {

server_fingerprint
request_router::current_run_of(const std::string& server) const {
    const auto* known = directory_.find(server);
    return hash(server + "/" +
                (known == nullptr ? std::string() : known->info.started_at));
}

bool request_router::refuse_if_quarantined(request_entry& request,
                                           time_point now, actions& out) {
    const auto refused = quarantine_.refused_for(request.fingerprint, now);
    if (!refused || !request.running_attempts.empty()) {
        return refused.has_value();
    }
    if (request.lost_reason) {
        finish(request, may_have_run{*request.lost_reason}, std::nullopt, out);
    } else {
        finish(request, not_run{not_run_reason::quarantined}, *refused, out);
    }
    return true;
}

// Tells peers what changed, and the log which requests are refused from now on.
void request_router::tell_peers(request_quarantine::reports reports,
                                time_point now, actions& out) {
    for (auto& item : reports) {
        out.emplace_back(
            report_action{std::move(item.peer), std::move(item.report)});
    }
    const auto refused = quarantine_.refused(now);
    const std::set<request_fingerprint> current(refused.begin(), refused.end());
    std::vector<request_fingerprint> changed;
    std::set_symmetric_difference(current.begin(), current.end(),
                                  quarantined_.begin(), quarantined_.end(),
                                  std::back_inserter(changed));
    for (const auto request : changed) {
        out.emplace_back(
            quarantine_action{request, quarantine_.losses(request),
                              quarantine_.refused_for(request, now)});
    }
    quarantined_ = current;
}

void request_router::note_server_alive(const std::string& server,
                                       time_point sent_at, time_point now,
                                       actions& out) {
    if (quarantine_.awaits_signs_of_life(now)) {
        tell_peers(
            quarantine_.on_server_alive(current_run_of(server), sent_at, now),
            now, out);
    }
}

request_router::actions request_router::on_suspect_report(
    const std::string& from, const suspect_report& report, time_point now) {
    actions out;
    tell_peers(quarantine_.on_report(from, report, now), now, out);
    return out;
}

request_router::actions request_router::on_peer_started(const std::string& peer,
                                                        time_point now) {
    actions out;
    tell_peers(quarantine_.on_peer_started(peer, now), now, out);
    return out;
}

request_router::actions request_router::release(request_fingerprint request,
                                                time_point now) {
    actions out;
    tell_peers(quarantine_.on_completed(request, now), now, out);
    return out;
}

} // namespace lacewingbeam
