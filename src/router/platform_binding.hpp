#ifndef LACEWINGBEAM_ROUTER_PLATFORM_BINDING_HPP
#define LACEWINGBEAM_ROUTER_PLATFORM_BINDING_HPP

#include "lacewingbeam/directory_follower.hpp"
#include "lacewingbeam/expected_time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The platform's header names, paths and formats. The router depends on the
// platform only through these.
namespace lacewingbeam {

// Names of the headers between callers, instances and backend servers.
struct platform_header_names {
    std::string request_id;      // set by the caller for each request
    std::string time_left_ms;    // until the caller, or the instance, gives up
    std::string expected_server; // the only server that may run the request
    std::string server_id;       // the backend server that responds
    std::string signature;       // set by the server on every response
    std::string not_run;         // set if the server did not run the request
    std::string load;            // parsed by parse_load
    std::string request_limit;   // parsed by parse_request_limit
    std::string leaving;         // parsed by parse_leaving
    std::string pause;           // parsed by parse_pause, in a refusal
    std::string store_era; // number of restores, in all responses of the store
};

// One page of rows from the store.
struct store_response {
    store_page page;
    std::optional<std::string> continue_from; // first key of the next page
    std::vector<std::string> row_errors;      // one for each invalid row
};

// Thrown if a response of the store, or a value in it, is invalid.
class store_format_error : public error {
public:
    using error::error;
};

struct platform_binding {
    platform_header_names headers;
    std::string readiness_path;

    // Return the path and query of a read. `from` is the first key to read, and
    // empty for the first page.
    std::function<std::string(const read_snapshot&, std::string_view from)>
        snapshot_target;
    std::function<std::string(const read_changes&)> changes_target;

    // Parses the response to either read, made in this era of the store. Throws
    // store_format_error.
    std::function<store_response(store_table, bool snapshot, std::uint64_t era,
                                 std::string_view)>
        parse_response;

    // Returns nullopt if the text is not a valid load.
    std::function<std::optional<server_load_sample>(std::string_view)>
        parse_load;

    // Parses the requests per second that a server accepts from all instances.
    // Returns nullopt if the text is not a finite number of at least zero.
    std::function<std::optional<double>(std::string_view)> parse_request_limit;

    // Returns true if the server that responds is leaving.
    std::function<bool(std::string_view)> parse_leaving;

    // Parses the time for which a server that refused a request wants no others
    // from this instance. Returns nullopt if the text is not a finite number of
    // at least zero.
    std::function<std::optional<duration>(std::string_view)> parse_pause;
};

} // namespace lacewingbeam

#endif
