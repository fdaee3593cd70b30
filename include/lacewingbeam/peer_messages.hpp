#ifndef LACEWINGBEAM_PEER_MESSAGES_HPP
#define LACEWINGBEAM_PEER_MESSAGES_HPP

#include "core.hpp"
#include "membership.hpp"
#include "row_delta.hpp"
#include "table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// What instances tell each other.
namespace lacewingbeam {

// The sender's own requests in flight at one backend server.
struct server_load {
    std::uint32_t server_hash = 0; // load_hash of its key
    unsigned in_flight = 0;
    unsigned long_in_flight = 0;
};

// Names a backend server in load reports. Two servers with one hash share
// their counts, which only makes the estimate worse.
inline std::uint32_t load_hash(const server_key& key) {
    return static_cast<std::uint32_t>(hash(key));
}

// A backend server that is leaving, and how long ago that was last said.
struct leaving_server {
    server_key key;
    duration age{};
};

// Sent to a few peers in each round.
struct heartbeat {
    member sender;
    std::uint64_t sequence = 0;
    std::uint64_t table_version = 0;
    duration table_age{}; // since the table was confirmed by the platform
    std::vector<server_load> loads;
    std::vector<leaving_server> leaving;
    std::vector<member> members;
};

// Asks a peer for table rows newer than the version held. It is always
// answered, so that the answer confirms what is held, too.
struct table_request {
    std::uint64_t have_version = 0;
    std::uint64_t number = 0;        // the sender's own
    bool include_large_rows = false; // large rows too: the store cannot be read
};

// Answers table_request.
struct table_rows {
    std::uint64_t request_number = 0;
    std::uint64_t table_version = 0; // of the last row if there are more
    duration age{};
    std::vector<raw_row> rows;
    std::vector<row_delta> deltas;
    std::size_t omitted_bytes = 0; // bytes of rows too large to be told
    bool has_more = false;         // newer rows are left
    std::uint64_t digest = 0;      // of a directory's rows; 0 without directory
    // Who read the platform and tells everybody; nothing in an answer to a
    // request.
    std::optional<incarnation> origin;
};

using peer_message = std::variant<heartbeat, table_request, table_rows>;

} // namespace lacewingbeam

#endif
