#ifndef LACEWINGBEAM_DIRECTORY_HPP
#define LACEWINGBEAM_DIRECTORY_HPP

#include "core.hpp"
#include "routing.hpp"
#include "table.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// What an instance knows of routes and backend servers.
namespace lacewingbeam {

// One life of a backend server, as it registered itself.
struct registered_server {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string failure_domain;
    unsigned slots = 1;     // requests it works on at one time
    bool leaving = false;   // gets no new work
    duration cold_left{};   // slow for this long after it was told
    std::string started_at; // differs between two lives with one id

    bool operator==(const registered_server&) const = default;
};

inline constexpr std::string_view server_row_prefix = "server/";
raw_row make_row(const registered_server& server, std::uint64_t revision);

// Reads the form written by make_row. Throws table_error.
registered_server parse_registered_server(const raw_row& row);

// A backend server as the directory holds it.
struct known_server {
    registered_server info;
    time_point cold_until;
};

// Rows by key, each with the store's revision of its last change. A row only
// gives way to one of a higher revision, so the order in which rows arrive
// does not matter and no edit reverts. Dropped rows stay as tombstones for
// tombstone_lifetime.
class directory {
public:
    static constexpr duration tombstone_lifetime = std::chrono::seconds(120);

    struct change {
        bool routing = false;
        std::vector<std::string> servers;  // ids that came, changed or went
        std::vector<std::string> rejected; // one message for each bad row
    };

    change apply(std::span<const raw_row> rows, time_point now);

    // Rows changed after a revision, in order of key.
    std::vector<raw_row> rows_after(std::uint64_t revision) const;

    // Equal for two directories that hold the same routes and servers,
    // whatever the revisions are.
    std::uint64_t digest() const { return digest_; }

    // The row as it was last told, tombstones included; null if not known.
    const raw_row* find_row(std::string_view key) const;

    // Revision of the row, 0 if it is not known.
    std::uint64_t revision_of(std::string_view key) const;

    // Null before any routes are known.
    const routing_table* routing() const {
        return routing_ ? &*routing_ : nullptr;
    }

    // Null if it is not known or has gone.
    const known_server* find(std::string_view id) const;

    // The service's backend servers that are not leaving, in order of id.
    std::vector<const known_server*> available(std::string_view service) const;

    // The keys of all registered servers.
    std::vector<std::string> server_keys() const;

    std::size_t server_count() const { return servers_.size(); }

    void purge_expired_tombstones(time_point now);

private:
    struct stored_row {
        raw_row row;
        time_point changed_at;
    };

    void apply_routing(const raw_row& row, change& out);
    void apply_server(const raw_row& row, time_point now, change& out);

    std::map<std::string, stored_row, std::less<>> rows_;
    std::uint64_t digest_ = 0;
    std::optional<routing_table> routing_;
    std::map<std::string, known_server, std::less<>> servers_;
    std::map<std::string, std::set<std::string>, std::less<>> by_service_;
};

} // namespace lacewingbeam

#endif
