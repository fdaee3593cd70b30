#ifndef LACEWINGBEAM_DIRECTORY_FOLLOWER_HPP
#define LACEWINGBEAM_DIRECTORY_FOLLOWER_HPP

#include "core.hpp"
#include "directory.hpp"
#include "membership.hpp"
#include "peer_messages.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

// Keeps a directory up to date: a few instances read the metadata store and
// tell the others, who read it themselves when they hear nothing.
namespace lacewingbeam {

enum class store_table { routing, servers };
inline constexpr std::size_t store_table_count = 2;

// Ask the store for all rows of a table.
struct read_snapshot {
    store_table table{};
};

// Ask the store what changed after a revision; it answers at once if there
// is something, and else after `wait`.
struct read_changes {
    store_table table{};
    std::uint64_t after = 0;
    duration wait{};
};

struct send_to_peer {
    std::string peer_address;
    peer_message message;
};

using follower_action = std::variant<read_snapshot, read_changes, send_to_peer>;

// An answer of the store, in the product's rows.
struct store_page {
    store_table table{};
    bool snapshot = false;
    std::uint64_t revision = 0; // every change up to it is contained
    std::vector<raw_row> rows;
};

enum class store_failure {
    unreachable,       // refused, failed or no answer in time
    history_compacted, // the changes asked for are no longer kept
};

// How the store is read, and by how many. May change while an instance runs.
struct reading_options {
    duration read_pause = std::chrono::milliseconds(550);
    std::size_t readers = 1;
    duration silence = std::chrono::milliseconds(1250);
    duration return_hold = std::chrono::milliseconds(2200);
};

struct follower_options {
    reading_options reading;
    duration long_poll_timeout = std::chrono::milliseconds(2000);
    duration seed_patience = std::chrono::milliseconds(30);
    std::size_t fan_out = 6; // instances that each one tells on
    duration heartbeat_interval = std::chrono::milliseconds(500);
    membership_options members;
    member own;
    std::uint64_t seed = 1;
};

class directory_follower {
public:
    using actions = std::vector<follower_action>;

    directory_follower(follower_options options, time_point now);

    void set_seeds(std::span<const std::string> peer_addresses);

    void reconfigure(const reading_options& options) {
        options_.reading = options;
    }

    // The store answered a read.
    actions on_page(const store_page& page, time_point now);
    actions on_failed(store_table table, store_failure failure, time_point now);

    actions on_message(const std::string& from, const peer_message& message,
                       time_point now);

    // Everything that is due; call it again at next_due().
    actions on_tick(time_point now);
    time_point next_due() const;

    // Tells the peers that this instance is leaving.
    actions begin_stop(time_point now);

    // What changed in the directory since the last call.
    directory::change take_changes();

    const directory& view() const { return directory_; }
    const membership& members() const { return members_; }

    // Instances that share work, this one included. Right after the start,
    // when the peers are not known yet, no less than
    // `assumed_instances_at_start`.
    std::size_t estimated_instance_count(time_point now) const;

    // Time since the store was last read, by this instance or by a peer that
    // told it; nothing before the first time.
    std::optional<duration> age(time_point now) const;

    // Position of this instance in the order in which the active ones are
    // asked to read the store.
    std::size_t reader_rank(time_point now) const;

    // True if this instance reads the store now.
    bool is_reading() const { return reading_; }

    // Instances assumed while the peers are not known yet: more than any
    // installation of today has in one failure domain, so that an instance
    // that has just started does not take the whole of a shared budget.
    static constexpr std::size_t assumed_instances_at_start = 16;

    // Time in which the heartbeats of most peers have come in after a start.
    static constexpr duration peer_discovery_period =
        std::chrono::milliseconds(2500);

private:
    // Pause between two requests for whole large rows, which take their time
    // on thin links.
    static constexpr duration full_request_interval =
        std::chrono::milliseconds(1000);

    struct table_state {
        std::optional<std::uint64_t> position;
        bool read_in_flight = false;
        time_point next_read;
        std::optional<time_point> last_success_at; // the last good answer
        std::optional<time_point> failing_since;
        std::optional<time_point> last_failure_at; // the last time
        std::optional<time_point> recovered_at;    // end of the last outage
        unsigned failures = 0;
    };

    struct deferred_removal {
        raw_row row;
        time_point due;
    };

    // What was told and is not held yet.
    struct pending_update {
        table_rows rows;
        std::string from;
        time_point at;
    };

    table_state& state_of(store_table table);
    const table_state& state_of(store_table table) const;
    bool is_in_outage(const table_state& state, time_point now) const;
    bool should_read(time_point now) const;
    bool waits_for_other_table(store_table table) const;
    duration retry_delay(const table_state& state, time_point now) const;
    void apply_update(const table_rows& rows, time_point now);
    void schedule_direct_read(time_point now);
    bool store_reads_allowed(time_point now) const;
    std::vector<row_delta> compute_deltas(std::span<const raw_row> rows) const;
    std::vector<std::string> pick_relay_targets(const incarnation& origin,
                                                time_point now);
    void relay(table_rows rows, time_point now, actions& out);
    bool is_new_update(const table_rows& rows);
    void mark_in_sync(const table_rows& rows, duration age, time_point now,
                      actions& out);
    std::uint64_t read_revision() const;
    void request_from_seeds(time_point now, actions& out);
    void request_rows(const std::string& from, const table_rows& rows,
                      time_point now, actions& out);
    void start_read(store_table table, actions& out);
    std::vector<raw_row> drop_unchanged(std::vector<raw_row> rows) const;
    void complete_direct_read(time_point now, actions& out);
    void add_missing_tombstones(const store_page& page,
                                std::vector<raw_row>& rows) const;
    void defer_removals(const table_state& state, std::vector<raw_row>& rows,
                        time_point now);
    void apply_deferred_removals(time_point now, actions& out);
    void apply(std::span<const raw_row> rows, time_point now);
    void publish_update(std::vector<raw_row> rows,
                        std::vector<row_delta> deltas, time_point now,
                        actions& out);
    void on_table_rows(const std::string& from, const table_rows& rows,
                       time_point now, actions& out);
    void send_heartbeats(time_point now, actions& out);
    std::optional<time_point> last_store_read_at() const;

    follower_options options_;
    directory directory_;
    membership members_;
    random_engine engine_;
    time_point started_at_;
    std::array<table_state, store_table_count> tables_;
    std::map<std::string, deferred_removal> deferred_removals_;
    directory::change changes_;
    std::optional<time_point> peer_read_at_; // a peer's read, as it told
    time_point next_request_;
    time_point next_heartbeat_;
    std::uint64_t heartbeat_sequence_ = 0;
    std::uint64_t request_number_ = 0;
    std::map<incarnation, std::uint64_t>
        last_update_by_origin_; // last message by origin
    std::optional<pending_update> pending_update_;
    std::optional<time_point>
        direct_read_due_; // of routes too large to be told
    bool direct_read_in_flight_ = false;
    std::uint64_t update_number_ = 0; // messages of our own reads
    std::uint64_t complete_revision_ =
        0; // every change up to this revision is held
    std::vector<std::string> seeds_;
    time_point next_seed_request_;
    time_point startup_read_at_; // reads the store itself from then on
    bool reading_ = false;
    bool leaving_ = false;
};

} // namespace lacewingbeam

#endif
