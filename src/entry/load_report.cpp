#include "load_report.hpp"

#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

constexpr std::string_view json_prefix = "JSON ";
constexpr double max_load = 1e6;

bool is_plausible(double value) {
    return value >= 0 && value <= max_load;
}

} // namespace

std::optional<load_report> parse_load_header(std::string_view text) {
    if (!text.starts_with(json_prefix)) {
        return std::nullopt;
    }
    return parse_load_json(text.substr(json_prefix.size()));
}

std::optional<load_report> parse_load_json(std::string_view text) {
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("named_metrics")) {
        return std::nullopt;
    }
    const auto& named = value["named_metrics"];
    if (!named.is_object()) {
        return std::nullopt;
    }
    const auto parse_metric = [&](const char* name) {
        const auto found = named.find(name);
        const bool usable = found != named.end() && found->is_number();
        return usable ? found->get<double>() : -1.0;
    };
    load_report report{parse_metric("in_flight"), parse_metric("queued")};
    if (!is_plausible(report.in_flight)) {
        return std::nullopt;
    }
    if (!is_plausible(report.queued)) {
        report.queued = 0;
    }
    return report;
}

} // namespace lacewingbeam
