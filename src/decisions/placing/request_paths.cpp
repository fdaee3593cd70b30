#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

// Whether this instance has a path to the servers.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// A server that does not respond to a check within this time is silent.
constexpr duration path_check_timeout = milliseconds(200);

// Interval between the checks of a service, each of another server.
constexpr duration doubted_check_interval = milliseconds(50);
constexpr duration lost_check_interval = milliseconds(200);

} // namespace

bool request_router::is_path_lost(const std::string& service) {
    return all_paths_.is_lost() || entry_of_service(service).path.is_lost();
}

std::size_t request_router::lost_paths() const {
    return static_cast<std::size_t>(std::count_if(
        services_.begin(), services_.end(), [&](const auto& item) {
            return all_paths_.is_lost() || item.second.path.is_lost();
        }));
}

void request_router::note_response(const std::string& server, time_point now,
                                   actions& out) {
    const auto lost_for = [&](const path_monitor& path) {
        return now - path.lost_at().value_or(now);
    };
    const auto all_lost_for = lost_for(all_paths_);
    if (all_paths_.on_response()) {
        out.emplace_back(path_action{{}, false, 0, all_lost_for});
    }
    const auto* known = directory_.find(server);
    if (known == nullptr) {
        return;
    }
    auto& path = entry_of_service(known->info.service).path;
    const auto service_lost_for = lost_for(path);
    if (path.on_response()) {
        out.emplace_back(
            path_action{known->info.service, false, 0, service_lost_for});
    }
}

void request_router::note_doubt(const std::string& server, time_point now) {
    const auto* known = directory_.find(server);
    if (known == nullptr) {
        return;
    }
    auto& service = entry_of_service(known->info.service);
    const bool was_doubted = service.path.is_doubted();
    if (service.path.on_doubt(server) && !was_doubted) {
        service.next_path_check = now;
    }
}

void request_router::note_silence(const std::string& server, time_point now,
                                  actions& out) {
    const auto* known = directory_.find(server);
    if (known == nullptr) {
        return;
    }
    const auto name = known->info.service;
    note_doubt(server, now);
    auto& service = entry_of_service(name);
    const auto available = directory_.available(name).size();
    if (service.path.on_silent(server, available, now)) {
        on_path_lost(name, service.path.silent_count(), now, out);
    }
    if (all_paths_.on_silent(server, directory_.server_count(), now)) {
        on_path_lost({}, all_paths_.silent_count(), now, out);
    }
}

void request_router::note_outcome(const std::string& server,
                                  const attempt_outcome& result, time_point now,
                                  actions& out) {
    const auto* refused = std::get_if<attempt_not_run>(&result);
    const auto* unknown = std::get_if<attempt_unknown>(&result);
    if (refused != nullptr &&
        refused->reason == not_run_reason::connect_failed) {
        note_silence(server, now, out);
    } else if (refused != nullptr &&
               refused->reason == not_run_reason::queue_full) {
        return; // no connection was free
    } else if (unknown != nullptr &&
               unknown->reason == may_have_run_reason::connection_lost) {
        note_doubt(server, now);
    } else {
        note_response(server, now, out);
    }
}

// Requests that have not been sent yet are placed again, but only by
// place_unsent_again: the caller of this function may refer to one of them, and
// placing a request can end it.
void request_router::on_path_lost(const std::string& service,
                                  std::size_t silent, time_point now,
                                  actions& out) {
    out.emplace_back(path_action{service, true, silent, {}});
    for (auto& [id, entry] : servers_) {
        const auto* known = directory_.find(id);
        const bool affected =
            known != nullptr &&
            (service.empty() || known->info.service == service);
        if (affected && entry.failure_score_at > now - path_check_timeout) {
            entry.failure_score = 0; // the path was at fault
        }
    }
    for (const auto& [id, request] : requests_) {
        if (request.running_attempts.empty() &&
            (service.empty() || request.service == service)) {
            unsent_without_path_.insert(id);
        }
    }
}

// Called at the end of an event, when nothing refers to a request any more.
void request_router::place_unsent_again(time_point now, actions& out) {
    for (const auto id : std::exchange(unsent_without_path_, {})) {
        const auto found = requests_.find(id);
        if (found == requests_.end() ||
            !found->second.running_attempts.empty()) {
            continue;
        }
        auto& request = found->second;
        request.decide_at.reset();
        request.recheck_at.reset();
        request.pending_probes.clear();
        request.waiting = false;
        start_placement(request, now, out);
    }
}

void request_router::check_paths(time_point now, actions& out) {
    for (auto& [name, service] : services_) {
        const bool lost = all_paths_.is_lost() || service.path.is_lost();
        if ((lost || service.path.is_doubted()) &&
            now >= service.next_path_check) {
            service.next_path_check =
                now + (lost ? lost_check_interval : doubted_check_interval);
            send_path_check(name, now, out);
        }
    }
}

std::optional<time_point> request_router::path_check_due() const {
    std::optional<time_point> due;
    for (const auto& [name, service] : services_) {
        if (all_paths_.is_lost() || service.path.is_lost() ||
            service.path.is_doubted()) {
            due = std::min(due.value_or(service.next_path_check),
                           service.next_path_check);
        }
    }
    return due;
}

// Probes a server that is not known to be silent, or else any.
void request_router::send_path_check(const std::string& service, time_point now,
                                     actions& out) {
    auto servers = directory_.available(service);
    std::erase_if(servers, [&](const known_server* server) {
        return !may_send_to(server->info.id, now);
    });
    const auto* table = directory_.routing();
    const auto& path = entry_of_service(service).path;
    const auto others = std::partition(
        servers.begin(), servers.end(), [&](const known_server* server) {
            return !path.is_silent(server->info.id);
        });
    const auto unheard = static_cast<std::size_t>(others - servers.begin());
    const auto count = unheard > 0 ? unheard : servers.size();
    if (count == 0 || table == nullptr) {
        return;
    }
    boost::random::uniform_int_distribution<std::size_t> draw(0, count - 1);
    const auto& server = servers[draw(engine_)]->info;
    if (!probe_budget_of(entry_of(server.id), now).try_take(now)) {
        return;
    }
    const auto& options = table->options_of(service);
    const auto id = probe_id{next_probe_++};
    probes_[id] = {std::nullopt, server.id, now};
    out.emplace_back(probe_action{
        id, server.id, server.address, options.health_path,
        connection_share(options.max_connections), path_check_timeout});
}

} // namespace lacewingbeam
