#include "lacewingbeam/directory.hpp"

#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/number.hpp"

#include <algorithm>
#include <utility>

namespace lacewingbeam {

namespace {

constexpr std::string_view cold_cell = "cold_us";
constexpr std::string_view started_at_cell = "started_at";

[[noreturn]] void reject(const raw_row& row, std::string_view cell_name) {
    throw table_error("row " + row.key + ", cell " + std::string(cell_name) +
                      ": \"" + std::string(row.value_of(cell_name)) +
                      "\" is not a valid value");
}

template <class Number>
Number read_number(const raw_row& row, std::string_view name) {
    const auto value = to_number<Number>(row.value_of(name));
    if (!value) {
        reject(row, name);
    }
    return *value;
}

// Excludes the remaining warm-up time, which changes with each registration of
// an unchanged server.
std::uint64_t digest_of(const raw_row& row) {
    if (row.deleted || row.cells.empty()) {
        return 0;
    }
    std::string text = row.key;
    for (const auto& item : row.cells) {
        if (item.name != cold_cell) {
            text += '\n' + item.name + '=' + item.value;
        }
    }
    return hash(text);
}

bool is_cold(const raw_row& row) {
    return row.value_of(cold_cell) != "0";
}

bool is_leaving(const raw_row& row) {
    return row.value_of("state") != "active";
}

// Returns true if `later`, of a later era, shows a later state of the server
// than `earlier` although its revision is lower: another process, or the same
// one that is leaving by now.
bool is_later_state(const raw_row& earlier, const raw_row& later) {
    if (earlier.deleted || later.deleted) {
        return false;
    }
    const auto before =
        to_number<std::uint64_t>(earlier.value_of(started_at_cell));
    const auto after =
        to_number<std::uint64_t>(later.value_of(started_at_cell));
    return before == after ? is_leaving(later) : before < after;
}

std::uint64_t highest_revision(const store_version& version) {
    return version.replaces == store_version::all_earlier
               ? version.revision
               : std::max(version.revision, version.replaces);
}

struct merged_row {
    store_version version;
    bool replaces_held = false;
};

// Decides which of two rows with the same key holds, regardless of the order in
// which they arrive.
merged_row merge(const raw_row& held, const raw_row& received) {
    const bool received_later = received.version.era > held.version.era;
    if (received.version.era == held.version.era) {
        return {std::max(held.version, received.version),
                received.version > held.version};
    }
    const auto& earlier = received_later ? held : received;
    const auto& later = received_later ? received : held;
    const auto earlier_revision = highest_revision(earlier.version);
    if (later.version.replaces >= earlier_revision ||
        later.version.revision >= earlier_revision ||
        is_later_state(earlier, later)) {
        return {later.version, received_later};
    }
    return {{later.version.era, later.version.revision, earlier_revision},
            !received_later};
}

} // namespace

bool same_registration(const raw_row& a, const raw_row& b) {
    if (a.deleted || b.deleted || a.cells.size() != b.cells.size()) {
        return a.deleted == b.deleted && a.cells == b.cells;
    }
    return std::equal(a.cells.begin(), a.cells.end(), b.cells.begin(),
                      [](const cell& x, const cell& y) {
                          return x.name == y.name &&
                                 (x.value == y.value || x.name == cold_cell);
                      }) &&
           is_cold(a) == is_cold(b);
}

raw_row make_row(const registered_server& server, store_version version) {
    raw_row row;
    row.key = std::string(server_row_prefix) + server.id;
    row.version = version;
    row.cells = {
        {"service", server.service},
        {"address", server.address},
        {"failure_domain", server.failure_domain},
        {"slots", std::to_string(server.slots)},
        {"state", server.leaving ? "leaving" : "active"},
        {std::string(cold_cell), std::to_string(server.cold_left.count())},
        {std::string(started_at_cell), server.started_at}};
    return row;
}

registered_server parse_registered_server(const raw_row& row) {
    registered_server server;
    server.id = row.key.substr(server_row_prefix.size());
    server.service = row.value_of("service");
    server.address = row.value_of("address");
    if (!parse_endpoint(server.address)) {
        reject(row, "address");
    }
    server.failure_domain = row.value_of("failure_domain");
    server.slots = read_number<unsigned>(row, "slots");
    if (server.slots == 0) {
        reject(row, "slots");
    }
    server.leaving = row.value_of("state") != "active";
    server.cold_left = duration(read_number<duration::rep>(row, cold_cell));
    server.started_at = row.value_of(started_at_cell);
    return server;
}

directory::change directory::apply(std::span<const raw_row> rows,
                                   time_point now) {
    change out;
    for (const auto& row : rows) {
        const bool is_server = row.key.starts_with(server_row_prefix);
        auto& stored = rows_[row.key];
        const auto merged = merge(stored.row, row);
        const bool known = is_server && same_registration(stored.row, row);
        if (!merged.replaces_held || known) {
            const bool older = merged.version.era > stored.row.version.era;
            if (older && !known) {
                out.kept.push_back(row.key);
            }
            stored.row.version = merged.version;
            continue;
        }
        digest_ ^= digest_of(stored.row) ^ digest_of(row);
        const auto before = std::exchange(stored, stored_row{row, now});
        stored.row.version = merged.version;
        try {
            if (row.key == routing_row_key) {
                apply_routing(before.row, row, out);
            } else if (is_server) {
                apply_server(row, now, out);
            }
        } catch (const table_error& problem) {
            out.rejected.emplace_back(problem.what());
        }
    }
    return out;
}

void directory::apply_routing(const raw_row& before, const raw_row& row,
                              change& out) {
    if (before.version != store_version()) {
        route_history_.on_changed(before, row);
    }
    if (row.deleted) {
        return; // keeps the last routes in force
    }
    if (routing_ && routing_row_version_ == before.version) {
        update_routing(*routing_, before, row);
    } else {
        routing_ = parse_routing(row);
    }
    routing_row_version_ = row.version;
    out.routing = true;
}

std::optional<row_delta>
directory::route_changes_since(std::uint64_t version) const {
    const auto* row = find_row(routing_row_key);
    return row == nullptr ? std::nullopt
                          : route_history_.changes_since(version, *row);
}

std::optional<row_delta>
directory::latest_route_changes(std::size_t max_bytes) const {
    const auto* row = find_row(routing_row_key);
    return row == nullptr ? std::nullopt
                          : route_history_.changes_within(max_bytes, *row);
}

void directory::apply_server(const raw_row& row, time_point now, change& out) {
    const auto id = row.key.substr(server_row_prefix.size());
    const auto known = servers_.find(id);
    if (known != servers_.end()) {
        by_service_[known->second.info.service].erase(id);
        servers_.erase(known);
    }
    out.servers.push_back(id);
    if (row.deleted) {
        return;
    }
    const auto server = parse_registered_server(row);
    servers_[id] = {server, now + server.cold_left};
    by_service_[server.service].insert(id);
}

std::vector<raw_row> directory::rows_after(const store_version& version) const {
    std::vector<raw_row> rows;
    for (const auto& [key, stored] : rows_) {
        if (key == routing_row_key ||
            stored.row.version.is_later_than(version)) {
            rows.push_back(stored.row);
        }
    }
    return rows;
}

const raw_row* directory::find_row(std::string_view key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second.row;
}

store_version directory::version_of(std::string_view key) const {
    const auto* row = find_row(key);
    return row == nullptr ? store_version() : row->version;
}

bool directory::has_kept_rows() const {
    return std::any_of(rows_.begin(), rows_.end(), [](const auto& item) {
        const auto replaces = item.second.row.version.replaces;
        return replaces != 0 && replaces != store_version::all_earlier;
    });
}

const known_server* directory::find(std::string_view id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const known_server*>
directory::available(std::string_view service) const {
    std::vector<const known_server*> found;
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end()) {
        return found;
    }
    for (const auto& id : ids->second) {
        const auto& server = servers_.find(id)->second;
        if (!server.info.leaving) {
            found.push_back(&server);
        }
    }
    return found;
}

std::vector<std::string> directory::server_keys() const {
    std::vector<std::string> keys;
    for (const auto& [id, server] : servers_) {
        keys.push_back(std::string(server_row_prefix) + id);
    }
    return keys;
}

void directory::purge_expired_tombstones(time_point now) {
    std::erase_if(rows_, [&](const auto& item) {
        return item.second.row.deleted &&
               now - item.second.changed_at > tombstone_lifetime;
    });
}

} // namespace lacewingbeam
