#ifndef LACEWINGBEAM_TOOL_REQUEST_EVENTS_HPP
#define LACEWINGBEAM_TOOL_REQUEST_EVENTS_HPP

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// One request's way through the logs of several instances.
namespace lacewingbeam {

// A line of a log as docs/EVENTS.md describes it.
struct log_line {
    std::string instance; // which log it is from
    std::string time;     // as written; texts of one day sort by time
    std::string number;   // LB1601
    std::string name;
    std::map<std::string, std::string> fields;
    std::string text; // number, name and fields as written
};

// Reads a line; what a collector of logs puts before the time is taken as the
// instance's name if it ends with a word, else `instance` is. Nothing if it is
// no line of a log.
std::optional<log_line> parse_log_line(std::string_view line,
                                       std::string_view instance);

// The lines that bear the request's id, and among those of the same instances
// what they learned meanwhile: of the backend servers that the request was
// sent to, and of losing and regaining the store or the peers that tell of
// it. In order of time.
std::vector<log_line> find_request_events(std::span<const log_line> lines,
                                          std::string_view request_id);

} // namespace lacewingbeam

#endif
