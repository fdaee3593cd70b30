#include "lacewingbeam/directory_follower.hpp"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <utility>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Shorter failures of the store do not let registrations expire: servers renew
// them every one to two seconds, and they expire after three missed renewals.
constexpr duration min_outage = milliseconds(1500);

// Instances without an answer from their seeds start to read the store at times
// spread over this fraction of seed_patience after it has passed.
constexpr double seed_patience_jitter = 0.5;

// The time for which routes stay in force after each check that finds the store
// unavailable. Checks follow each other at the interval of heartbeats.
constexpr duration outage_validity = milliseconds(1500);

constexpr duration initial_retry_delay = milliseconds(100);
constexpr duration max_retry_delay = milliseconds(800);

// While the store fails for all instances, those with a low reader rank detect
// its recovery and notify the others. Each rank adds this fraction of the retry
// delay, up to max_ranked_retry_delay. That limit is below the 3 s for which
// an instance still counts as disconnected after an outage.
constexpr double retry_delay_per_rank = 0.25;
constexpr duration max_ranked_retry_delay = milliseconds(2200);

// Instances that receive no updates start to read the store one after another.
constexpr duration fallback_delay_per_rank = milliseconds(40);
constexpr duration max_fallback_delay = milliseconds(400);

constexpr std::size_t gossip_members = 6;

} // namespace

directory_follower::directory_follower(follower_options options, time_point now)
    : options_(std::move(options)), members_(options_.own, options_.members),
      engine_(options_.seed), started_at_(now), next_request_(now),
      next_heartbeat_(now), next_seed_request_(now), startup_read_at_(now) {
    for (auto& table : tables_) {
        table.next_read = now;
    }
}

void directory_follower::set_seeds(
    std::span<const std::string> peer_addresses) {
    members_.set_seeds(peer_addresses);
    seeds_.assign(peer_addresses.begin(), peer_addresses.end());
    const bool is_seed = std::find(seeds_.begin(), seeds_.end(),
                                   options_.own.peer_address) != seeds_.end();
    if (is_seed || seeds_.empty()) {
        return;
    }
    boost::random::uniform_real_distribution<double> spread(
        1, 1 + seed_patience_jitter);
    startup_read_at_ =
        started_at_ + duration(static_cast<duration::rep>(
                          spread(engine_) *
                          static_cast<double>(options_.seed_patience.count())));
}

directory_follower::table_state&
directory_follower::state_of(store_table table) {
    return tables_[static_cast<std::size_t>(table)];
}

const directory_follower::table_state&
directory_follower::state_of(store_table table) const {
    return tables_[static_cast<std::size_t>(table)];
}

bool directory_follower::is_in_outage(const table_state& state,
                                      time_point now) const {
    return state.failing_since && now - *state.failing_since > min_outage;
}

std::optional<duration> directory_follower::routes_age(time_point now) const {
    const auto confirmed_at = freshness_.routes_confirmed_at();
    return confirmed_at
               ? std::optional(std::max(duration{}, now - *confirmed_at))
               : std::nullopt;
}

// Returns true if this instance's reads fail and no peer has told of a recent
// one that succeeded.
bool directory_follower::is_store_unavailable(time_point now) const {
    const auto age = freshness_.age(freshness_.store_answered_at(), now);
    const bool answers_others = age && *age <= options_.reading.max_routes_age;
    const bool own_reads_fail = state_of(store_table::routing).failing_since ||
                                state_of(store_table::servers).failing_since;
    return own_reads_fail && !answers_others;
}

// An instance that was told of newer routes, or was not told anything, while
// the store answers others must not decide by routes that may be outdated.
// During an outage of the store, the last known routes stay in force.
void directory_follower::update_routes_validity(time_point now) {
    const auto as_of = freshness_.routes_confirmed_at();
    auto valid_until =
        as_of ? *as_of + options_.reading.max_routes_age : time_point();
    if (is_store_unavailable(now)) {
        valid_until = std::max(valid_until, now + outage_validity);
    }
    directory_.set_routes_valid_until(valid_until);
}

