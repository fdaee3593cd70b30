#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <iterator>

// Requests that crash the servers that run them, and servers that want none.
namespace lacewingbeam {

namespace {

// Longer pauses are taken for a mistake.
constexpr duration max_pause = std::chrono::hours(1);

// Time for the instances that send a suspected request to learn its outcome.
constexpr duration suspect_retry_after = std::chrono::seconds(1);

} // namespace

bool request_router::on_server_leaving(std::string_view server,
                                       time_point now) {
    return notices_.on_leaving(server, current_run_of(std::string(server)),
                               now);
}

bool request_router::on_server_pause(std::string_view server, duration pause,
                                     time_point now) {
    return notices_.on_pause(server, current_run_of(std::string(server)),
                             now + std::min(pause, max_pause), now);
}

bool request_router::may_send_to(const std::string& server, time_point now) {
    return limits_.may_send(server, now) &&
           (!notices_.has_notice(server) ||
            notices_.may_send(server, current_run_of(server), now));
}

// Returns when the first server may get requests again, if all of them are
// leaving or asked for a pause.
std::optional<time_point>
request_router::resume_time(const std::string& service, time_point now) const {
    std::optional<time_point> first;
    for (const auto* server : directory_.available(service)) {
        const auto run = current_run_of(server->info.id);
        if (notices_.may_send(server->info.id, run, now)) {
            return std::nullopt;
        }
        if (const auto until =
                notices_.paused_until(server->info.id, run, now)) {
            first = std::min(first.value_or(*until), *until);
        }
    }
    return first;
}

// Handles a request that no server may be sent. It waits if that is due to
// limits, which let one more request through after some time.
void request_router::wait_for_limited_server(request_entry& request,
                                             time_point now, actions& out) {
    const auto resume = resume_time(request.service, now);
    if (resume && !request.lost_reason) {
        finish(request,
               not_run{
                   request.refused_reason.value_or(not_run_reason::queue_full)},
               *resume - now, out);
        return;
    }
    const auto servers = directory_.available(request.service);
    const bool limited = std::any_of(
        servers.begin(), servers.end(), [&](const known_server* server) {
            return !limits_.may_send(server->info.id, now);
        });
    const double objective_left_ms =
        to_ms(request.arrived + request.objective - now);
    if (limited && objective_left_ms > base_latency_of(request)) {
        wait_for_slot(request, now, out);
        return;
    }
    const auto reason = limited ? not_run_reason::queue_full
                                : not_run_reason::no_backend_server;
    refuse(request, request.refused_reason.value_or(reason), now, out);
}

server_fingerprint
request_router::current_run_of(const std::string& server) const {
    const auto* known = directory_.find(server);
    return hash(server + "/" +
                (known == nullptr ? std::string() : known->info.started_at));
}

// Returns for how long a request of this fingerprint must not be sent, or
// nullopt if it may be.
std::optional<duration>
request_router::refusal_of(request_fingerprint fingerprint, time_point now) {
    if (const auto refused = quarantine_.refused_for(fingerprint, now)) {
        return refused;
    }
    if (!quarantine_.is_suspected(fingerprint, now)) {
        return std::nullopt;
    }
    const bool running =
        std::any_of(requests_.begin(), requests_.end(), [&](const auto& item) {
            return item.second.fingerprint == fingerprint &&
                   !item.second.running_attempts.empty();
        });
    return running || !quarantine_.may_send_suspect(fingerprint)
               ? std::optional(suspect_retry_after)
               : std::nullopt;
}

bool request_router::refuse_if_quarantined(request_entry& request,
                                           time_point now, actions& out) {
    const auto refused = refusal_of(request.fingerprint, now);
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
