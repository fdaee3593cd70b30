#include "lacewingbeam/server_notices.hpp"

#include <algorithm>
#include <utility>

namespace lacewingbeam {

namespace {

// A server that says it is leaving ends sooner.
constexpr duration leaving_kept = std::chrono::minutes(30);

} // namespace

server_notices::notice& server_notices::notice_of(std::string_view server,
                                                  server_fingerprint run) {
    auto& found = notices_[std::string(server)];
    if (found.run != run) {
        found = {};
        found.run = run;
    }
    return found;
}

const server_notices::notice*
server_notices::find(std::string_view server, server_fingerprint run) const {
    const auto found = notices_.find(server);
    return found == notices_.end() || found->second.run != run ? nullptr
                                                               : &found->second;
}

void server_notices::drop_old(time_point now) {
    std::erase_if(notices_, [&](const auto& item) {
        const auto& known = item.second;
        return now >= known.paused_until &&
               (!known.leaving || now - known.told_at > leaving_kept);
    });
}

bool server_notices::on_leaving(std::string_view server, server_fingerprint run,
                                time_point now) {
    drop_old(now);
    auto& known = notice_of(server, run);
    known.told_at = now;
    return !std::exchange(known.leaving, true);
}

bool server_notices::on_pause(std::string_view server, server_fingerprint run,
                              time_point until, time_point now) {
    drop_old(now);
    auto& known = notice_of(server, run);
    const bool is_news = known.paused_until <= now;
    known.paused_until = std::max(known.paused_until, until);
    return is_news;
}

bool server_notices::has_notice(std::string_view server) const {
    return notices_.find(server) != notices_.end();
}

bool server_notices::may_send(std::string_view server, server_fingerprint run,
                              time_point now) const {
    const auto* known = find(server, run);
    return known == nullptr || (!known->leaving && now >= known->paused_until);
}

std::optional<time_point> server_notices::paused_until(std::string_view server,
                                                       server_fingerprint run,
                                                       time_point now) const {
    const auto* known = find(server, run);
    const bool paused =
        known != nullptr && !known->leaving && now < known->paused_until;
    return paused ? std::optional(known->paused_until) : std::nullopt;
}

} // namespace lacewingbeam
