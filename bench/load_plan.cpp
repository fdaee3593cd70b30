#include "load_plan.hpp"
#include "lacewingbeam/number.hpp"

#include <boost/algorithm/string.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>

namespace lacewingbeam::bench {

namespace {

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    const std::string copy(text);
    boost::algorithm::split(parts, copy,
                            [separator](char c) { return c == separator; });
    return parts;
}

double parse_number(const std::string& text) {
    const auto value = to_number<double>(text);
    if (!value || *value < 0) {
        throw error("\"" + text + "\" is not a non-negative number");
    }
    return *value;
}

duration to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// Parses "250ms" or "2s".
duration parse_duration(const std::string& text) {
    constexpr double ms = 0.001;
    if (text.ends_with("ms")) {
        return to_duration(parse_number(text.substr(0, text.size() - 2)) * ms);
    }
    if (text.ends_with("s")) {
        return to_duration(parse_number(text.substr(0, text.size() - 1)));
    }
    throw error("\"" + text + "\" is not a duration such as 2s or 250ms");
}

std::size_t draw_class(const std::vector<work_class>& classes,
                       random_engine& engine) {
    std::vector<double> shares;
    shares.reserve(classes.size());
    for (const auto& item : classes) {
        shares.push_back(item.share);
    }
    return boost::random::discrete_distribution<std::size_t>(shares)(engine);
}

duration draw_exponential(duration mean, random_engine& engine) {
    if (mean <= duration::zero()) {
        return mean;
    }
    const double rate = 1 / std::chrono::duration<double>(mean).count();
    return to_duration(
        boost::random::exponential_distribution<double>(rate)(engine));
}

} // namespace

std::vector<phase> parse_phases(std::string_view text) {
    std::vector<phase> phases;
    for (const auto& part : split(text, ',')) {
        const auto colon = part.find(':');
        const auto at = part.find('@');
        if (colon == std::string::npos || at == std::string::npos ||
            at < colon) {
            throw error("\"" + part + "\" is not of the form name:10s@200");
        }
        phases.push_back(
            {part.substr(0, colon),
             parse_duration(part.substr(colon + 1, at - colon - 1)),
             parse_number(part.substr(at + 1))});
    }
    return phases;
}

work_class parse_class(std::string_view text) {
    const auto parts = split(text, ':');
    constexpr std::size_t required_parts = 6;
    const bool has_option = parts.size() == required_parts + 1;
    const bool ticketed = has_option && parts.back() == "ticket";
    const bool keyed = has_option && parts.back() == "key";
    if (parts.size() != required_parts && !ticketed && !keyed) {
        throw error("\"" + std::string(text) +
                    "\" is not of the form "
                    "name:share:METHOD:/path:work:bytes[:ticket|:key]");
    }
    work_class parsed;
    parsed.name = parts[0];
    parsed.share = parse_number(parts[1]);
    parsed.method = parts[2];
    parsed.target = parts[3];
    parsed.mean_work = parse_duration(parts[4]);
    parsed.answer_bytes = static_cast<std::size_t>(parse_number(parts[5]));
    parsed.ticketed = ticketed;
    parsed.keyed = keyed;
    return parsed;
}

load_plan make_plan(std::vector<phase> phases, std::vector<work_class> classes,
                    std::uint64_t seed) {
    load_plan plan;
    plan.phases = std::move(phases);
    plan.classes = std::move(classes);
    random_engine engine(seed);
    duration start{};
    for (std::size_t i = 0; i < plan.phases.size(); ++i) {
        const auto& current_phase = plan.phases[i];
        const auto mean_gap =
            to_duration(current_phase.rate > 0 ? 1 / current_phase.rate : 1e6);
        auto at = start + draw_exponential(mean_gap, engine);
        while (at < start + current_phase.length) {
            const auto class_index = draw_class(plan.classes, engine);
            plan.calls.push_back(
                {at, i, class_index,
                 draw_exponential(plan.classes[class_index].mean_work,
                                  engine)});
            at += draw_exponential(mean_gap, engine);
        }
        start += current_phase.length;
    }
    return plan;
}

} // namespace lacewingbeam::bench
