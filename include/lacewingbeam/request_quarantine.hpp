#ifndef LACEWINGBEAM_REQUEST_QUARANTINE_HPP
#define LACEWINGBEAM_REQUEST_QUARANTINE_HPP

#include "core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Finds requests that crash the backend servers that run them, and refuses them
// before they reach further ones. A caller sends such a request again with
// another id, to any instance, so instances tell each other what they saw.
namespace lacewingbeam {

// Hash of a request's method, host, target and body, which is the same on all
// instances.
using request_fingerprint = std::uint64_t;

// Identifies one run of a backend server's process.
using server_fingerprint = std::uint64_t;

// A server closed the connection before it responded.
struct lost_attempt {
    server_fingerprint server = 0;
    duration age{};
    // The server was alive afterwards, or the request was completed by another
    // one. A refuted loss remains known, so that peers learn of it.
    bool refuted = false;
};

// What is known against a request.
struct suspect_report {
    request_fingerprint request = 0;
    std::vector<lost_attempt> losses;
};

class request_quarantine {
public:
    // Losses after which a request is refused. Losses at almost the same time
    // count once, since servers that fail together do not accuse the requests
    // that they run.
    static constexpr std::size_t losses_to_refuse = 3;

    // Losses from which on a request is not sent again by the instance itself,
    // and all instances are told of it.
    static constexpr std::size_t losses_to_suspect = 2;

    // Servers lost at almost the same time from which on a request is suspected
    // as well, and refused with the next loss: it may have been sent to all of
    // them at once.
    static constexpr std::size_t servers_to_suspect = 3;

    struct outgoing_report {
        std::string peer;
        suspect_report report;
    };
    using reports = std::vector<outgoing_report>;

    // Sets the addresses of this instance and of its peers.
    void set_instances(std::string own, std::vector<std::string> peers);

    // The functions below return what to tell peers.
    reports on_lost(request_fingerprint request, server_fingerprint server,
                    time_point now);
    reports on_completed(request_fingerprint request, time_point now);
    reports on_report(const std::string& from, const suspect_report& report,
                      time_point now);

    // The request was completed. Losses soon afterwards do not count.
    void note_completed(request_fingerprint request, time_point now);

    // A suspected request is sent by a few instances only, one attempt at a
    // time each, until it is completed or refused. may_send_suspect tells
    // whether this instance is one of them.
    bool is_suspected(request_fingerprint request, time_point now) const;
    bool may_send_suspect(request_fingerprint request) const;

    // Returns true if responses of servers may still refute a loss.
    bool awaits_signs_of_life(time_point now) const;

    // A server has responded to what was sent to it at `sent_at`.
    reports on_server_alive(server_fingerprint server, time_point sent_at,
                            time_point now);

    // A peer has started and knows nothing.
    reports on_peer_started(const std::string& peer, time_point now) const;

    // Returns for how long the request is refused, or nullopt if it is not.
    // Afterwards it is tried again; a further loss doubles the time.
    std::optional<duration> refused_for(request_fingerprint request,
                                        time_point now) const;

    // Returns the number of losses that are not refuted.
    std::size_t losses(request_fingerprint request) const;

    // Returns the requests that are refused.
    std::vector<request_fingerprint> refused(time_point now) const;

    std::size_t size() const { return suspects_.size(); }

private:
    struct loss {
        time_point at;
        bool refuted = false;
    };
    using loss_map = std::map<server_fingerprint, loss>;

    struct suspect {
        loss_map losses;
        time_point changed_at;
    };

    enum class level { known, suspected, refused };

    static std::vector<server_fingerprint> events_of(const loss_map& losses);
    static std::size_t count_events(const loss_map& losses);
    static std::size_t count_servers(const loss_map& losses);
    static bool is_suspicious(const loss_map& losses);
    static bool must_be_refused(const loss_map& losses);
    static time_point last_loss(const loss_map& losses);
    bool completed_lately(request_fingerprint request, time_point now) const;
    static server_fingerprint least_telling(const loss_map& losses);
    static time_point refused_until(const suspect& entry);
    static level level_of(const suspect& entry, time_point now);
    bool add_loss(suspect& entry, server_fingerprint server, time_point at,
                  bool refuted);
    suspect& suspect_of(request_fingerprint request, time_point now);
    bool is_explained(request_fingerprint request, server_fingerprint server,
                      time_point now) const;
    void excuse_others(request_fingerprint request);
    void make_room(time_point now);
    std::size_t rank_for(request_fingerprint request,
                         const std::string& address) const;
    bool is_keeper(request_fingerprint request,
                   const std::string& address) const;
    static suspect_report to_report(request_fingerprint request,
                                    const suspect& entry, time_point now);
    reports tell(request_fingerprint request, level before, bool own_news,
                 time_point now);

    std::string own_;
    std::vector<std::string> peers_;
    std::map<request_fingerprint, suspect> suspects_;
    time_point last_loss_at_;

    // Completed requests; each place keeps the last one that falls into it.
    struct completion {
        request_fingerprint request = 0;
        time_point at;
    };
    static constexpr std::size_t remembered_completions = 2048;
    std::vector<completion> completions_ =
        std::vector<completion>(remembered_completions);
};

} // namespace lacewingbeam

#endif
