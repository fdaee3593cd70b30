#include "lacewingbeam/directory_follower.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

// How instances propagate what was read from the store to each other.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// The interval at which a starting instance sends requests to its seeds.
constexpr duration seed_request_interval = milliseconds(40);

// The time for which a starting instance asks only the seeds in its own failure
// domain for the directory.
constexpr duration own_domain_patience = milliseconds(250);

constexpr duration row_request_interval = milliseconds(300);

// The interval at which the whole directory is sent to the same peer.
constexpr duration whole_answer_interval = milliseconds(500);

// Up to this number of peers, the reader sends updates to all of them directly.
constexpr std::size_t max_direct_peers = 24;

// Rows up to this size, which fit into a datagram, are relayed with an update.
constexpr std::size_t max_relayed_bytes = 900;

// Limits the number of update origins tracked, all of which are live instances.
constexpr std::size_t max_tracked_origins = 4096;

// Limit for the latest changes of the routes in each update. Leaves room for a
// few changed servers in a relayed datagram.
constexpr std::size_t max_change_bytes = 600;

constexpr std::size_t max_message_rows = 4000;

// Each instance reads larger rows from the store itself, with one read. If
// peers sent them, they would occupy the slowest links (10 Mbit/s) for most of
// the time within which an edit must take effect, and cross failure domains.
constexpr std::size_t max_peer_row_bytes = 100000;

// Direct reads of the instances are spread over this time.
constexpr duration direct_read_jitter = milliseconds(150);

// After a failed read of the store, an instance requests large rows from its
// peers instead for this long.
constexpr duration read_failure_backoff = milliseconds(3000);

std::size_t size_of(const table_rows& message) {
    std::size_t size = 0;
    for (const auto& row : message.rows) {
        size += size_of(row);
    }
    for (const auto& delta : message.deltas) {
        size += size_of(delta);
    }
    return size;
}

// Removes rows that are too large for peer messages.
void omit_large_rows(table_rows& message) {
    std::erase_if(message.rows, [&](const raw_row& row) {
        const auto size = size_of(row);
        message.omitted_bytes += size > max_peer_row_bytes ? size : 0;
        return size > max_peer_row_bytes;
    });
}

} // namespace

// Publishes rows that have been applied. The latest edits of the routes are
// sent as changes with every update, so that peers that lost an update, or get
// two in the wrong order, need not request the whole row.
void directory_follower::publish_update(std::vector<raw_row> rows,
                                        time_point now, actions& out) {
    table_rows message;
    message.rows = std::move(rows);
    add_route_changes(message);
    omit_large_rows(message);
    message.digest = directory_.digest();
    message.origin = options_.own.id;
    message.request_number = ++update_number_;
    message.table_version = complete_version_ = read_version();
    set_as_of(message);
    relay(std::move(message), now, out);
}

// Replaces the row of the routes in an update by its latest changes, unless
// these are large.
void directory_follower::add_route_changes(table_rows& message) const {
    auto changes = directory_.latest_route_changes(max_change_bytes);
    if (!changes) {
        return;
    }
    std::erase_if(message.rows, [](const raw_row& row) {
        return row.key == routing_row_key;
    });
    message.deltas.push_back(std::move(*changes));
}

// Returns the version up to which every change has been read.
store_version directory_follower::read_version() const {
    auto version = complete_version_;
    if (tables_[0].position && tables_[1].position) {
        const auto revision =
            std::min(*tables_[0].position, *tables_[1].position);
        version = std::max(version, store_version(era_, revision));
    }
    return version;
}

// Sends an update to a few peers, or to all of them in small installations.
void directory_follower::relay(table_rows rows, time_point now, actions& out) {
    const auto targets = pick_relay_targets(*rows.origin, now);
    const bool relayed = *rows.origin != options_.own.id;
    if (relayed && size_of(rows) > max_relayed_bytes) {
        rows.rows.clear(); // peers that lack them request them
        rows.deltas.clear();
    }
    for (const auto& address : targets) {
        out.emplace_back(send_to_peer{address, rows});
    }
}

// Picks random peers. With fan_out of them per instance, an update reaches all
// but about one in several hundred instances, which get the next one.
std::vector<std::string>
directory_follower::pick_relay_targets(const incarnation& origin,
                                       time_point now) {
    std::vector<std::string> addresses;
    for (const auto& peer : members_.members(now)) {
        if (peer.state != member_state::suspected && peer.id != origin) {
            addresses.push_back(peer.peer_address);
        }
    }
    const bool is_origin = origin == options_.own.id;
    if (addresses.size() <= max_direct_peers) {
        return is_origin ? addresses : std::vector<std::string>{};
    }
    const auto count = std::min(
        addresses.size(), is_origin ? 2 * options_.fan_out : options_.fan_out);
    for (std::size_t i = 0; i < count; ++i) {
        boost::random::uniform_int_distribution<std::size_t> draw(
            i, addresses.size() - 1);
        std::swap(addresses[i], addresses[draw(engine_)]);
    }
    addresses.resize(count);
    return addresses;
}

