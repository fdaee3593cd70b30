#ifndef LACEWINGBEAM_TABLE_HPP
#define LACEWINGBEAM_TABLE_HPP

#include "core.hpp"
#include "store_version.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The table that operators edit: one row per service and per backend server.
namespace lacewingbeam {

// One named cell of a row, as text.
struct cell {
    std::string name;
    std::string value;

    bool operator==(const cell&) const = default;
};

// A row as the platform stores it. The version is that of the row's last write:
// the table's version in the operators' table, the operators' own number for a
// router's routes, and the metadata store's version for a backend server. A
// deleted row remains as a tombstone.
struct raw_row {
    std::string key;
    store_version version;
    bool deleted = false;
    std::vector<cell> cells;

    // Returns the cell's value, or an empty string if there is no such cell.
    std::string_view value_of(std::string_view name) const;

    bool operator==(const raw_row&) const = default;
};

// Matches requests by method and path prefix. Its text form is "POST /jobs",
// where "*" matches any method.
struct request_rule {
    std::string method;
    std::string path_prefix;

    bool matches(std::string_view request_method, std::string_view path) const;
};

// How long a call may occupy a slot.
enum class work_length { short_work, long_work };

// A service's row.
struct service_row {
    std::string name;
    // POST, PATCH and unknown methods count as non-idempotent.
    bool default_methods = true;
    std::vector<request_rule> non_idempotent;
    std::vector<request_rule> long_work;
    duration deadline{};        // from arrival to the response headers
    unsigned queue_limit = 0;   // calls queued in one instance
    unsigned limit = 0;         // calls in flight on all instances; 0: no limit
    duration probe_cost{};      // backend server time used by one probe
    double probe_share = 0;     // fraction (0 to 1) of a slot's time for probes
    unsigned max_instances = 0; // maximum number of probing instances

    bool is_idempotent(std::string_view method, std::string_view path) const;
    work_length length_of(std::string_view method, std::string_view path) const;
};

// A backend server's row.
struct server_row {
    server_key key;
    std::string address; // IP:port
    std::string failure_domain;
    double weight = 1; // relative to the service's other servers
    unsigned slots = 1;
    unsigned connections = 1; // from all instances together
    bool leaving = false;     // draining: receives no new calls
};

// Thrown for an invalid row or cell. The message names the row, the cell and
// the values allowed.
class table_error : public error {
public:
    using error::error;
};

// Returns true for the key of a backend server's row
// ("service/backend_server").
bool is_server_key(std::string_view row_key);

// Parse a row. Throw table_error for an unknown cell, an invalid value or a
// missing cell without a default.
service_row parse_service_row(const raw_row& row);
server_row parse_server_row(const raw_row& row);

// Throws table_error if the row is invalid.
void validate(const raw_row& row);

// Returns the names of all cells that a row may have, in the column order of
// CSV files.
std::span<const std::string_view> cell_names(bool server_row);

// The outcome of table_view::apply.
struct apply_result {
    std::set<std::string, std::less<>> changed; // names of services
    std::vector<std::string> rejected;          // one message per invalid row
};

// An instance's copy of the table. Versions never decrease: rows older than the
// stored ones are ignored, so an edit is never reverted. If a row is invalid,
// its last valid version stays in force.
class table_view {
public:
    // Applies rows that include every change up to `version` that the view
    // lacks. Does nothing unless `version` is higher than the view's version.
    apply_result apply(std::span<const raw_row> rows, std::uint64_t version);

    std::uint64_t version() const { return version_; }

    // Returns the first `limit` rows changed after `version`, including
    // tombstones, in order of version.
    std::vector<raw_row> rows_after(std::uint64_t version,
                                    std::size_t limit) const;

    // Returns null if the service is unknown.
    const service_row* find_service(std::string_view name) const;

    // Returns null if the backend server is unknown.
    const server_row* find_server(const server_key& key) const;

    // Returns the service's backend servers in order of name.
    std::span<const server_row> servers_of(std::string_view service) const;

    std::vector<std::string> service_names() const;

private:
    struct service_entry {
        service_row row;
        bool present = false;
        std::vector<server_row> servers;
    };

    // A raw row with its cells packed into one string to save memory: tables
    // are large, and raw rows are only needed when sent to peers.
    struct packed_row {
        std::uint64_t version = 0;
        bool deleted = false;
        std::string cells;
    };

    static packed_row pack(const raw_row& row);
    static raw_row unpack(const std::string& key, const packed_row& row);
    void apply_row(const raw_row& row);
    void apply_service(const raw_row& row);
    void apply_server(const raw_row& row);

    std::uint64_t version_ = 0;
    std::map<std::string, packed_row, std::less<>> raw_;
    std::map<std::string, service_entry, std::less<>> services_;
};

} // namespace lacewingbeam

#endif
