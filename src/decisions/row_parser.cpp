#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/number.hpp"
#include "lacewingbeam/table.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>

namespace lacewingbeam {

namespace {

constexpr std::array<std::string_view, 8> service_cells{
    "non_idempotent", "long_work",     "deadline_ms", "queue_limit",
    "limit",          "probe_cost_ms", "probe_share", "max_instances"};
constexpr std::array<std::string_view, 6> server_cells{
    "address", "failure_domain", "weight", "slots", "connections", "state"};

// Cells that the command-line tool adds to each edit.
constexpr std::array<std::string_view, 3> edit_cells{"edit_id", "edited_by",
                                                     "edited_at"};

constexpr double max_deadline_ms = 3600e3;
constexpr double max_probe_cost_ms = 60e3;
constexpr unsigned max_queue = 100000;
constexpr unsigned max_count = 1000000;
constexpr double max_weight = 1000;
constexpr std::size_t max_name_length = 64;

[[noreturn]] void reject(const raw_row& row, std::string_view cell_name,
                         const std::string& problem) {
    throw table_error("row " + row.key + ", cell " + std::string(cell_name) +
                      ": " + problem);
}

double parse_number(const raw_row& row, std::string_view name, double low,
                    double high, double fallback) {
    const auto text = row.value_of(name);
    if (text.empty()) {
        return fallback;
    }
    const auto value = to_number<double>(text);
    if (!value || !(*value >= low && *value <= high)) {
        reject(row, name,
               "\"" + std::string(text) + "\" is not a number from " +
                   std::to_string(low) + " to " + std::to_string(high));
    }
    return *value;
}

unsigned parse_count(const raw_row& row, std::string_view name, unsigned low,
                     unsigned high, unsigned fallback) {
    const auto text = row.value_of(name);
    if (text.empty()) {
        return fallback;
    }
    const auto value = to_number<unsigned>(text);
    if (!value || *value < low || *value > high) {
        reject(row, name,
               "\"" + std::string(text) + "\" is not a whole number from " +
                   std::to_string(low) + " to " + std::to_string(high));
    }
    return *value;
}

duration parse_ms(const raw_row& row, std::string_view name, double low,
                  double high, double fallback) {
    const double value = parse_number(row, name, low, high, fallback);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

request_rule parse_rule(const raw_row& row, std::string_view name,
                        std::string text) {
    boost::algorithm::trim(text);
    const auto space = text.find(' ');
    request_rule rule;
    rule.method = text.substr(0, space);
    rule.path_prefix =
        space == std::string::npos ? "/" : text.substr(space + 1);
    boost::algorithm::trim(rule.path_prefix);
    const bool good_method =
        rule.method == "*" ||
        (!rule.method.empty() &&
         std::all_of(rule.method.begin(), rule.method.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; }));
    if (!good_method || !rule.path_prefix.starts_with('/')) {
        reject(row, name,
               "\"" + text + "\" is not of the form METHOD /path or * /path");
    }
    return rule;
}

std::vector<request_rule> parse_rules(const raw_row& row,
                                      std::string_view name) {
    std::vector<request_rule> rules;
    const std::string text(row.value_of(name));
    if (text.empty() || text == "none" || text == "default") {
        return rules;
    }
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [](char c) { return c == ';'; });
    for (auto& part : parts) {
        rules.push_back(parse_rule(row, name, std::move(part)));
    }
    return rules;
}

bool is_plain_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '.';
           });
}

void check_name(const raw_row& row, std::string_view name) {
    if (!is_plain_name(name)) {
        throw table_error("row " + row.key + ": \"" + std::string(name) +
                          "\" is not a name of 1 to 64 characters out of "
                          "a-z, 0-9, '-', '_' and '.'");
    }
}

void check_cells(const raw_row& row, std::span<const std::string_view> known) {
    for (const auto& item : row.cells) {
        const bool is_known =
            std::find(known.begin(), known.end(), item.name) != known.end();
        const bool is_edit = std::find(edit_cells.begin(), edit_cells.end(),
                                       item.name) != edit_cells.end();
        if (!is_known && !is_edit) {
            std::string names = boost::algorithm::join(
                std::vector<std::string>(known.begin(), known.end()), ", ");
            reject(row, item.name, "unknown cell; known cells are " + names);
        }
    }
}