directory_follower::actions
directory_follower::on_message(const std::string& from,
                               const peer_message& message, time_point now) {
    actions out;
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        const bool known = members_.find(beat->sender.id, now).has_value();
        members_.on_heartbeat(beat->sender, beat->sequence, now);
        members_.on_gossip(beat->members, now);
        members_.on_sharing_count(beat->sharing_instances, now);
        on_era(beat->routes_as_of.era, now);
        note_peer_routes(beat->table_version, beat->routes_as_of, now);
        if (beat->table_version > directory_.routes_version()) {
            request_newer_routes(beat->sender.peer_address, now, out);
        }
        update_routes_validity(now);
        if (!known && now - started_at_ < peer_discovery_period) {
            next_heartbeat_ = now; // helps starting peers find members
        }
    } else if (const auto* rows = std::get_if<table_rows>(&message)) {
        changed_by_ = from.empty() ? "peer" : from;
        on_era(std::max(rows->as_of.era, rows->routes_as_of.era), now);
        on_table_rows(from, *rows, now, out);
        note_peer_routes(rows->routes_version, rows->routes_as_of, now);
        update_routes_validity(now);
    } else if (const auto* request = std::get_if<table_request>(&message)) {
        answer_request(from, *request, now, out);
    }
    return out;
}

// A starting instance requests the directory from its seeds.
void directory_follower::request_from_seeds(time_point now, actions& out) {
    const bool needed = directory_.routing() == nullptr;
    if (!needed || now < next_seed_request_) {
        return;
    }
    // Routes too large for peer messages are read from the store. If the store
    // cannot be read, the seeds are asked for them.
    const bool include_large_rows = !store_reads_allowed(now);
    next_seed_request_ = now + (include_large_rows ? full_request_interval
                                                   : seed_request_interval);
    // The whole directory is sent within the failure domain if possible.
    const bool ask_all = now - started_at_ > own_domain_patience;
    table_request request{{},
                          0,
                          include_large_rows,
                          0,
                          ask_all ? "" : options_.own.failure_domain};
    for (const auto& seed : seeds_) {
        if (seed != options_.own.peer_address) {
            request.number = ++request_number_;
            out.emplace_back(send_to_peer{seed, request});
        }
    }
}

// Answers over TCP are not lost, so a peer that repeats a request for the whole
// directory has not received the answer yet.
bool directory_follower::should_answer(const std::string& from,
                                       const table_request& request,
                                       time_point now) {
    const bool other_domain =
        !request.failure_domain.empty() &&
        request.failure_domain != options_.own.failure_domain;
    if (directory_.routing() == nullptr || other_domain) {
        return false;
    }
    if (request.have_version != store_version()) {
        return true;
    }
    std::erase_if(whole_answers_, [&](const auto& item) {
        return now - item.second > whole_answer_interval;
    });
    return whole_answers_.try_emplace(from, now).second;
}

void directory_follower::answer_request(const std::string& from,
                                        const table_request& request,
                                        time_point now, actions& out) {
    if (!should_answer(from, request, now)) {
        return;
    }
    table_rows answer;
    answer.rows = directory_.rows_after(request.have_version);
    omit_known_routes(answer, request.routes_version);
    if (!request.include_large_rows) {
        omit_large_rows(answer);
    }
    answer.digest = directory_.digest();
    answer.table_version = complete_version_;
    set_as_of(answer);
    out.emplace_back(send_to_peer{from, std::move(answer)});
}

void directory_follower::on_table_rows(const std::string& from,
                                       const table_rows& rows, time_point now,
                                       actions& out) {
    if (rows.rows.size() > max_message_rows) {
        changes_.rejected.push_back(
            "table message from " + from + " with " +
            std::to_string(rows.rows.size()) +
            " rows exceeds the row limit and was dropped");
        return;
    }
    const bool is_new = is_new_update(rows);
    apply_update(rows, now);
    const auto age = freshness_.age(rows.as_of, now);
    const bool earlier_era = rows.as_of.era < era_;
    if (earlier_era || (age && *age > options_.reading.silence)) {
        return; // the sender's data is outdated
    }
    if (rows.digest == directory_.digest()) {
        mark_in_sync(rows, now, out);
        if (is_new) {
            relay(rows, now, out);
        }
        return;
    }
    const bool reads_store = rows.omitted_bytes > 0 && store_reads_allowed(now);
    if (reads_store) {
        schedule_direct_read(now);
    }
    if (!is_new) {
        return;
    }
    pending_update_ = {rows, from, now};
    if (reads_store) {
        relay(rows, now, out); // peers read the omitted rows themselves, too
    } else if (now >= next_request_) {
        // The origin may hold rows that the sender lacks, too.
        const auto origin = members_.find(*rows.origin, now);
        const bool ask_origin = origin && request_number_ % 2 == 1;
        request_rows(ask_origin ? origin->peer_address : from,
                     !store_reads_allowed(now), now, out);
    }
}

