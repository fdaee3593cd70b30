#ifndef LACEWINGBEAM_DIRECTORY_HPP
#define LACEWINGBEAM_DIRECTORY_HPP

#include "core.hpp"
#include "routing.hpp"
#include "row_history.hpp"
#include "table.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// An instance's view of routes and backend servers.
namespace lacewingbeam {

// A backend server as it registered itself. Each restart is a new
// registration.
struct registered_server {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string failure_domain;
    unsigned slots = 1;     // requests it processes concurrently
    bool leaving = false;   // draining: receives no new requests
    duration cold_left{};   // remaining warm-up time at registration
    std::string started_at; // tells restarts with the same id apart

    bool operator==(const registered_server&) const = default;
};

inline constexpr std::string_view server_row_prefix = "server/";
raw_row make_row(const registered_server& server, store_version version);

// Parses a row made by make_row. Throws table_error if it is invalid.
registered_server parse_registered_server(const raw_row& row);

// A backend server as stored in the directory.
struct known_server {
    registered_server info;
    time_point cold_until;
};

// Returns true if two rows differ at most in the remaining warm-up time, and it
// is zero in both or in neither.
bool same_registration(const raw_row& a, const raw_row& b);

// Rows by key, each with the version of its last change. Routes are only
// replaced by those with a higher number of the operators. A server's row is
// only replaced by one with a higher version, so rows may arrive in any order
// and no edit is reverted. If the store was restored, and its row is older than
// the one held, the one held is kept under a version of the new era. Removed
// rows remain as tombstones for tombstone_lifetime.
class directory {
public:
    static constexpr duration tombstone_lifetime = std::chrono::seconds(120);

    struct change {
        bool routing = false;
        std::vector<std::string> servers;  // ids added, changed or removed
        std::vector<std::string> rejected; // one message per invalid row
        std::vector<std::string> kept; // ids with older rows after a restore
    };

    change apply(std::span<const raw_row> rows, time_point now);

    // Returns the servers' rows changed after a version, and the routes, in
    // order of key.
    std::vector<raw_row> rows_after(const store_version& version) const;

    // Returns a checksum that is equal for two directories with the same routes
    // and servers, regardless of revisions.
    std::uint64_t digest() const { return digest_; }

    // Returns the row, which may be a tombstone, or null if it is unknown.
    const raw_row* find_row(std::string_view key) const;

    // Returns the changes of the routes from a version on, or nullopt if these
    // are not remembered.
    std::optional<row_delta> route_changes_since(std::uint64_t version) const;

    // Returns the latest changes of the routes that take at most max_bytes, or
    // nullopt if there are none.
    std::optional<row_delta> latest_route_changes(std::size_t max_bytes) const;

    // Returns the row's version, or 0 if the row is unknown.
    store_version version_of(std::string_view key) const;

    // Returns the operators' number of the routes, or 0 without routes.
    std::uint64_t routes_version() const {
        return version_of(routing_row_key).revision;
    }

    // Returns true if rows were kept that were newer than those of a restored
    // store.
    bool has_kept_rows() const;

    // Returns null until routes have been received.
    const routing_table* routing() const {
        return routing_ ? &*routing_ : nullptr;
    }

    // Requests are decided by the routes until this time, after which they may
    // no longer be the newest. Unlimited until it is set.
    void set_routes_valid_until(time_point time) { routes_valid_until_ = time; }
    bool routes_valid_at(time_point now) const {
        return routing_ && now <= routes_valid_until_;
    }

    // Returns null if the server is unknown or was removed.
    const known_server* find(std::string_view id) const;

    // Returns the service's backend servers that are not leaving, in order of
    // id.
    std::vector<const known_server*> available(std::string_view service) const;

    // Returns the row keys of all registered servers.
    std::vector<std::string> server_keys() const;

    std::size_t server_count() const { return servers_.size(); }

    void purge_expired_tombstones(time_point now);

private:
    struct stored_row {
        raw_row row;
        time_point changed_at;
    };

    void apply_routing(const raw_row& before, const raw_row& row, change& out);
    void apply_server(const raw_row& row, time_point now, change& out);

    std::map<std::string, stored_row, std::less<>> rows_;
    std::uint64_t digest_ = 0;
    std::optional<routing_table> routing_;
    store_version routing_row_version_; // from which routing_ was parsed
    row_history route_history_;
    time_point routes_valid_until_ = time_point::max();
    std::map<std::string, known_server, std::less<>> servers_;
    std::map<std::string, std::set<std::string>, std::less<>> by_service_;
};

} // namespace lacewingbeam

#endif
