#ifndef LACEWINGBEAM_SERVER_LIMITS_HPP
#define LACEWINGBEAM_SERVER_LIMITS_HPP

#include "budget.hpp"
#include "core.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Limits that backend servers in need name for the requests per second that
// they accept from all instances together.
namespace lacewingbeam {

// Each instance decides alone whether it may send. A few instances, chosen by
// hashing so that all agree, share a server's limit evenly. The others send
// single requests at long intervals, to find out whether the limit still holds.
class server_limits {
public:
    explicit server_limits(std::uint64_t seed) : engine_(seed) {}

    // Sets the peers with which limits are shared, by their addresses. Until
    // peers are known, no share of a limit is used.
    void set_instances(std::string own, std::vector<std::string> peers);

    // A response of the server named a limit. Returns true if it was not known.
    bool on_named(std::string_view server, double per_second, time_point now);

    // A response of the server named none. Returns true if one was known.
    bool on_lifted(std::string_view server);

    // The server is gone.
    void forget(std::string_view server);

    // Returns true if a request may be sent to the server.
    bool may_send(std::string_view server, time_point now);

    // A request was sent to the server.
    void on_sent(std::string_view server, time_point now);

private:
    struct entry {
        double per_second = 0;
        token_bucket share;
        time_point next_trial;
        std::size_t rank = 0; // of this instance, among those that share
        std::uint64_t ranked_in_view = 0;
    };

    std::size_t sharers(double per_second) const;
    std::size_t rank_for(std::string_view server) const;
    double share_rate(std::string_view server, entry& limit) const;
    time_point draw_trial_time(double per_second, time_point now);

    random_engine engine_;
    std::string own_;
    std::vector<std::string> peers_;
    std::uint64_t view_ = 0; // incremented when the instances change
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace lacewingbeam

#endif