std::optional<duration> directory_follower::age(time_point now) const {
    const auto latest = std::max(own_reads_at(), peer_read_at_);
    if (!latest) {
        return std::nullopt;
    }
    return now - *latest;
}

// Orders instances by a hash of their incarnation.
std::size_t directory_follower::reader_rank(time_point now) const {
    const auto rank_of = [](const incarnation& id) {
        return hash(to_string(id));
    };
    const auto own = rank_of(options_.own.id);
    std::size_t rank = 0;
    for (const auto& peer : members_.members(now)) {
        if (peer.state == member_state::alive && rank_of(peer.id) < own) {
            ++rank;
        }
    }
    return rank;
}

bool directory_follower::should_read(time_point now) const {
    if (directory_.routing() == nullptr || !freshness_.is_clock_known()) {
        return now >= startup_read_at_;
    }
    const auto rank = reader_rank(now);
    const bool knows_peers = startup_read_at_ == started_at_ ||
                             now - started_at_ > peer_discovery_period;
    if (rank < options_.reading.readers && knows_peers && !leaving_) {
        return true;
    }
    const auto step = std::min<duration>(max_fallback_delay,
                                         fallback_delay_per_rank *
                                             static_cast<duration::rep>(rank));
    return !peer_read_at_ ||
           now - *peer_read_at_ > options_.reading.silence + step;
}

std::size_t directory_follower::estimated_instance_count(time_point now) const {
    const bool unknown = now - started_at_ < peer_discovery_period;
    return std::max<std::size_t>(members_.active_count(now),
                                 unknown ? assumed_instances_at_start : 1);
}

std::size_t directory_follower::sharing_instance_count(time_point now) const {
    return std::max(estimated_instance_count(now), members_.sharing_count(now));
}

void directory_follower::start_read(store_table table, time_point now,
                                    actions& out) {
    auto& state = state_of(table);
    state.read_in_flight = true;
    const bool long_poll = state.position && table == store_table::routing;
    freshness_.on_read_started(table, now);
    if (!state.position) {
        out.emplace_back(read_snapshot{table});
        return;
    }
    out.emplace_back(
        read_changes{table, *state.position,
                     long_poll ? options_.long_poll_timeout : duration{}});
}

// While reads of both tables fail, only the servers table is retried.
bool directory_follower::waits_for_other_table(store_table table) const {
    const auto& servers = state_of(store_table::servers);
    const auto& routing = state_of(store_table::routing);
    return table == store_table::routing && routing.failing_since &&
           servers.failing_since;
}

directory_follower::actions directory_follower::on_tick(time_point now) {
    actions out;
    update_routes_validity(now);
    apply_deferred_removals(now, out);
    request_from_seeds(now, out);
    reading_ = should_read(now);
    end_copy_distrust(now);
    for (const auto table : {store_table::routing, store_table::servers}) {
        auto& state = state_of(table);
        if (reading_ && !state.read_in_flight && now >= state.next_read &&
            !waits_for_other_table(table)) {
            start_read(table, now, out);
        }
    }
    auto& routing = state_of(store_table::routing);
    if (direct_read_due_ && now >= *direct_read_due_ &&
        !routing.read_in_flight) {
        direct_read_due_.reset();
        routing.read_in_flight = true;
        direct_read_in_flight_ = true;
        freshness_.on_read_started(store_table::routing, now);
        out.emplace_back(read_snapshot{store_table::routing});
    }
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + options_.heartbeat_interval;
        send_heartbeats(now, out);
        directory_.purge_expired_tombstones(now);
    }
    return out;
}

