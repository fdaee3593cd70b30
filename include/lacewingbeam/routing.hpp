#ifndef LACEWINGBEAM_ROUTING_HPP
#define LACEWINGBEAM_ROUTING_HPP

#include "core.hpp"
#include "table.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Routes: which service handles a request, and how.
namespace lacewingbeam {

// What may be sent again after a send whose outcome is not known.
enum class retry_policy { retryable, at_most_once };

// A service's part of a route's requests, relative to the other parts.
struct weighted_service {
    std::string service;
    double weight = 1;

    bool operator==(const weighted_service&) const = default;
};

// Requests to a host whose path begins with a prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    std::vector<weighted_service> services;
    retry_policy retry = retry_policy::at_most_once;
    std::optional<duration> time_limit; // longest wait; none: the caller's
    std::optional<duration> objective;  // response-time objective
    unsigned max_attempts = 1;          // backend servers one request may reach
    unsigned priority = 0;              // 0 is the most urgent

    bool operator==(const route&) const = default;
};

// What a route says of a service beyond its name.
struct service_options {
    std::string health_path = "/";
    unsigned max_connections = 64; // of one backend server, over all callers

    bool operator==(const service_options&) const = default;
};

// What callers may send.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

// All routes of one version. A version replaces the one before it as a whole.
class routing_table {
public:
    std::string version; // as the operators write it
    std::vector<route> routes;
    std::map<std::string, service_options, std::less<>> services;
    caller_limits limits;

    // The route of that host with the longest matching prefix; null if there
    // is none. A port behind the host's name is ignored.
    const route* match(std::string_view host, std::string_view path) const;

    // The terms of a service; the defaults if the table does not name it.
    const service_options& options_of(std::string_view service) const;

    bool operator==(const routing_table&) const = default;
};

// The row that holds a routing table, and its key.
inline constexpr std::string_view routing_row_key = "routing";
raw_row make_row(const routing_table& table, std::uint64_t revision);

// Reads the form written by make_row. Throws table_error.
routing_table parse_routing(const raw_row& row);

} // namespace lacewingbeam

#endif
