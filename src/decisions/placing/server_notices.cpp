#include "lacewingbeam/server_notices.hpp"

#include <algorithm>

namespace lacewingbeam {

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

bool server_notices::on_leaving(std::string_view server,
                                server_fingerprint run) {
    auto& known = notice_of(server, run);
    const bool is_news = !known.leaving;
    known.leaving = true;
    return is_news;
}

bool server_notices::on_pause(std::string_view server, server_fingerprint run,
                              time_point until, time_point now) {
    auto& known = notice_of(server, run);
    const bool is_news = known.paused_until <= now;
    known.paused_until = std::max(known.paused_until, until);
    return is_news;
}

void server_notices::forget(std::string_view server) {
    const auto found = notices_.find(server);
    if (found != notices_.end()) {
        notices_.erase(found);
    }
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
