#ifndef LACEWINGBEAM_DIRECTORY_FOLLOWER_HPP
#define LACEWINGBEAM_DIRECTORY_FOLLOWER_HPP

#include "core.hpp"
#include "directory.hpp"
#include "freshness.hpp"
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

// Keeps a directory up to date. A few instances, the readers, poll the metadata
// store and send updates to the others, which read the store themselves when
// updates stop arriving.
namespace lacewingbeam {

// Requests all rows of a table from the store.
struct read_snapshot {
    store_table table{};
};

// Requests the rows changed after a revision (long poll): the store answers at
// once if there are any, and otherwise after `wait`.
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

// A response from the store, converted to raw rows. Its era is that of
// answered_at.
struct store_page {
    store_table table{};
    bool snapshot = false;
    std::uint64_t revision = 0; // includes every change up to this revision
    std::vector<raw_row> rows;
    store_time answered_at{}; // no later change is included for certain
};

enum class store_failure {
    unreachable,       // refused, failed or timed out
    history_compacted, // the requested changes are no longer available
};

// Settings for reading the store. They can be changed at run time.
struct reading_options {
    // Time that a reader waits after a read. Long polls follow at once.
    duration read_pause = std::chrono::milliseconds(550);

    // Number of instances that read the store in normal operation.
    std::size_t readers = 1;

    // Time without updates after which an instance reads the store itself.
    duration silence = std::chrono::milliseconds(1250);

    // Age above which routes no longer decide requests, unless the store
    // answers no instance.
    duration max_routes_age = std::chrono::milliseconds(2000);

    // Time after an outage of the store for which removals are deferred.
    duration return_hold = std::chrono::milliseconds(2200);

    // Time after a restore of the store for which servers' rows that are newer
    // than its copy are kept, unless they are written again.
    duration restored_copy_distrust = std::chrono::seconds(10);
};

struct follower_options {
    reading_options reading;
    // A poll that ends without changes confirms the routes, so this is well
    // below max_routes_age.
    duration long_poll_timeout = std::chrono::milliseconds(500);

    // Time for which a starting instance waits for an answer from its seeds
    // before it reads the store itself.
    duration seed_patience = std::chrono::milliseconds(30);

    std::size_t fan_out = 6; // peers to which each instance relays an update
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

    // Process the store's response to a read.
    actions on_page(const store_page& page, time_point now);
    actions on_failed(store_table table, store_failure failure, time_point now);

    // Processes the era that a response of the store states, failures included.
    // A later one than before shows that the store was restored from a copy.
    void on_era(std::uint64_t era, time_point now);
    std::uint64_t era() const { return era_; }

    // Returns the number of the routes that the store showed in its last read,
    // if it is lower than that of the routes held, and 0 otherwise.
    std::uint64_t outdated_store_routes() const {
        return store_routes_outdated_ ? store_routes_ : 0;
    }

    actions on_message(const std::string& from, const peer_message& message,
                       time_point now);

    // Does all work that is due. Call it again at next_due().
    actions on_tick(time_point now);
    time_point next_due() const;

    // Notifies the peers that this instance is leaving.
    actions begin_stop(time_point now);

    // Returns what changed in the directory since the last call.
    directory::change take_changes();

    const directory& view() const { return directory_; }
    const membership& members() const { return members_; }

    // Returns the number of active instances, including this one. During peer
    // discovery after the start, it is at least assumed_instances_at_start.
    std::size_t estimated_instance_count(time_point now) const;

    // Returns the number of instances that may use shares of a limit which must
    // hold at any moment, including this one and those that may be running
    // unseen. During peer discovery, it is at least assumed_instances_at_start.
    std::size_t sharing_instance_count(time_point now) const;

    // Returns true once heartbeats of most peers have had the time to arrive.
    bool knows_peers(time_point now) const {
        return now - started_at_ >= peer_discovery_period;
    }

    // Returns the time since the store was last read by this instance or by a
    // peer that sent an update, or nullopt before the first read.
    std::optional<duration> age(time_point now) const;

    // Returns the time since the routes held were last known to be the newest,
    // or nullopt if they never were.
    std::optional<duration> routes_age(time_point now) const;

    // Returns what brought the last rows: the address of a peer, "peer" if the
    // address is unknown, or "store".
    const std::string& changed_by() const { return changed_by_; }

    // Returns the rank of this instance in the order in which active instances
    // become readers of the store.
    std::size_t reader_rank(time_point now) const;

    // Returns true if this instance currently reads the store.
    bool is_reading() const { return reading_; }

    // The number of instances assumed until the peers are known. It exceeds the
    // number in one failure domain of current installations, so that a new
    // instance does not use up a shared budget alone.
    static constexpr std::size_t assumed_instances_at_start = 16;

    // The time after start within which heartbeats of most peers have arrived.
    static constexpr duration peer_discovery_period =
        std::chrono::milliseconds(2500);

private:
    // The interval between requests that include large rows, whose transfer
    // takes long on slow links.
    static constexpr duration full_request_interval =
        std::chrono::milliseconds(1000);

