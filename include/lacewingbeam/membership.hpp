#ifndef LACEWINGBEAM_MEMBERSHIP_HPP
#define LACEWINGBEAM_MEMBERSHIP_HPP

#include "core.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

// Tracks which instances are alive, from heartbeats, gossip, configured seeds
// and the platform's instance list.
namespace lacewingbeam {

enum class member_state { alive, leaving, suspected };

// An instance as its peers see it.
struct member {
    incarnation id;
    std::string peer_address;   // IP:port of the peer exchange
    std::string caller_address; // IP:port for callers and forwarded calls
    std::string admin_address;  // IP:port of the admin API
    std::string failure_domain;
    member_state state = member_state::alive;
    duration age{}; // time since the last sign of life
};

struct membership_options {
    duration suspect_after = std::chrono::seconds(3);
    duration gone_after = std::chrono::seconds(15);
    // An instance that fell silent without notice may be running on the other
    // side of a partition. Its shares of common limits stay reserved this long.
    duration share_hold = std::chrono::minutes(5);
    duration heartbeat_interval = std::chrono::milliseconds(500);
    std::size_t fan_out = 4;     // minimum number of heartbeat targets
    std::size_t max_fan_out = 6; // maximum number of heartbeat targets
};

class membership {
public:
    membership(member own, membership_options options);

    // Sets addresses that are contacted as long as no member is known there.
    void set_seeds(std::span<const std::string> peer_addresses);

    // Sets the addresses in the platform's instance list. The list lags behind,
    // so it only adds addresses to contact.
    void set_discovered(std::span<const std::string> peer_addresses);

    // Processes a peer's own heartbeat. Returns false if it is older than one
    // already received.
    bool on_heartbeat(const member& sender, std::uint64_t sequence,
                      time_point now);

    // Processes what a peer reports about other members. An unknown member is
    // contacted but not considered alive until it sends a heartbeat itself. A
    // known member's last sign of life advances to the one the peer reports.
    void on_gossip(std::span<const member> members, time_point now);

    // Removes members without a sign of life for longer than gone_after.
    void expire(time_point now);

    // Returns the addresses for this round's heartbeats: members in rotation,
    // so that each is reached twice within suspect_after as far as max_fan_out
    // allows, and a few addresses where no member is known yet.
    std::vector<std::string> heartbeat_targets(time_point now);

    // Returns up to `limit` randomly chosen members to report to peers.
    std::vector<member> sample(std::size_t limit, random_engine& engine,
                               time_point now) const;

    // Returns the member with that incarnation, or nullopt if it is gone. A
    // member known only from gossip is reported as suspected.
    std::optional<member> find(const incarnation& id, time_point now) const;

    std::vector<member> members(time_point now) const;

    // Returns the number of active instances: this one and all members that are
    // neither leaving nor suspected.
    std::size_t active_count(time_point now) const;

    // Returns the number of instances that may use their shares of common
    // limits: this one and all that gave a sign of life within share_hold, or
    // within gone_after if they were leaving. Not less than a peer has counted
    // within share_hold.
    std::size_t sharing_count(time_point now) const;

    // Returns their addresses without this one's, as far as this instance knows
    // them.
    std::vector<std::string> sharing_addresses(time_point now) const;

    // The same count without what peers have counted; told to them.
    std::size_t own_sharing_count(time_point now) const;

    // A peer told its own_sharing_count.
    void on_sharing_count(std::size_t count, time_point now);

    // Returns the number of active instances in this instance's failure domain,
    // and its rank among them in order of incarnation.
    std::size_t domain_count(time_point now) const;
    std::size_t domain_rank(time_point now) const;

    // Returns the rank of this instance among the active ones in order of
    // incarnation.
    std::size_t own_rank(time_point now) const;

    // Returns true if at most half of the known instances, including this one,
    // gave a sign of life within suspect_after. The others may then be
    // running on the other side of a network partition.
    bool is_partitioned(time_point now) const;

    const member& own() const { return own_; }
    void set_leaving() { own_.state = member_state::leaving; }

private:
    struct record {
        member info;
        std::uint64_t sequence = 0;
        time_point last_heard_at;
    };

    struct sharer {
        time_point last_heard_at;
        bool leaving = false;
    };

    bool is_sharing(const sharer& value, time_point now) const;
    void note_sharer(const member& heard, time_point at);
    member to_member(const record& value, time_point now) const;
    bool is_active(const record& value, time_point now) const;
    bool address_known(const std::string& peer_address) const;
    std::vector<std::string> unknown_addresses() const;
    std::size_t targets_per_round() const;

    member own_;
    membership_options options_;
    std::map<incarnation, record> records_;
    std::vector<std::string> seeds_;
    std::vector<std::string> discovered_;
    std::map<incarnation, record> unconfirmed_;
    // By address, since a process that starts takes over the share of the one
    // before it.
    std::map<std::string, sharer> sharers_;
    std::size_t told_sharers_ = 0; // the largest count of a peer
    time_point sharers_told_at_;
    std::size_t next_contact_ = 0;
    incarnation last_target_;
};

} // namespace lacewingbeam

#endif
