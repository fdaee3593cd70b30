#include "lacewingbeam/request_quarantine.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Losses closer to each other count once.
constexpr duration same_event = milliseconds(400);

// A server that responds within this time did not crash. One that did needs
// longer to start again.
constexpr duration alive_window = milliseconds(1000);

constexpr duration min_refusal = seconds(60);
constexpr unsigned max_doublings = 4;

// Suspects without news are forgotten after this time, which is longer than the
// longest refusal.
constexpr duration memory = seconds(1800);

constexpr std::size_t max_suspects = 1024;
constexpr std::size_t max_losses = 8; // of a suspect

// Instances that are told of every loss of a request, so that they see those
// that different instances saw.
constexpr std::size_t keepers = 2;

// Instances that tell a peer that starts. More than half of all instances may
// have started with it.
constexpr std::size_t informants = 8;

// Instances that send a suspected request.
constexpr std::size_t sending_instances = 3;

// A request that was completed so recently does not crash its servers.
constexpr duration completion_memory = seconds(10);

constexpr std::size_t all_peers_limit = 24;
constexpr std::size_t relay_fan_out = 6;

std::uint64_t rank_of(request_fingerprint request, const std::string& address) {
    return hash(address + " " + std::to_string(request));
}

} // namespace

void request_quarantine::set_instances(std::string own,
                                       std::vector<std::string> peers) {
    own_ = std::move(own);
    peers_ = std::move(peers);
}

// Returns the losses that count, which are some time apart. Taking the earliest
// possible ones yields the highest number, so a further loss never lowers it.
std::vector<server_fingerprint>
request_quarantine::events_of(const loss_map& losses) {
    std::vector<std::pair<time_point, server_fingerprint>> order;
    for (const auto& [server, item] : losses) {
        if (!item.refuted) {
            order.emplace_back(item.at, server);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<server_fingerprint> events;
    std::optional<time_point> last;
    for (const auto& [at, server] : order) {
        if (!last || at - *last >= same_event) {
            events.push_back(server);
            last = at;
        }
    }
    return events;
}

std::size_t request_quarantine::count_events(const loss_map& losses) {
    return events_of(losses).size();
}

std::size_t request_quarantine::count_servers(const loss_map& losses) {
    return static_cast<std::size_t>(
        std::count_if(losses.begin(), losses.end(),
                      [](const auto& item) { return !item.second.refuted; }));
}

bool request_quarantine::is_suspicious(const loss_map& losses) {
    return count_events(losses) >= losses_to_suspect ||
           count_servers(losses) >= servers_to_suspect;
}

bool request_quarantine::must_be_refused(const loss_map& losses) {
    const auto events = count_events(losses);
    return events >= losses_to_refuse ||
           (events >= losses_to_suspect &&
            count_servers(losses) > servers_to_suspect);
}

time_point request_quarantine::last_loss(const loss_map& losses) {
    time_point last{};
    for (const auto& [server, item] : losses) {
        last = item.refuted ? last : std::max(last, item.at);
    }
    return last;
}

void request_quarantine::note_completed(request_fingerprint request,
                                        time_point now) {
    completions_[request % completions_.size()] = {request, now};
}

bool request_quarantine::completed_lately(request_fingerprint request,
                                          time_point now) const {
    const auto& last = completions_[request % completions_.size()];
    return last.request == request && now - last.at <= completion_memory;
}

bool request_quarantine::is_suspected(request_fingerprint request,
                                      time_point now) const {
    const auto found = suspects_.find(request);
    return found != suspects_.end() && is_suspicious(found->second.losses) &&
           now - last_loss(found->second.losses) < min_refusal;
}

bool request_quarantine::may_send_suspect(request_fingerprint request) const {
    return rank_for(request, own_) < sending_instances;
}

request_quarantine::level request_quarantine::level_of(const suspect& entry,
                                                       time_point now) {
    if (refused_until(entry) > now) {
        return level::refused;
    }
    return is_suspicious(entry.losses) ? level::suspected : level::known;
}

bool request_quarantine::awaits_signs_of_life(time_point now) const {
    return now - last_loss_at_ <= alive_window;
}

// Returns true if the loss, or that it is refuted, is news.
bool request_quarantine::add_loss(suspect& entry, server_fingerprint server,
                                  time_point at, bool refuted) {
    last_loss_at_ = std::max(last_loss_at_, at);
    const auto [found, added] =
        entry.losses.try_emplace(server, loss{at, refuted});
    if (!added) {
        const bool news = refuted && !found->second.refuted;
        found->second.refuted |= refuted;
        return news;
    }
    if (entry.losses.size() <= max_losses) {
        return true;
    }
    const auto dropped = least_telling(entry.losses);
    entry.losses.erase(dropped);
    return dropped != server;
}

// Returns a loss without which the number of events stays the same, if there is
// one, and otherwise the oldest.
server_fingerprint request_quarantine::least_telling(const loss_map& losses) {
    const auto events = events_of(losses);
    const auto oldest = [&](bool events_too) {
        auto found = losses.end();
        for (auto item = losses.begin(); item != losses.end(); ++item) {
            const bool is_event = std::find(events.begin(), events.end(),
                                            item->first) != events.end();
            if ((events_too || !is_event) &&
                (found == losses.end() || item->second.at < found->second.at)) {
                found = item;
            }
        }
        return found;
    };
    const auto found = oldest(false);
    return found != losses.end() ? found->first : oldest(true)->first;
}

// The servers that a refused request crashed accuse no other request.
bool request_quarantine::is_explained(request_fingerprint request,
                                      server_fingerprint server,
                                      time_point now) const {
    return std::any_of(
        suspects_.begin(), suspects_.end(), [&](const auto& item) {
            const auto found = item.second.losses.find(server);
            return item.first != request && found != item.second.losses.end() &&
                   !found->second.refuted &&
                   level_of(item.second, now) == level::refused;
        });
}

void request_quarantine::excuse_others(request_fingerprint request) {
    const auto& losses = suspects_.at(request).losses;
    for (auto& [other, entry] : suspects_) {
        for (auto& [server, item] : entry.losses) {
            const auto found = losses.find(server);
            item.refuted |= other != request && found != losses.end() &&
                            !found->second.refuted;
        }
    }
}

// Forgets old suspects, and the one with the oldest news if there are too many.
void request_quarantine::make_room(time_point now) {
    std::erase_if(suspects_, [&](const auto& item) {
        return now - item.second.changed_at > memory;
    });
    if (suspects_.size() < max_suspects) {
        return;
    }
    // Requests that are refused are kept, unless all are.
    const auto weight = [&](const auto& item) {
        return std::pair(level_of(item.second, now) == level::refused,
                         item.second.changed_at);
    };
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [&](const auto& a, const auto& b) { return weight(a) < weight(b); }));
}

