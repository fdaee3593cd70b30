#ifndef LACEWINGBEAM_TOOL_REQUEST_EVENTS_HPP
#define LACEWINGBEAM_TOOL_REQUEST_EVENTS_HPP

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Collects the log events of one request from the logs of several instances.
namespace lacewingbeam {

// A parsed log line; docs/EVENTS.md describes the format.
struct log_line {
    std::string instance; // instance that wrote the line
    std::string time;     // as written; sorts as text within a day
    std::string number;   // LB1601
    std::string name;
    std::map<std::string, std::string> fields;
    std::string text; // number, name and fields as written
};

// Parses a log line. The last word of a prefix that a log collector puts before
// the time is taken as the instance name; without a prefix, `instance` is used.
// Returns nothing if the text is not a log line.
std::optional<log_line> parse_log_line(std::string_view line,
                                       std::string_view instance);

// Returns the lines with the request's id, sorted by time, together with lines
// of the same instances up to the last of them that can explain them: table
// changes of the backend servers that the request was sent to, starts, stops
// and reloads, and the loss and recovery of the store or of the peers that
// relay its data.
std::vector<log_line> find_request_events(std::span<const log_line> lines,
                                          std::string_view request_id);

} // namespace lacewingbeam

#endif