// Leaves the routes out of an answer if the peer has them, and sends those that
// changed if it has an earlier version.
void directory_follower::omit_known_routes(table_rows& answer,
                                           std::uint64_t peer_version) const {
    const bool known = peer_version >= directory_.routes_version();
    auto changes = directory_.route_changes_since(peer_version);
    if (!known && !changes) {
        return;
    }
    std::erase_if(answer.rows, [](const raw_row& row) {
        return row.key == routing_row_key;
    });
    if (changes) {
        answer.deltas.push_back(std::move(*changes));
    }
}

// Tells peers which rows this instance holds, and how new they are.
void directory_follower::set_as_of(table_rows& message) const {
    message.as_of = freshness_.own_reads_as_of().value_or(store_time());
    if (const auto as_of = freshness_.routes_as_of()) {
        message.routes_version = directory_.routes_version();
        message.routes_as_of = *as_of;
    }
}

// Handles a peer's statement that routes of this version were the newest at
// `as_of`.
void directory_follower::note_peer_routes(std::uint64_t version,
                                          store_time as_of, time_point now) {
    if (version == 0) {
        return;
    }
    const bool held = directory_.routes_version() >= version;
    freshness_.on_peer_routes(held, as_of, now);
    if (!held && version >= newest_peer_routes_) {
        newest_peer_routes_ = version;
        newest_routes_told_at_ = now;
    }
}

// Applies the rows and deltas of a peer's update.
void directory_follower::apply_update(const table_rows& rows, time_point now) {
    apply(rows.rows, now);
    for (const auto& row : rows.rows) {
        deferred_removals_.erase(row.key);
    }
    for (const auto& delta : rows.deltas) {
        const auto* stored = directory_.find_row(delta.key);
        if (stored != nullptr && delta.applies_to(stored->version.revision)) {
            const std::vector<raw_row> updated{apply_delta(*stored, delta)};
            apply(updated, now);
        }
    }
}

// Returns true unless a read of the routes failed recently.
bool directory_follower::store_reads_allowed(time_point now) const {
    const auto& routing = state_of(store_table::routing);
    return !routing.last_failure_at ||
           now - *routing.last_failure_at > read_failure_backoff;
}

void directory_follower::schedule_direct_read(time_point now) {
    if (reading_ || direct_read_due_) {
        return;
    }
    boost::random::uniform_int_distribution<duration::rep> spread(
        0, direct_read_jitter.count());
    direct_read_due_ = now + duration(spread(engine_));
}

// Returns true for the first copy of an origin's update.
bool directory_follower::is_new_update(const table_rows& rows) {
    if (!rows.origin || *rows.origin == options_.own.id) {
        return false;
    }
    auto& last = last_update_by_origin_[*rows.origin];
    const bool is_new = rows.request_number > last;
    last = std::max(last, rows.request_number);
    if (last_update_by_origin_.size() > max_tracked_origins) {
        last_update_by_origin_.clear();
    }
    return is_new;
}

// Called when the directory equals the sender's.
void directory_follower::mark_in_sync(const table_rows& rows, time_point now,
                                      actions& out) {
    peer_read_at_ = std::max(peer_read_at_, freshness_.to_local(rows.as_of));
    complete_version_ = std::max(complete_version_, rows.table_version);
    const bool may_relay =
        pending_update_ && pending_update_->rows.omitted_bytes == 0;
    if (may_relay && pending_update_->rows.digest == directory_.digest()) {
        relay(pending_update_->rows, now, out);
    }
    pending_update_.reset();
}

// Requests rows that a peer holds and this instance lacks.
void directory_follower::request_rows(const std::string& peer,
                                      bool include_large_rows, time_point now,
                                      actions& out) {
    next_request_ = now + (include_large_rows ? full_request_interval
                                              : row_request_interval);
    ++request_number_;
    // A deferred removal has a lower version than later changes, so every
    // third request is for all rows.
    const auto have_version =
        request_number_ % 3 == 0 ? store_version() : complete_version_;
    out.emplace_back(send_to_peer{
        peer, table_request{have_version, request_number_, include_large_rows,
                            directory_.routes_version()}});
}

} // namespace lacewingbeam