request_quarantine::suspect&
request_quarantine::suspect_of(request_fingerprint request, time_point now) {
    if (!suspects_.contains(request)) {
        make_room(now);
    }
    return suspects_[request];
}

request_quarantine::reports
request_quarantine::on_lost(request_fingerprint request,
                            server_fingerprint server, time_point now) {
    auto& entry = suspect_of(request, now);
    const auto before = level_of(entry, now);
    entry.changed_at = now;
    const bool explained =
        completed_lately(request, now) || is_explained(request, server, now);
    return add_loss(entry, server, now, explained)
               ? tell(request, before, true, now)
               : reports{};
}

request_quarantine::reports
request_quarantine::on_completed(request_fingerprint request, time_point now) {
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || count_events(found->second.losses) == 0) {
        return {};
    }
    const auto before = level_of(found->second, now);
    for (auto& [server, item] : found->second.losses) {
        item.refuted = true;
    }
    return tell(request, before, true, now);
}

request_quarantine::reports
request_quarantine::on_server_alive(server_fingerprint server,
                                    time_point sent_at, time_point now) {
    reports out;
    if (!awaits_signs_of_life(now)) {
        return out;
    }
    for (auto& [request, entry] : suspects_) {
        const auto found = entry.losses.find(server);
        if (found == entry.losses.end() || found->second.refuted ||
            sent_at <= found->second.at ||
            now - found->second.at > alive_window) {
            continue;
        }
        const auto before = level_of(entry, now);
        found->second.refuted = true;
        for (auto& item : tell(request, before, true, now)) {
            out.push_back(std::move(item));
        }
    }
    return out;
}

