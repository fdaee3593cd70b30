#include "lacewingbeam/path_monitor.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Responses that are on their way have this long to arrive.
constexpr duration min_silence = std::chrono::milliseconds(100);

constexpr std::size_t doubted_servers = 2;

// Bounds the memory for servers that come and go without any response.
constexpr std::size_t max_servers = 64;

void insert_bounded(std::set<std::string>& servers, const std::string& server) {
    if (servers.size() < max_servers) {
        servers.insert(server);
    }
}

} // namespace

bool path_monitor::on_response() {
    doubted_.clear();
    silent_.clear();
    const bool was_lost = lost_at_.has_value();
    lost_at_.reset();
    return was_lost;
}

bool path_monitor::on_doubt(const std::string& server) {
    insert_bounded(doubted_, server);
    return is_doubted();
}

bool path_monitor::is_doubted() const {
    return doubted_.size() >= doubted_servers || !silent_.empty();
}

bool path_monitor::on_silent(const std::string& server, std::size_t servers,
                             time_point now) {
    if (silent_.empty()) {
        silent_since_ = now;
    }
    insert_bounded(silent_, server);
    const bool enough = silent_.size() >= std::min(needed_, servers);
    if (lost_at_ || !enough || now - silent_since_ < min_silence) {
        return false;
    }
    lost_at_ = now;
    return true;
}

} // namespace lacewingbeam
