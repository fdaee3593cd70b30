#ifndef LACEWINGBEAM_MEMBERSHIP_HPP
#define LACEWINGBEAM_MEMBERSHIP_HPP

#include "core.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

// Which instances are alive, from heartbeats, settings and the platform's
// lagging list.
namespace lacewingbeam {

enum class member_state { alive, leaving, suspected };

// An instance as its peers know it.
struct member {
    incarnation id;
    std::string peer_address;   // IP:port of the peer exchange
    std::string caller_address; // IP:port for callers and forwarded calls
    std::string admin_address;  // IP:port of the admin API
    std::string failure_domain;
    member_state state = member_state::alive;
    duration age{}; // time since it was last heard of
};

struct membership_options {
    duration suspect_after = std::chrono::seconds(3);
    duration gone_after = std::chrono::seconds(15);
    duration heartbeat_interval = std::chrono::milliseconds(500);
    std::size_t fan_out = 4;     // members that get a heartbeat, at least
    std::size_t max_fan_out = 6; // at most
};

class membership {
public:
    membership(member own, membership_options options);

    // Addresses to contact while no instance there is known.
    void set_seeds(std::span<const std::string> peer_addresses);

    // The platform's list; lagging, so it only adds addresses to contact.
    void set_discovered(std::span<const std::string> peer_addresses);

    // A peer's own heartbeat. False if it is older than one already seen.
    bool on_heartbeat(const member& sender, std::uint64_t sequence,
                      time_point now);

    // What a peer says of others. An unknown member becomes contactable, but
    // is not believed alive; a known one was heard of when the peer heard it.
    void on_gossip(std::span<const member> members, time_point now);

    // Drops members not heard of for long.
    void expire(time_point now);

    // Where to send this round's heartbeats: members in turn, such that each
    // is reached twice within suspect_after while max_fan_out allows it, and
    // a few addresses where nobody is known yet.
    std::vector<std::string> heartbeat_targets(time_point now);

    // A few random members to tell peers about.
    std::vector<member> sample(std::size_t limit, random_engine& engine,
                               time_point now) const;

    // The member with that incarnation, unless it is gone; one known only by
    // hearsay shows as suspected.
    std::optional<member> find(const incarnation& id, time_point now) const;

    std::vector<member> members(time_point now) const;

    // Instances that share work now: own one, and members that are neither
    // leaving nor suspected.
    std::size_t active_count(time_point now) const;

    // Active instances of this instance's failure domain, and its position
    // among them in order of incarnation.
    std::size_t domain_count(time_point now) const;
    std::size_t domain_rank(time_point now) const;

    // Position of this instance among the active ones, in order of
    // incarnation.
    std::size_t own_rank(time_point now) const;

    // True if at most half of the instances known, this one included, were
    // heard of lately: the rest may be working on without this part.
    bool is_partitioned(time_point now) const;

    const member& own() const { return own_; }
    void set_leaving() { own_.state = member_state::leaving; }

private:
    struct record {
        member info;
        std::uint64_t sequence = 0;
        time_point last_heard_at;
    };

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
    std::size_t next_contact_ = 0;
    incarnation last_target_;
};

} // namespace lacewingbeam

#endif
