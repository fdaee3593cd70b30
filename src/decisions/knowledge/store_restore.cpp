#include "lacewingbeam/directory_follower.hpp"

#include <algorithm>

// How a follower deals with a store that was restored from a copy.
namespace lacewingbeam {

namespace {

// The time for which an instance relies on what a peer told about newer routes.
// A peer that still runs repeats it with its next heartbeats.
constexpr duration newer_routes_memory = std::chrono::milliseconds(3000);

// Newer routes are requested from a peer if no update has brought them by then.
constexpr duration newer_routes_patience = std::chrono::milliseconds(300);

} // namespace

void directory_follower::on_era(std::uint64_t era, time_point now) {
    if (era <= era_) {
        return;
    }
    const bool restored = era_ != 0;
    era_ = era;
    freshness_.on_era(era);
    // A starting instance cannot tell whether the store was just restored.
    copy_distrusted_until_ = now + options_.reading.restored_copy_distrust;
    store_routes_ = 0;
    for (auto& table : tables_) {
        table.position.reset();
        if (restored) {
            table.recovered_at = now; // lost registrations are written again
        }
    }
}

// Rows of a feed were written in its era. Those of a snapshot may be rows of
// the copy, which do not replace newer ones of an earlier era.
std::vector<raw_row>
directory_follower::to_rows_of_era(const store_page& page) const {
    const bool written_in_era = !page.snapshot || !copy_distrusted_until_;
    auto rows = page.rows;
    for (auto& row : rows) {
        if (row.key != routing_row_key) {
            row.version = {era_, row.version.revision,
                           written_in_era ? store_version::all_earlier : 0};
        }
    }
    return rows;
}

// Adds a tombstone for each stored server that a snapshot lacks: its removal
// was missed because no instance was reading, or the store lost it. The latter
// is also the case for servers of an earlier era that are not in this era's
// snapshot, which was read before, and that a peer still held.
void directory_follower::add_missing_tombstones(
    const store_page& page, std::vector<raw_row>& rows) const {
    if (page.table != store_table::servers) {
        return;
    }
    std::set<std::string_view> present;
    for (const auto& row : page.rows) {
        present.insert(row.key);
    }
    const store_version version{era_, page.revision,
                                store_version::all_earlier};
    for (const auto& key : directory_.server_keys()) {
        const auto held = directory_.version_of(key);
        const bool missing = page.snapshot ? held <= version : held.era < era_;
        if (!present.contains(key) && missing) {
            rows.push_back({key, version, true, {}});
        }
    }
}

// After the time of distrust, the store's rows are read again as they are.
void directory_follower::end_copy_distrust(time_point now) {
    if (!reading_ || !copy_distrusted_until_ || now < *copy_distrusted_until_) {
        return;
    }
    copy_distrusted_until_.reset();
    if (directory_.has_kept_rows()) {
        state_of(store_table::servers).position.reset();
    }
}

void directory_follower::note_store_routes(const store_page& page) {
    for (const auto& row : page.rows) {
        if (row.key == routing_row_key) {
            store_routes_ = row.version.revision;
            store_routes_outdated_ =
                store_routes_ < directory_.routes_version();
        }
    }
}

// Returns true if a peer holds newer routes. A restored store may not show
// them, so reading it does not confirm the routes held.
bool directory_follower::lacks_newest_routes(time_point now) const {
    return directory_.routes_version() < newest_peer_routes_ &&
           now - newest_routes_told_at_ < newer_routes_memory;
}

// Requests routes that a peer is known to hold. If the store was read since and
// does not show them, the peer has to send them whatever their size.
void directory_follower::request_newer_routes(const std::string& peer,
                                              time_point now, actions& out) {
    if (!lacks_newest_routes(now)) {
        behind_since_.reset();
        return;
    }
    behind_since_ = behind_since_.value_or(now);
    if (now - *behind_since_ < newer_routes_patience || now < next_request_) {
        return;
    }
    const bool lost_by_store =
        store_routes_ != 0 && store_routes_ <= directory_.routes_version();
    request_rows(peer, lost_by_store || !store_reads_allowed(now), now, out);
}

} // namespace lacewingbeam
