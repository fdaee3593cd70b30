#include "trace_recorder.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

constexpr std::size_t trace_digits = 32;
constexpr std::size_t span_digits = 16;
constexpr std::size_t flag_digits = 2;
constexpr std::size_t max_spans = 1000;
constexpr unsigned sample_scale = 10000;
constexpr std::string_view hex_digits = "0123456789abcdef";

bool is_hex(std::string_view text, std::size_t size) {
    return text.size() == size &&
           text.find_first_not_of(hex_digits) == std::string_view::npos;
}

bool is_zero(std::string_view text) {
    return text.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) {
    constexpr std::size_t size =
        2 + 1 + trace_digits + 1 + span_digits + 1 + flag_digits;
    if (text.size() < size || text.substr(0, 2) == "ff" ||
        (text.substr(0, 2) == "00" && text.size() != size)) {
        return std::nullopt;
    }
    const auto trace_id = text.substr(3, trace_digits);
    const auto span_id = text.substr(4 + trace_digits, span_digits);
    const auto flags = text.substr(5 + trace_digits + span_digits, flag_digits);
    const bool well_formed =
        is_hex(text.substr(0, 2), 2) && is_hex(trace_id, trace_digits) &&
        is_hex(span_id, span_digits) && is_hex(flags, flag_digits) &&
        text[2] == '-' && text[3 + trace_digits] == '-' &&
        text[4 + trace_digits + span_digits] == '-';
    if (!well_formed || is_zero(trace_id) || is_zero(span_id)) {
        return std::nullopt;
    }
    const auto low_digit = hex_digits.find(flags[1]);
    return trace_context{std::string(trace_id), std::string(span_id),
                         (low_digit & 1U) != 0};
}

std::string to_traceparent(const trace_context& context) {
    return "00-" + context.trace_id + "-" + context.span_id +
           (context.sampled ? "-01" : "-00");
}

trace_recorder::trace_recorder(std::uint64_t seed, unsigned sample_rate)
    : engine_(seed), sample_rate_(sample_rate) {}

std::string trace_recorder::random_hex(std::size_t digits) {
    boost::random::uniform_int_distribution<std::size_t> pick(
        0, hex_digits.size() - 1);
    std::string text;
    for (std::size_t i = 0; i < digits; ++i) {
        text += hex_digits[pick(engine_)];
    }
    return text;
}

trace_context
trace_recorder::begin(const std::optional<trace_context>& parent) {
    if (parent) {
        return {parent->trace_id, random_hex(span_digits), parent->sampled};
    }
    boost::random::uniform_int_distribution<unsigned> pick(0, sample_scale - 1);
    const bool sampled = pick(engine_) < sample_rate_;
    return {random_hex(trace_digits), random_hex(span_digits), sampled};
}

void trace_recorder::record(span value) {
    if (!value.context.sampled) {
        return;
    }
    if (spans_.size() >= max_spans) {
        spans_.pop_front();
    }
    spans_.push_back(std::move(value));
}

std::string trace_recorder::export_lines() const {
    std::string lines;
    for (const auto& item : spans_) {
        const nlohmann::json line{
            {"trace_id", item.context.trace_id},
            {"span_id", item.context.span_id},
            {"parent_span_id", item.parent_span_id},
            {"name", item.name},
            {"start_us", item.started.time_since_epoch().count()},
            {"duration_us", item.length.count()},
            {"service", item.service},
            {"backend_server", item.backend_server},
            {"outcome", item.outcome}};
        lines += line.dump() + "\n";
    }
    return lines;
}

} // namespace lacewingbeam