    struct table_state {
        std::optional<std::uint64_t> position;
        bool read_in_flight = false;
        time_point next_read;
        std::optional<time_point> last_success_at;
        std::optional<time_point> failing_since;
        std::optional<time_point> last_failure_at;
        std::optional<time_point> recovered_at; // end of the last outage
        unsigned failures = 0;
    };

    struct deferred_removal {
        raw_row row;
        time_point due;
    };

    // An update received from a peer whose rows are not all stored yet.
    struct pending_update {
        table_rows rows;
        std::string from;
        time_point at;
    };

    table_state& state_of(store_table table);
    const table_state& state_of(store_table table) const;
    bool is_store_unavailable(time_point now) const;
    void update_routes_validity(time_point now);
    bool is_in_outage(const table_state& state, time_point now) const;
    bool should_read(time_point now) const;
    bool waits_for_other_table(store_table table) const;
    duration retry_delay(const table_state& state, time_point now) const;
    void apply_update(const table_rows& rows, time_point now);
    void schedule_direct_read(time_point now);
    bool store_reads_allowed(time_point now) const;
    std::vector<std::string> pick_relay_targets(const incarnation& origin,
                                                time_point now);
    void relay(table_rows rows, time_point now, actions& out);
    bool is_new_update(const table_rows& rows);
    void mark_in_sync(const table_rows& rows, time_point now, actions& out);
    store_version read_version() const;
    void request_from_seeds(time_point now, actions& out);
    void request_rows(const std::string& peer, bool include_large_rows,
                      time_point now, actions& out);
    void start_read(store_table table, time_point now, actions& out);
    std::vector<raw_row> drop_unchanged(std::vector<raw_row> rows) const;
    void complete_direct_read(time_point now, actions& out);
    void add_missing_tombstones(const store_page& page,
                                std::vector<raw_row>& rows) const;
    std::vector<raw_row> to_rows_of_era(const store_page& page) const;
    void note_store_routes(const store_page& page);
    void end_copy_distrust(time_point now);
    bool lacks_newest_routes(time_point now) const;
    void request_newer_routes(const std::string& peer, time_point now,
                              actions& out);
    void defer_removals(const table_state& state, std::vector<raw_row>& rows,
                        time_point now);
    void apply_deferred_removals(time_point now, actions& out);
    void apply(std::span<const raw_row> rows, time_point now);
    void publish_update(std::vector<raw_row> rows, time_point now,
                        actions& out);
    bool should_answer(const std::string& from, const table_request& request,
                       time_point now);
    void answer_request(const std::string& from, const table_request& request,
                        time_point now, actions& out);
    void on_table_rows(const std::string& from, const table_rows& rows,
                       time_point now, actions& out);
    void send_heartbeats(time_point now, actions& out);
    void add_route_changes(table_rows& message) const;
    void omit_known_routes(table_rows& answer,
                           std::uint64_t peer_version) const;
    void set_as_of(table_rows& message) const;
    void note_peer_routes(std::uint64_t version, store_time as_of,
                          time_point now);
    std::optional<time_point> own_reads_at() const {
        return freshness_.to_local(freshness_.own_reads_as_of());
    }

    follower_options options_;
    directory directory_;
    freshness_tracker freshness_;
    std::string changed_by_;
    membership members_;
    random_engine engine_;
    time_point started_at_;
    std::array<table_state, store_table_count> tables_;
    std::map<std::string, deferred_removal> deferred_removals_;
    directory::change changes_;
    std::optional<time_point> peer_read_at_; // latest store read by a peer
    time_point next_request_;
    time_point next_heartbeat_;
    std::uint64_t heartbeat_sequence_ = 0;
    std::uint64_t request_number_ = 0;
    std::map<incarnation, std::uint64_t> last_update_by_origin_;
    std::optional<pending_update> pending_update_;
    // A direct read fetches routes that are too large for peer messages.
    std::optional<time_point> direct_read_due_;
    bool direct_read_in_flight_ = false;
    // When the whole directory was last sent, by peer address.
    std::map<std::string, time_point> whole_answers_;
    std::uint64_t update_number_ = 0; // of the last update published
    // Every change up to this version is stored.
    store_version complete_version_;
    std::uint64_t era_ = 0; // latest known era of the store
    // Rows of the store may be those of an old copy until then.
    std::optional<time_point> copy_distrusted_until_;
    // Routes that the store showed in this era; 0 before the first read.
    std::uint64_t store_routes_ = 0;
    bool store_routes_outdated_ = false;
    // Newest routes that a peer was last known to hold, and when it told so.
    std::uint64_t newest_peer_routes_ = 0;
    time_point newest_routes_told_at_;
    std::optional<time_point> behind_since_;
    std::vector<std::string> seeds_;
    time_point next_seed_request_;
    time_point startup_read_at_; // may read the store from this time on
    bool reading_ = false;
    bool leaving_ = false;
};

} // namespace lacewingbeam

#endif
