#ifndef LACEWINGBEAM_ENTRY_LOAD_REPORT_HPP
#define LACEWINGBEAM_ENTRY_LOAD_REPORT_HPP

#include "lacewingbeam/server_state.hpp"

#include <optional>
#include <string_view>

// Load reports of backend servers in the format of Open Request Cost
// Aggregation (ORCA).
namespace lacewingbeam {

// Parses the value of an endpoint-load-metrics header in its JSON form:
// JSON {"named_metrics":{"in_flight":2,"queued":0}}. Returns nullopt if it is
// malformed.
std::optional<load_report> parse_load_header(std::string_view text);

// Parses the JSON object alone, as served by a load endpoint.
std::optional<load_report> parse_load_json(std::string_view text);

} // namespace lacewingbeam

#endif
