#ifndef LACEWINGBEAM_ADAPTERS_TRACE_RECORDER_HPP
#define LACEWINGBEAM_ADAPTERS_TRACE_RECORDER_HPP

#include "lacewingbeam/core.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Trace context as in W3C Trace Context, and the latest spans for export.
namespace lacewingbeam {

struct trace_context {
    std::string trace_id; // 32 hexadecimal digits
    std::string span_id;  // 16 hexadecimal digits
    bool sampled = false;
};

// Reads a traceparent header; nothing if it is malformed.
std::optional<trace_context> parse_traceparent(std::string_view text);

std::string to_traceparent(const trace_context& context);

// One hop of a call.
struct span {
    trace_context context;
    std::string parent_span_id; // empty for the first span of a trace
    std::string name;
    time_point started;
    duration length{};
    std::string service;
    std::string backend_server; // empty for the instance's own span
    std::string outcome;
};

class trace_recorder {
public:
    // `sample_rate` calls of ten thousand are traced if their caller did not
    // say.
    trace_recorder(std::uint64_t seed, unsigned sample_rate);

    // The context of a new span below `parent`.
    trace_context begin(const std::optional<trace_context>& parent);

    // Keeps the span if it is sampled; the oldest go first.
    void record(span value);

    // The kept spans as JSON, one a line, oldest first.
    std::string export_lines() const;

private:
    std::string random_hex(std::size_t digits);

    random_engine engine_;
    unsigned sample_rate_;
    std::deque<span> spans_;
};

} // namespace lacewingbeam

#endif
