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

std::size_t request_quarantine::count_events(const loss_map& losses) {
    std::vector<time_point> times;
    for (const auto& [server, item] : losses) {
        if (!item.refuted) {
            times.push_back(item.at);
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<time_point> last;
    for (const auto at : times) {
        if (!last || at - *last >= same_event) {
            ++count;
            last = at;
        }
    }
    return count;
}

// Returns true if the loss, or that it is refuted, is news.
bool request_quarantine::add_loss(suspect& entry, server_fingerprint server,
                                  time_point at, bool refuted) {
    const auto found = entry.losses.find(server);
    if (found != entry.losses.end()) {
        const bool news = refuted && !found->second.refuted;
        found->second.refuted |= refuted;
        return news;
    }
    if (entry.losses.size() == max_losses) {
        const auto oldest =
            std::min_element(entry.losses.begin(), entry.losses.end(),
                             [](const auto& a, const auto& b) {
                                 return a.second.at < b.second.at;
                             });
        if (at <= oldest->second.at) {
            return false;
        }
        entry.losses.erase(oldest);
    }
    entry.losses[server] = {at, refuted};
    return true;
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
        return std::pair(count_events(item.second.losses) >= losses_to_refuse,
                         item.second.changed_at);
    };
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [&](const auto& a, const auto& b) { return weight(a) < weight(b); }));
}

request_quarantine::reports
request_quarantine::on_lost(request_fingerprint request,
                            server_fingerprint server, time_point now) {
    if (!suspects_.contains(request)) {
        make_room(now);
    }
    auto& entry = suspects_[request];
    const auto before = count_events(entry.losses);
    entry.changed_at = now;
    return add_loss(entry, server, now, false)
               ? tell(request, entry, before, true, now)
               : reports{};
}

request_quarantine::reports
request_quarantine::on_completed(request_fingerprint request, time_point now) {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return {};
    }
    auto& entry = found->second;
    const auto before = count_events(entry.losses);
    if (before == 0) {
        return {};
    }
    for (auto& [server, item] : entry.losses) {
        item.refuted = true;
    }
    return tell(request, entry, before, true, now);
}

request_quarantine::reports
request_quarantine::on_server_alive(server_fingerprint server,
                                    time_point sent_at, time_point now) {
    reports out;
    for (auto& [request, entry] : suspects_) {
        const auto found = entry.losses.find(server);
        if (found == entry.losses.end() || found->second.refuted ||
            sent_at <= found->second.at ||
            now - found->second.at > alive_window) {
            continue;
        }
        const auto before = count_events(entry.losses);
        found->second.refuted = true;
        for (auto& item : tell(request, entry, before, true, now)) {
            out.push_back(std::move(item));
        }
    }
    return out;
}

request_quarantine::reports
request_quarantine::on_report(const suspect_report& report, time_point now) {
    if (!suspects_.contains(report.request)) {
        make_room(now);
    }
    auto& entry = suspects_[report.request];
    const auto before = count_events(entry.losses);
    bool news = false;
    for (const auto& item : report.losses) {
        news |= add_loss(entry, item.server, now - item.age, item.refuted);
    }
    if (!news) {
        return {};
    }
    entry.changed_at = now;
    // A keeper is the first to see what several instances saw.
    const bool first_to_see = is_keeper(report.request, own_) &&
                              count_events(entry.losses) >= losses_to_suspect;
    return tell(report.request, entry, before, first_to_see, now);
}

request_quarantine::reports
request_quarantine::on_peer_started(const std::string& peer,
                                    time_point now) const {
    reports out;
    for (const auto& [request, entry] : suspects_) {
        if (count_events(entry.losses) >= losses_to_suspect &&
            is_keeper(request, own_)) {
            out.push_back({peer, to_report(request, entry, now)});
        }
    }
    return out;
}

std::optional<duration>
request_quarantine::refused_for(request_fingerprint request,
                                time_point now) const {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return std::nullopt;
    }
    const auto events = count_events(found->second.losses);
    if (events < losses_to_refuse) {
        return std::nullopt;
    }
    time_point last{};
    for (const auto& [server, item] : found->second.losses) {
        last = item.refuted ? last : std::max(last, item.at);
    }
    const auto doublings =
        std::min<std::size_t>(max_doublings, events - losses_to_refuse);
    const auto until = last + min_refusal * (1U << doublings);
    return now < until ? std::optional(until - now) : std::nullopt;
}

std::size_t request_quarantine::losses(request_fingerprint request) const {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return 0;
    }
    const auto& losses = found->second.losses;
    return static_cast<std::size_t>(
        std::count_if(losses.begin(), losses.end(),
                      [](const auto& item) { return !item.second.refuted; }));
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

bool request_quarantine::is_keeper(request_fingerprint request,
                                   const std::string& address) const {
    const auto rank = rank_of(request, address);
    auto before = std::count_if(
        peers_.begin(), peers_.end(),
        [&](const std::string& peer) { return rank_of(request, peer) < rank; });
    before += rank_of(request, own_) < rank ? 1 : 0;
    return before < static_cast<std::ptrdiff_t>(keepers);
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

// Tells the keepers of this instance's own news, and all instances if the
// request is or was suspected. In large installations instances relay the
// latter to some others; ranks spread the relays evenly.
request_quarantine::reports
request_quarantine::tell(request_fingerprint request, const suspect& entry,
                         std::size_t events_before, bool own_news,
                         time_point now) {
    const bool suspected =
        std::max(events_before, count_events(entry.losses)) >=
        losses_to_suspect;
    const bool relays = suspected && peers_.size() > all_peers_limit;
    if (!own_news && !relays) {
        return {};
    }
    const auto report = to_report(request, entry, now);
    auto targets = peers_;
    if (!suspected) {
        std::erase_if(targets, [&](const std::string& peer) {
            return !is_keeper(request, peer);
        });
    } else if (relays) {
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
    reports out;
    for (auto& peer : targets) {
        out.push_back({std::move(peer), report});
    }
    return out;
}

} // namespace lacewingbeam