time_point directory_follower::next_due() const {
    auto due = next_heartbeat_;
    if (directory_.routing() == nullptr) {
        due = std::min(due, next_seed_request_);
        due = reading_ ? due : std::min(due, startup_read_at_);
    }
    for (const auto table : {store_table::routing, store_table::servers}) {
        const auto& state = state_of(table);
        if (reading_ && !state.read_in_flight &&
            !waits_for_other_table(table)) {
            due = std::min(due, state.next_read);
        }
    }
    for (const auto& [key, removal] : deferred_removals_) {
        due = std::min(due, removal.due);
    }
    if (direct_read_due_ && !state_of(store_table::routing).read_in_flight) {
        due = std::min(due, *direct_read_due_);
    }
    if (!reading_ && peer_read_at_) {
        due = std::min(due, *peer_read_at_ + options_.reading.silence);
    }
    return due;
}

// Drops rows without changes, which servers that renew their registration
// produce continually.
std::vector<raw_row>
directory_follower::drop_unchanged(std::vector<raw_row> rows) const {
    std::erase_if(rows, [&](const raw_row& row) {
        if (row.key == routing_row_key) {
            return directory_.version_of(row.key) >= row.version;
        }
        const auto* stored = directory_.find_row(row.key);
        return stored != nullptr ? same_registration(*stored, row)
                                 : row.deleted;
    });
    return rows;
}

// Registrations expire during a store outage, and live servers register again
// once it is over. Until they had time to do so, removals are deferred.
void directory_follower::defer_removals(const table_state& state,
                                        std::vector<raw_row>& rows,
                                        time_point now) {
    const bool recently_recovered =
        state.recovered_at &&
        now - *state.recovered_at < options_.reading.return_hold;
    if (!recently_recovered) {
        return;
    }
    const auto due = *state.recovered_at + options_.reading.return_hold;
    std::erase_if(rows, [&](const raw_row& row) {
        if (row.deleted) {
            deferred_removals_[row.key] = {row, due};
        }
        return row.deleted;
    });
}

void directory_follower::apply_deferred_removals(time_point now, actions& out) {
    std::vector<raw_row> rows;
    std::erase_if(deferred_removals_, [&](const auto& item) {
        const bool due = now >= item.second.due;
        if (due) {
            rows.push_back(item.second.row);
        }
        return due;
    });
    if (!rows.empty()) {
        apply(rows, now);
        publish_update(std::move(rows), now, out);
    }
}

void directory_follower::apply(std::span<const raw_row> rows, time_point now) {
    auto change = directory_.apply(rows, now);
    changes_.routing |= change.routing;
    for (auto& id : change.servers) {
        changes_.servers.push_back(std::move(id));
    }
    for (auto& key : change.kept) {
        changes_.kept.push_back(std::move(key));
    }
    for (auto& text : change.rejected) {
        changes_.rejected.push_back(std::move(text));
    }
}

directory::change directory_follower::take_changes() {
    return std::exchange(changes_, {});
}

directory_follower::actions directory_follower::on_page(const store_page& page,
                                                        time_point now) {
    actions out;
    auto& state = state_of(page.table);
    state.read_in_flight = false;
    on_era(page.answered_at.era, now);
    const bool is_outdated = page.answered_at.era < era_;
    const bool continues_earlier_read = !page.snapshot && !state.position;
    if (is_outdated || continues_earlier_read) {
        // The read began before the store was restored.
        state.next_read = is_outdated ? now + options_.reading.read_pause : now;
        if (page.table == store_table::routing &&
            std::exchange(direct_read_in_flight_, false)) {
            direct_read_due_ = now;
        }
        return out;
    }
    if (is_in_outage(state, now)) {
        state.recovered_at = now;
    }
    state.failing_since.reset();
    state.failures = 0;
    auto& other =
        state_of(page.table == store_table::routing ? store_table::servers
                                                    : store_table::routing);
    if (other.failing_since) {
        other.next_read = now; // the store is reachable again
    }
    state.position = std::max(state.position.value_or(0), page.revision);
    state.last_success_at = now;
    const bool long_polled =
        page.table == store_table::routing && !page.snapshot;
    state.next_read = long_polled ? now : now + options_.reading.read_pause;
    for (const auto& row : page.rows) {
        if (!row.deleted) {
            deferred_removals_.erase(row.key); // the server registered again
        }
    }
    note_store_routes(page);
    auto read_rows = to_rows_of_era(page);
    auto rows = drop_unchanged(read_rows);
    add_missing_tombstones(page, rows);
    defer_removals(state, rows, now);
    const bool has_update = !rows.empty() || page.table == store_table::servers;
    changed_by_ = "store";
    std::erase_if(read_rows, [](const raw_row& row) { return row.deleted; });
    apply(read_rows, now); // unchanged ones get the version of this era
    apply(rows, now);
    for (auto& row : rows) {
        row = *directory_.find_row(row.key); // a newer one may have been kept
    }
    const bool confirms =
        page.table == store_table::servers || !lacks_newest_routes(now);
    freshness_.on_read_completed(page.table, page.answered_at, confirms);
    update_routes_validity(now);
    const bool direct_read = page.table == store_table::routing &&
                             std::exchange(direct_read_in_flight_, false);
    if (direct_read && !reading_) {
        complete_direct_read(now, out);
    } else if (has_update) {
        publish_update(std::move(rows), now, out);
    }
    return out;
}

