#include "lacewingbeam/directory_follower.hpp"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <utility>

namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Shorter failures of the store lapse no entry: servers register again every
// second or two, and three times unheard make one lapse.
constexpr duration shortest_outage = milliseconds(1500);

// Seeds are asked this often by an instance that starts.
constexpr duration seed_request_pause = milliseconds(40);

// Instances that heard nothing from their seeds read the store spread over
// this part of their patience more.
constexpr double patience_spread = 0.5;

constexpr duration first_retry = milliseconds(100);
constexpr duration longest_retry = milliseconds(800);

// While the store fails for all, the first few notice its return and tell the
// others; each further one in the order of readers waits this part of the
// pause longer, up to the limit. It is below the time for which an instance
// counts as out of touch after an outage (3 s).
constexpr double pause_per_rank = 0.25;
constexpr duration longest_patient_retry = milliseconds(2200);

// Instances that hear nothing start to read one after the other.
constexpr duration fallback_step = milliseconds(40);
constexpr duration longest_fallback = milliseconds(400);

constexpr std::size_t digest_members = 6;
bool same_content(const raw_row& a, const raw_row& b) {
    return a.deleted == b.deleted && a.cells == b.cells;
}

bool is_cold(const raw_row& row) {
    return row.value_of("cold_us") != "0";
}

// True if nothing but the rest of the cold time differs.
bool same_server(const raw_row& a, const raw_row& b) {
    if (a.deleted || b.deleted || a.cells.size() != b.cells.size()) {
        return same_content(a, b);
    }
    return std::equal(a.cells.begin(), a.cells.end(), b.cells.begin(),
                      [](const cell& x, const cell& y) {
                          return x.name == y.name &&
                                 (x.value == y.value || x.name == "cold_us");
                      }) &&
           is_cold(a) == is_cold(b);
}

} // namespace

directory_follower::directory_follower(follower_options options, time_point now)
    : options_(std::move(options)), members_(options_.own, options_.members),
      engine_(options_.seed), started_at_(now), next_request_(now),
      next_heartbeat_(now), next_seed_request_(now), boot_read_at_(now) {
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
        1, 1 + patience_spread);
    boot_read_at_ =
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

bool directory_follower::is_outage(const table_state& state,
                                   time_point now) const {
    return state.failing_since && now - *state.failing_since > shortest_outage;
}

// A read of the routes waits at the store for a change, so only a failure of
// it counts.
std::optional<time_point> directory_follower::own_read_at() const {
    const auto& routing = state_of(store_table::routing);
    const auto& servers = state_of(store_table::servers);
    if (!routing.read_at || !servers.read_at) {
        return std::nullopt;
    }
    return routing.failing_since ? std::min(*routing.read_at, *servers.read_at)
                                 : *servers.read_at;
}

std::optional<duration> directory_follower::age(time_point now) const {
    const auto latest = std::max(own_read_at(), told_at_);
    if (!latest) {
        return std::nullopt;
    }
    return now - *latest;
}

// Position in the order in which instances are asked to read.
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
    if (directory_.routing() == nullptr || !(told_at_ || own_read_at())) {
        return now >= boot_read_at_;
    }
    const auto rank = reader_rank(now);
    const bool knows_peers =
        boot_read_at_ == started_at_ || now - started_at_ > acquaintance;
    if (rank < options_.reading.readers && knows_peers && !leaving_) {
        return true;
    }
    const auto step = std::min<duration>(
        longest_fallback, fallback_step * static_cast<duration::rep>(rank));
    return !told_at_ || now - *told_at_ > options_.reading.silence + step;
}

std::size_t directory_follower::sharing_instances(time_point now) const {
    const auto counted = members_.active_count(now);
    const bool unknown = now - started_at_ < acquaintance;
    return std::max<std::size_t>(counted, unknown ? assumed_at_start : 1);
}

void directory_follower::ask(store_table table, actions& out) {
    auto& state = state_of(table);
    state.asked = true;
    if (!state.position) {
        out.emplace_back(read_snapshot{table});
        return;
    }
    const bool waits = table == store_table::routing;
    out.emplace_back(read_changes{table, *state.position,
                                  waits ? options_.change_wait : duration{}});
}