request_quarantine::reports
request_quarantine::on_report(const std::string& from,
                              const suspect_report& report, time_point now) {
    auto& entry = suspect_of(report.request, now);
    const auto before = level_of(entry, now);
    bool news = false;
    for (const auto& item : report.losses) {
        const bool explained = is_explained(report.request, item.server, now);
        news |= add_loss(entry, item.server, now - item.age,
                         item.refuted || explained);
    }
    if (!news) {
        return {};
    }
    entry.changed_at = now;
    if (is_suspicious(entry.losses) && completed_lately(report.request, now)) {
        return on_completed(report.request, now);
    }
    if (before == level_of(entry, now)) {
        // A sender that sends such a request was cut off when it was told.
        const bool informs =
            before == level::refused && is_keeper(report.request, own_) &&
            std::find(peers_.begin(), peers_.end(), from) != peers_.end();
        return informs ? reports{{from, to_report(report.request, entry, now)}}
                       : reports{};
    }
    // A keeper is the first to see what several instances saw.
    return tell(report.request, before, is_keeper(report.request, own_), now);
}

request_quarantine::reports
request_quarantine::on_peer_started(const std::string& peer,
                                    time_point now) const {
    reports out;
    for (const auto& [request, entry] : suspects_) {
        if (is_suspicious(entry.losses) &&
            rank_for(request, own_) < informants) {
            out.push_back({peer, to_report(request, entry, now)});
        }
    }
    return out;
}

time_point request_quarantine::refused_until(const suspect& entry) {
    if (!must_be_refused(entry.losses)) {
        return time_point{};
    }
    const auto events = std::max(count_events(entry.losses), losses_to_refuse);
    const auto doublings =
        std::min<std::size_t>(max_doublings, events - losses_to_refuse);
    return last_loss(entry.losses) + min_refusal * (1U << doublings);
}

std::optional<duration>
request_quarantine::refused_for(request_fingerprint request,
                                time_point now) const {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return std::nullopt;
    }
    const auto until = refused_until(found->second);
    return now < until ? std::optional(until - now) : std::nullopt;
}

std::size_t request_quarantine::losses(request_fingerprint request) const {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return 0;
    }
    return count_servers(found->second.losses);
}

std::vector<request_fingerprint>
request_quarantine::refused(time_point now) const {
    std::vector<request_fingerprint> out;
    for (const auto& [request, entry] : suspects_) {
        if (refused_for(request, now)) {
            out.push_back(request);
        }
    }
    return out;
}

// Returns the position of an instance in an order that is different for each
// request and the same on all instances.
std::size_t request_quarantine::rank_for(request_fingerprint request,
                                         const std::string& address) const {
    const auto rank = rank_of(request, address);
    const auto before = std::count_if(
        peers_.begin(), peers_.end(),
        [&](const std::string& peer) { return rank_of(request, peer) < rank; });
    const bool own_before = rank_of(request, own_) < rank;
    return static_cast<std::size_t>(before) + (own_before ? 1 : 0);
}

bool request_quarantine::is_keeper(request_fingerprint request,
                                   const std::string& address) const {
    return rank_for(request, address) < keepers;
}

suspect_report request_quarantine::to_report(request_fingerprint request,
                                             const suspect& entry,
                                             time_point now) {
    suspect_report report{request, {}};
    for (const auto& [server, item] : entry.losses) {
        report.losses.push_back({server, now - item.at, item.refuted});
    }
    return report;
}

// Tells all instances when a request becomes suspected, refused or neither, and
// only the keepers of this instance's other news. In large installations
// instances relay the former to some others; ranks spread the relays evenly.
request_quarantine::reports
request_quarantine::tell(request_fingerprint request, level before,
                         bool own_news, time_point now) {
    const auto& entry = suspects_.at(request);
    const auto after = level_of(entry, now);
    if (after == level::refused && before != after) {
        excuse_others(request);
    }
    const bool large = peers_.size() > all_peers_limit;
    const bool to_all = before != after;
    if ((!own_news && !(large && to_all)) ||
        (!to_all && after == level::refused)) {
        return {};
    }
    auto targets = peers_;
    if (!to_all) {
        std::erase_if(targets, [&](const std::string& peer) {
            return !is_keeper(request, peer);
        });
    } else if (large) {
        const auto salt = request ^ hash(own_);
        std::sort(targets.begin(), targets.end(),
                  [&](const std::string& a, const std::string& b) {
                      return rank_of(salt, a) < rank_of(salt, b);
                  });
        targets.resize(own_news ? 2 * relay_fan_out : relay_fan_out);
        std::copy_if(peers_.begin(), peers_.end(), std::back_inserter(targets),
                     [&](const std::string& peer) {
                         return own_news && is_keeper(request, peer);
                     });
    }
    const auto report = to_report(request, entry, now);
    reports out;
    for (auto& peer : targets) {
        out.push_back({std::move(peer), report});
    }
    return out;
}

} // namespace lacewingbeam
