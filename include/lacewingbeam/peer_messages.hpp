#ifndef LACEWINGBEAM_PEER_MESSAGES_HPP
#define LACEWINGBEAM_PEER_MESSAGES_HPP

#include "core.hpp"
#include "freshness.hpp"
#include "membership.hpp"
#include "request_quarantine.hpp"
#include "row_delta.hpp"
#include "table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Messages exchanged between instances.
namespace lacewingbeam {

// Number of requests that the sender has in flight at a backend server.
struct server_load {
    std::uint32_t server_hash = 0; // load_hash of the server's key
    unsigned in_flight = 0;
    unsigned long_in_flight = 0;
};

// Identifies a backend server in load reports. If two servers' hashes collide
// their counts are added up, which only makes the load estimates less accurate.
inline std::uint32_t load_hash(const server_key& key) {
    return static_cast<std::uint32_t>(hash(key));
}

// A backend server that is leaving.
struct leaving_server {
    server_key key;
    duration age{}; // since the server was last reported as leaving
};

// Sent periodically to a few peers.
struct heartbeat {
    member sender;
    std::uint64_t sequence = 0;
    std::uint64_t table_version = 0; // of the routes, between routers
    duration table_age{};      // since the platform last confirmed the table
    store_time routes_as_of{}; // when the routes were known to be the newest
    std::vector<server_load> loads;
    std::vector<leaving_server> leaving;
    std::vector<member> members;
    std::size_t sharing_instances = 0; // that the sender itself counts
};

// Requests table rows newer than `have_version` from a peer. A peer answers
// even if it has no newer rows; the answer then confirms the version held.
struct table_request {
    store_version have_version;
    std::uint64_t number = 0;         // assigned by the sender
    bool include_large_rows = false;  // set if the sender cannot read the store
    std::uint64_t routes_version = 0; // of the sender's routes, or 0
    // Only instances in this failure domain answer; empty: all.
    std::string failure_domain = {};
};

// Answers a table_request, or announces changed rows.
struct table_rows {
    std::uint64_t request_number = 0;
    store_version table_version; // of the last row if has_more
    duration age{};
    std::vector<raw_row> rows;
    std::vector<row_delta> deltas;
    std::size_t omitted_bytes = 0;    // size of rows too large for a message
    bool has_more = false;            // newer rows remain to be requested
    std::uint64_t digest = 0;         // of all directory rows; 0 without one
    std::uint64_t routes_version = 0; // of the routes; 0 without them
    store_time routes_as_of{}; // when they were last known to be the newest
    store_time as_of{};        // the same for the whole directory
    // The instance that read these rows from the platform and announces them
    // to all peers; nullopt in an answer to a request.
    std::optional<incarnation> origin;
};

using peer_message =
    std::variant<heartbeat, table_request, table_rows, suspect_report>;

} // namespace lacewingbeam

#endif