// A store that fails for both tables is tried with one of them.
bool directory_follower::waits_for_other(store_table table) const {
    const auto& servers = state_of(store_table::servers);
    const auto& routing = state_of(store_table::routing);
    return table == store_table::routing && routing.failing_since &&
           servers.failing_since;
}

directory_follower::actions directory_follower::on_tick(time_point now) {
    actions out;
    release_held(now, out);
    ask_seeds(now, out);
    reading_ = should_read(now);
    for (const auto table : {store_table::routing, store_table::servers}) {
        auto& state = state_of(table);
        if (reading_ && !state.asked && now >= state.next_read &&
            !waits_for_other(table)) {
            ask(table, out);
        }
    }
    auto& routing = state_of(store_table::routing);
    if (own_read_due_ && now >= *own_read_due_ && !routing.asked) {
        own_read_due_.reset();
        routing.asked = true;
        own_read_asked_ = true;
        out.emplace_back(read_snapshot{store_table::routing});
    }
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + options_.heartbeat_interval;
        send_heartbeats(now, out);
        directory_.forget_old_tombstones(now);
    }
    return out;
}

// An instance that has just started hears the directory from its seeds.
void directory_follower::ask_seeds(time_point now, actions& out) {
    const bool needed = directory_.routing() == nullptr;
    if (!needed || now < next_seed_request_) {
        return;
    }
    // Routes that are too large to be told are read from the store, unless it
    // cannot be read.
    const bool whole = !may_read_now(now);
    next_seed_request_ =
        now + (whole ? whole_request_pause : seed_request_pause);
    for (const auto& seed : seeds_) {
        if (seed != options_.own.peer_address) {
            out.emplace_back(
                send_to_peer{seed, table_request{0, ++request_number_, whole}});
        }
    }
}

time_point directory_follower::next_due() const {
    auto due = next_heartbeat_;
    if (directory_.routing() == nullptr) {
        due = std::min(due, next_seed_request_);
        due = reading_ ? due : std::min(due, boot_read_at_);
    }
    for (const auto table : {store_table::routing, store_table::servers}) {
        const auto& state = state_of(table);
        if (reading_ && !state.asked && !waits_for_other(table)) {
            due = std::min(due, state.next_read);
        }
    }
    for (const auto& [key, removal] : held_) {
        due = std::min(due, removal.due);
    }
    if (own_read_due_ && !state_of(store_table::routing).asked) {
        due = std::min(due, *own_read_due_);
    }
    if (!reading_ && told_at_) {
        due = std::min(due, *told_at_ + options_.reading.silence);
    }
    return due;
}

// Drops rows that say nothing new: servers register again and again.
std::vector<raw_row>
directory_follower::keep_changed(std::vector<raw_row> rows) const {
    std::erase_if(rows, [&](const raw_row& row) {
        if (row.key == routing_row_key) {
            return directory_.revision_of(row.key) >= row.version;
        }
        const auto* held = directory_.find_row(row.key);
        return held != nullptr ? same_server(*held, row) : row.deleted;
    });
    return rows;
}

// A snapshot lacks what was removed while nobody read.
void directory_follower::add_missing(const store_page& page,
                                     std::vector<raw_row>& rows) const {
    if (!page.snapshot || page.table != store_table::servers) {
        return;
    }
    std::set<std::string_view> present;
    for (const auto& row : page.rows) {
        present.insert(row.key);
    }
    for (const auto& key : directory_.server_keys()) {
        if (!present.contains(key) &&
            directory_.revision_of(key) <= page.revision) {
            rows.push_back({key, page.revision, true, {}});
        }
    }
}

// Entries lapse while the store is away, and servers that live register again
// once it is back: until then a removal is not believed.
void directory_follower::hold_removals(const table_state& state,
                                       std::vector<raw_row>& rows,
                                       time_point now) {
    const bool lately = state.returned_at &&
                        now - *state.returned_at < options_.reading.return_hold;
    if (!lately) {
        return;
    }
    const auto due = *state.returned_at + options_.reading.return_hold;
    std::erase_if(rows, [&](const raw_row& row) {
        if (row.deleted) {
            held_[row.key] = {row, due};
        }
        return row.deleted;
    });
}

