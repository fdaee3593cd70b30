#ifndef LACEWINGBEAM_ROUTER_PLATFORM_BINDING_HPP
#define LACEWINGBEAM_ROUTER_PLATFORM_BINDING_HPP

#include "lacewingbeam/directory_follower.hpp"
#include "lacewingbeam/expected_time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What a platform calls things: the router's only knowledge of it.
namespace lacewingbeam {

// Names of the headers between callers, instances and backend servers.
struct platform_header_names {
    std::string request_id;      // one for each send of a caller
    std::string time_left_ms;    // how long the caller, or we, will wait
    std::string expected_server; // only this backend server may run it
    std::string server_id;       // the backend server that answers
    std::string signature;       // stands on every answer of a server
    std::string not_run;         // the server did not run the request
    std::string load;            // read by parse_load
};

// One answer of the store.
struct store_response {
    store_page page;
    std::optional<std::string> continue_from; // key at which more rows begin
    std::vector<std::string> row_errors;      // rows that cannot be read
};

// Thrown for an answer of the store that cannot be read.
class store_format_error : public error {
public:
    using error::error;
};

struct platform_binding {
    platform_header_names headers;
    std::string readiness_path;

    // Path and query of a read, from a key on.
    std::function<std::string(const read_snapshot&, std::string_view from)>
        snapshot_target;
    std::function<std::string(const read_changes&)> changes_target;

    // Reads the answer to either. Throws store_format_error.
    std::function<store_response(store_table, bool snapshot, std::string_view)>
        parse_response;

    // Nothing if the text is not a load.
    std::function<std::optional<server_load_sample>(std::string_view)>
        parse_load;
};

} // namespace lacewingbeam

#endif
