#ifndef LACEWINGBEAM_ADAPTERS_TRACE_RECORDER_HPP
#define LACEWINGBEAM_ADAPTERS_TRACE_RECORDER_HPP

#include "lacewingbeam/core.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// W3C Trace Context and a buffer of recent spans for export.
namespace lacewingbeam {

struct trace_context {
    std::string trace_id; // 32 hexadecimal digits
    std::string span_id;  // 16 hexadecimal digits
    bool sampled = false;
};

// Parses a traceparent header; returns nullopt if it is malformed.
std::optional<trace_context> parse_traceparent(std::string_view text);

std::string to_traceparent(const trace_context& context);

// One operation of a trace, such as a call or one attempt of it.
struct span {
    trace_context context;
    std::string parent_span_id; // empty for the root span
    std::string name;
    time_point started;
    duration length{};
    std::string service;
    std::string backend_server; // empty for the instance's own span
    std::string outcome;
};

class trace_recorder {
public:
    // Of the calls without a traceparent, `sample_rate` in 10000 are traced.
    trace_recorder(std::uint64_t seed, unsigned sample_rate);

    // Returns the context of a new child span of `parent`, or of a root span.
    trace_context begin(const std::optional<trace_context>& parent);

    // Stores the span if it is sampled; drops the oldest one if the buffer is
    // full.
    void record(span value);

    // Returns the stored spans as JSON lines, oldest first.
    std::string export_lines() const;

private:
    std::string random_hex(std::size_t digits);

    random_engine engine_;
    unsigned sample_rate_;
    std::deque<span> spans_;
};

} // namespace lacewingbeam

#endif
