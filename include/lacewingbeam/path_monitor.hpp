#ifndef LACEWINGBEAM_PATH_MONITOR_HPP
#define LACEWINGBEAM_PATH_MONITOR_HPP

#include "core.hpp"

#include <optional>
#include <set>
#include <string>

// Tells the failure of an instance's own network path from that of backend
// servers.
namespace lacewingbeam {

// Servers fail one at a time, or their peers respond meanwhile. If several are
// silent one after the other and none responds, the path to them is lost.
class path_monitor {
public:
    // `silent_servers` is the number of silent servers that are needed; fewer
    // if there are fewer in all.
    explicit path_monitor(std::size_t silent_servers)
        : needed_(silent_servers) {}

    // A server responded, refusals included. Returns true if the path was lost
    // until now.
    bool on_response();

    // A server did not respond as soon as usual. Returns true if the path must
    // be checked: several servers are in doubt.
    bool on_doubt(const std::string& server);

    // A server could not be reached, or did not respond to a check. Returns
    // true if the path is lost from now on. `servers` is the number of servers
    // that exist.
    bool on_silent(const std::string& server, std::size_t servers,
                   time_point now);

    bool is_lost() const { return lost_at_.has_value(); }
    bool is_doubted() const;
    bool is_silent(const std::string& server) const {
        return silent_.contains(server);
    }
    std::size_t silent_count() const { return silent_.size(); }

    // Returns when the path was lost, or nullopt.
    std::optional<time_point> lost_at() const { return lost_at_; }

private:
    std::size_t needed_;
    std::set<std::string> doubted_;
    std::set<std::string> silent_;
    time_point silent_since_;
    std::optional<time_point> lost_at_;
};

} // namespace lacewingbeam

#endif