std::string parse_address(const raw_row& row) {
    std::string text(row.value_of("address"));
    if (!parse_endpoint(text)) {
        reject(row, "address",
               "\"" + text + "\" is not an IP address and port, IP:port");
    }
    return text;
}

bool parse_leaving(const raw_row& row) {
    const auto text = row.value_of("state");
    if (text.empty() || text == "active") {
        return false;
    }
    if (text != "leaving") {
        reject(row, "state",
               "\"" + std::string(text) + "\" is neither active nor leaving");
    }
    return true;
}

bool matches_any(const std::vector<request_rule>& rules,
                 std::string_view method, std::string_view path) {
    return std::any_of(rules.begin(), rules.end(), [&](const auto& rule) {
        return rule.matches(method, path);
    });
}

// Methods that RFC 9110, section 9.2.2, defines as idempotent.
bool is_idempotent_method(std::string_view method) {
    constexpr std::array<std::string_view, 6> methods{
        "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace

std::string_view raw_row::value_of(std::string_view name) const {
    for (const auto& item : cells) {
        if (item.name == name) {
            return item.value;
        }
    }
    return {};
}

bool request_rule::matches(std::string_view request_method,
                           std::string_view path) const {
    if (method != "*" && method != request_method) {
        return false;
    }
    return path.starts_with(path_prefix);
}

bool service_row::is_idempotent(std::string_view method,
                                std::string_view path) const {
    if (matches_any(non_idempotent, method, path)) {
        return false;
    }
    return !default_methods || is_idempotent_method(method);
}

work_length service_row::length_of(std::string_view method,
                                   std::string_view path) const {
    return matches_any(long_work, method, path) ? work_length::long_work
                                                : work_length::short_work;
}

bool is_server_key(std::string_view row_key) {
    return row_key.find('/') != std::string_view::npos;
}

std::span<const std::string_view> cell_names(bool server_row) {
    if (server_row) {
        return server_cells;
    }
    return service_cells;
}

service_row parse_service_row(const raw_row& row) {
    check_name(row, row.key);
    check_cells(row, service_cells);
    constexpr double default_deadline_ms = 1000;
    constexpr unsigned default_queue = 256;
    constexpr double default_probe_cost_ms = 1;
    constexpr double default_probe_share = 0.01;
    constexpr unsigned default_max_instances = 24;
    service_row parsed;
    parsed.name = row.key;
    parsed.default_methods = row.value_of("non_idempotent").empty() ||
                             row.value_of("non_idempotent") == "default";
    parsed.non_idempotent = parse_rules(row, "non_idempotent");
    parsed.long_work = parse_rules(row, "long_work");
    parsed.deadline =
        parse_ms(row, "deadline_ms", 1, max_deadline_ms, default_deadline_ms);
    parsed.queue_limit =
        parse_count(row, "queue_limit", 0, max_queue, default_queue);
    parsed.limit = parse_count(row, "limit", 0, max_count, 0);
    parsed.probe_cost = parse_ms(row, "probe_cost_ms", 0, max_probe_cost_ms,
                                 default_probe_cost_ms);
    parsed.probe_share =
        parse_number(row, "probe_share", 0, 1, default_probe_share);
    parsed.max_instances =
        parse_count(row, "max_instances", 1, max_count, default_max_instances);
    return parsed;
}

server_row parse_server_row(const raw_row& row) {
    const auto slash = row.key.find('/');
    server_row parsed;
    parsed.key.service = row.key.substr(0, slash);
    parsed.key.backend_server =
        slash == std::string::npos ? "" : row.key.substr(slash + 1);
    check_name(row, parsed.key.service);
    check_name(row, parsed.key.backend_server);
    check_cells(row, server_cells);
    parsed.address = parse_address(row);
    parsed.failure_domain = std::string(row.value_of("failure_domain"));
    parsed.weight = parse_number(row, "weight", 0, max_weight, 1);
    parsed.slots = parse_count(row, "slots", 1, max_count, 1);
    parsed.connections =
        parse_count(row, "connections", 1, max_count, parsed.slots);
    parsed.leaving = parse_leaving(row);
    return parsed;
}

void validate(const raw_row& row) {
    if (row.deleted) {
        return;
    }
    if (is_server_key(row.key)) {
        parse_server_row(row);
    } else {
        parse_service_row(row);
    }
}

} // namespace lacewingbeam