// Handles the rows of a direct read, which a peer's update left out.
void directory_follower::complete_direct_read(time_point now, actions& out) {
    if (pending_update_ &&
        pending_update_->rows.digest == directory_.digest()) {
        const auto pending = *pending_update_;
        mark_in_sync(pending.rows, now, out);
    }
}

// Grows with the number of failures and with the reader rank: instances of
// lower rank detect the store's recovery first.
duration directory_follower::retry_delay(const table_state& state,
                                         time_point now) const {
    const auto base_delay = std::min<duration>(
        max_retry_delay, initial_retry_delay * (1U << state.failures));
    if (directory_.routing() == nullptr) {
        return base_delay; // without routes, no request can be served
    }
    const double rank_factor =
        1 + retry_delay_per_rank * static_cast<double>(reader_rank(now));
    return std::min(
        max_ranked_retry_delay,
        duration(static_cast<duration::rep>(
            rank_factor * static_cast<double>(base_delay.count()))));
}

directory_follower::actions directory_follower::on_failed(store_table table,
                                                          store_failure failure,
                                                          time_point now) {
    auto& state = state_of(table);
    state.read_in_flight = false;
    if (failure == store_failure::history_compacted) {
        state.position.reset();
        state.next_read = now;
        return {};
    }
    state.last_failure_at = now;
    if (!state.failing_since) {
        state.failing_since = state.last_success_at.value_or(now);
    }
    const auto delay = retry_delay(state, now);
    state.failures = std::min(state.failures + 1, 4U);
    boost::random::uniform_real_distribution<double> spread(0.75, 1.25);
    state.next_read =
        now + duration(static_cast<duration::rep>(
                  static_cast<double>(delay.count()) * spread(engine_)));
    update_routes_validity(now);
    actions out;
    const bool direct_read = table == store_table::routing &&
                             std::exchange(direct_read_in_flight_, false);
    if (direct_read && pending_update_) {
        request_rows(pending_update_->from, !store_reads_allowed(now), now,
                     out);
    }
    return out;
}

void directory_follower::send_heartbeats(time_point now, actions& out) {
    heartbeat beat;
    beat.sender = members_.own();
    beat.sequence = ++heartbeat_sequence_;
    beat.members = members_.sample(gossip_members, engine_, now);
    beat.sharing_instances = members_.own_sharing_count(now);
    if (const auto as_of = freshness_.routes_as_of()) {
        beat.table_version = directory_.routes_version();
        beat.routes_as_of = *as_of;
    }
    for (auto& target : members_.heartbeat_targets(now)) {
        out.emplace_back(send_to_peer{std::move(target), beat});
    }
}

directory_follower::actions directory_follower::begin_stop(time_point now) {
    actions out;
    leaving_ = true;
    members_.set_leaving();
    heartbeat beat;
    beat.sender = members_.own();
    beat.sequence = ++heartbeat_sequence_;
    for (const auto& peer : members_.members(now)) {
        out.emplace_back(send_to_peer{peer.peer_address, beat});
    }
    return out;
}

} // namespace lacewingbeam