void directory_follower::release_held(time_point now, actions& out) {
    std::vector<raw_row> rows;
    std::erase_if(held_, [&](const auto& item) {
        const bool due = now >= item.second.due;
        if (due) {
            rows.push_back(item.second.row);
        }
        return due;
    });
    if (!rows.empty()) {
        apply(rows, now);
        tell_peers(std::move(rows), {}, now, out);
    }
}

void directory_follower::apply(std::span<const raw_row> rows, time_point now) {
    auto change = directory_.apply(rows, now);
    changes_.routing |= change.routing;
    for (auto& id : change.servers) {
        changes_.servers.push_back(std::move(id));
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
    state.asked = false;
    if (is_outage(state, now)) {
        state.returned_at = now;
    }
    state.failing_since.reset();
    state.failures = 0;
    auto& other =
        state_of(page.table == store_table::routing ? store_table::servers
                                                    : store_table::routing);
    if (other.failing_since) {
        other.next_read = now; // the store answers again
    }
    state.position = std::max(state.position.value_or(0), page.revision);
    state.read_at = now;
    const bool waited = page.table == store_table::routing && !page.snapshot;
    state.next_read = waited ? now : now + options_.reading.read_pause;
    for (const auto& row : page.rows) {
        if (!row.deleted) {
            held_.erase(row.key); // registered again
        }
    }
    auto rows = keep_changed(page.rows);
    add_missing(page, rows);
    hold_removals(state, rows, now);
    const bool news = !rows.empty() || page.table == store_table::servers;
    auto deltas = find_deltas(rows);
    apply(rows, now);
    const bool own_read = page.table == store_table::routing &&
                          std::exchange(own_read_asked_, false);
    if (own_read && !reading_) {
        settle_own_read(now, out);
    } else if (news) {
        tell_peers(std::move(rows), std::move(deltas), now, out);
    }
    return out;
}

// What peers told of and left out was read.
void directory_follower::settle_own_read(time_point now, actions& out) {
    if (unsettled_ && unsettled_->rows.digest == directory_.digest()) {
        const auto told = *unsettled_;
        settle(told.rows, told.rows.age + (now - told.at), now, out);
    }
}

// Grows with the failures, and with the number of instances that look for the
// store's return before this one.
duration directory_follower::retry_pause(const table_state& state,
                                         time_point now) const {
    const auto own =
        std::min<duration>(longest_retry, first_retry * (1U << state.failures));
    if (directory_.routing() == nullptr) {
        return own; // nothing can be served without it
    }
    const double waits =
        1 + pause_per_rank * static_cast<double>(reader_rank(now));
    return std::min(longest_patient_retry,
                    duration(static_cast<duration::rep>(
                        waits * static_cast<double>(own.count()))));
}

directory_follower::actions directory_follower::on_failed(store_table table,
                                                          store_failure failure,
                                                          time_point now) {
    auto& state = state_of(table);
    state.asked = false;
    if (failure == store_failure::history_gone) {
        state.position.reset();
        state.next_read = now;
        return {};
    }
    state.failed_at = now;
    if (!state.failing_since) {
        state.failing_since = state.read_at.value_or(now);
    }
    const auto pause = retry_pause(state, now);
    state.failures = std::min(state.failures + 1, 4U);
    boost::random::uniform_real_distribution<double> spread(0.75, 1.25);
    state.next_read =
        now + duration(static_cast<duration::rep>(
                  static_cast<double>(pause.count()) * spread(engine_)));
    actions out;
    const bool own_read =
        table == store_table::routing && std::exchange(own_read_asked_, false);
    if (own_read && unsettled_) {
        const auto told = *unsettled_;
        ask_for_rows(told.from, told.rows, now, out);
    }
    return out;
}

void directory_follower::send_heartbeats(time_point now, actions& out) {
    heartbeat beat;
    beat.sender = members_.own();
    beat.sequence = ++heartbeat_sequence_;
    beat.members = members_.digest(digest_members, engine_, now);
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
