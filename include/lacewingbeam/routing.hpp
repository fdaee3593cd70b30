#ifndef LACEWINGBEAM_ROUTING_HPP
#define LACEWINGBEAM_ROUTING_HPP

#include "core.hpp"
#include "table.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Routes map requests to services and set how they are handled.
namespace lacewingbeam {

// Whether a request may be resent after an attempt with an unknown outcome.
enum class retry_policy { retryable, at_most_once };

// A service and its share of a route's requests, relative to the other
// services of the route.
struct weighted_service {
    std::string service;
    double weight = 1;

    bool operator==(const weighted_service&) const = default;
};

// Matches requests to a host whose path starts with a prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    std::vector<weighted_service> services;
    retry_policy retry = retry_policy::at_most_once;
    std::optional<duration> time_limit; // if unset, only the caller's applies
    std::optional<duration> objective;  // response-time objective (SLO)
    unsigned max_attempts = 1;          // backend servers tried per request
    unsigned priority = 0;              // 0 is the highest

    bool operator==(const route&) const = default;
};

// Per-service options that routes refer to.
struct service_options {
    std::string health_path = "/";
    unsigned max_connections = 64; // per backend server, from all callers

    bool operator==(const service_options&) const = default;
};

// Limits on what callers may send.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

// All routes of one version. A new version replaces the previous one entirely.
class routing_table {
public:
    std::string version; // as set by the operators
    std::vector<route> routes;
    std::map<std::string, service_options, std::less<>> services;
    caller_limits limits;

    // Returns the host's route with the longest matching prefix, or null if
    // there is none. A port after the host name is ignored.
    const route* match(std::string_view host, std::string_view path) const;

    // Returns the options of a service, or the defaults if the table has none.
    const service_options& options_of(std::string_view service) const;

    bool operator==(const routing_table&) const = default;
};

// The key of the row that holds a routing table, and the encoding of that row.
// Operators number their versions. The number orders the rows, so that routes
// do not go back when the store does.
inline constexpr std::string_view routing_row_key = "routing";
raw_row make_row(const routing_table& table, std::uint64_t number);

// Parses a row made by make_row. Throws table_error if it is invalid.
routing_table parse_routing(const raw_row& row);

// Updates a table that was parsed from `before` to `after`, and parses only the
// routes that differ. Throws table_error, and leaves the table as it is, if
// `after` is invalid.
void update_routing(routing_table& table, const raw_row& before,
                    const raw_row& after);

} // namespace lacewingbeam

#endif
