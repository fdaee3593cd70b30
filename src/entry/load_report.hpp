#ifndef LACEWINGBEAM_ENTRY_LOAD_REPORT_HPP
#define LACEWINGBEAM_ENTRY_LOAD_REPORT_HPP

#include "lacewingbeam/server_state.hpp"

#include <optional>
#include <string_view>

// Backend servers' load reports in the form of Open Request Cost Aggregation
// (ORCA).
namespace lacewingbeam {

// Reads the value of an endpoint-load-metrics header in its JSON form:
// JSON {"named_metrics":{"in_flight":2,"queued":0}}. Nothing if malformed.
std::optional<load_report> parse_load_header(std::string_view text);

// Reads the JSON object alone, as a load endpoint serves it.
std::optional<load_report> parse_load_json(std::string_view text);

} // namespace lacewingbeam

#endif
