#ifndef LACEWINGBEAM_TABLE_HPP
#define LACEWINGBEAM_TABLE_HPP

#include "core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The operators' table: one row per service and per backend server.
namespace lacewingbeam {

// One named cell of a row, as text.
struct cell {
    std::string name;
    std::string value;

    bool operator==(const cell&) const = default;
};

// A row as the platform keeps it. The version is the table's version at the
// row's last write; a deleted row stays as a tombstone.
struct raw_row {
    std::string key;
    std::uint64_t version = 0;
    bool deleted = false;
    std::vector<cell> cells;

    // The cell's value, or an empty text.
    std::string_view value_of(std::string_view name) const;

    bool operator==(const raw_row&) const = default;
};

// Matches requests by method and path prefix. Written "POST /jobs"; "*"
// stands for any method.
struct request_rule {
    std::string method;
    std::string path_prefix;

    bool matches(std::string_view request_method, std::string_view path) const;
};

// How long work may keep a slot.
enum class work_length { short_work, long_work };

// A service's row.
struct service_row {
    std::string name;
    bool default_methods = true; // POST, PATCH and unknown: non-idempotent
    std::vector<request_rule> non_idempotent;
    std::vector<request_rule> long_work;
    duration deadline{};        // from arrival to the answer's head
    unsigned queue_limit = 0;   // calls waiting in one instance
    unsigned limit = 0;         // calls running over all instances; 0: none
    duration probe_cost{};      // backend server time for one probe
    double probe_share = 0;     // share of one slot's time for probes, 0 to 1
    unsigned max_instances = 0; // upper bound of instances that probe

    bool is_idempotent(std::string_view method, std::string_view path) const;
    work_length length_of(std::string_view method, std::string_view path) const;
};

// A backend server's row.
struct server_row {
    server_key key;
    std::string address; // IP:port
    std::string failure_domain;
    double weight = 1; // share relative to the service's other servers
    unsigned slots = 1;
    unsigned connections = 1; // over all instances
    bool leaving = false;     // gets no new work
};

// Thrown for a row or cell that can't be accepted; names row, cell and what
// is allowed.
class table_error : public error {
public:
    using error::error;
};

// True for the key of a backend server's row ("service/backend_server").
bool is_server_key(std::string_view row_key);

// Read a row. Throw table_error for an unknown cell, a bad value or a
// missing cell that has no default.
service_row parse_service_row(const raw_row& row);
server_row parse_server_row(const raw_row& row);

// Throws table_error unless the row can be read.
void validate(const raw_row& row);

// The names of all cells a row may have, in their order in CSV files.
std::span<const std::string_view> cell_names(bool server_row);

// What became of a set of rows given to table_view.
struct apply_result {
    std::set<std::string, std::less<>> changed; // names of services
    std::vector<std::string> rejected;          // one message for each bad row
};

// An instance's copy of the table. Versions only grow: whatever is older
// than what is held is ignored, so an edit never reverts. A row that can't
// be read keeps its last good state.
class table_view {
public:
    // Takes rows in which every change up to `version` is contained that the
    // view does not hold yet. Older sets are ignored.
    apply_result apply(std::span<const raw_row> rows, std::uint64_t version);

    std::uint64_t version() const { return version_; }

    // The first `limit` rows changed after `version` in order of version,
    // tombstones included.
    std::vector<raw_row> rows_after(std::uint64_t version,
                                    std::size_t limit) const;

    // Null if the service is unknown.
    const service_row* find_service(std::string_view name) const;

    // Null if the backend server is unknown.
    const server_row* find_server(const server_key& key) const;

    // The service's backend servers in order of name.
    std::span<const server_row> servers_of(std::string_view service) const;

    std::vector<std::string> service_names() const;

private:
    struct service_entry {
        service_row row;
        bool present = false;
        std::vector<server_row> servers;
    };

    // A raw row with its cells in one text: tables are large and are
    // only told on now and then.
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
