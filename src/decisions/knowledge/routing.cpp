#include "lacewingbeam/routing.hpp"
#include "lacewingbeam/number.hpp"

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace lacewingbeam {

namespace {

// Each route and each service is one cell of space-separated field=value pairs.
constexpr std::string_view route_cell = "route ";
constexpr std::string_view service_cell = "service ";
constexpr std::string_view version_cell = "version";
constexpr std::string_view limits_cell = "limits";

std::int64_t to_microseconds(duration value) {
    return value.count();
}

[[noreturn]] void reject(std::string_view cell, const std::string& problem) {
    throw table_error("row " + std::string(routing_row_key) + ", cell \"" +
                      std::string(cell) + "\": " + problem);
}

// Parses the fields of one cell.
class field_reader {
public:
    explicit field_reader(const cell& source) : cell_(source.name) {
        std::vector<std::string> parts;
        boost::algorithm::split(parts, source.value,
                                [](char c) { return c == ' '; });
        for (const auto& part : parts) {
            const auto equals = part.find('=');
            if (equals == std::string::npos) {
                reject(cell_,
                       "\"" + part + "\" is not of the form field=value");
            }
            fields_[part.substr(0, equals)] = part.substr(equals + 1);
        }
    }

    const std::string& text(const std::string& name) const {
        const auto found = fields_.find(name);
        if (found == fields_.end()) {
            reject(cell_, "field \"" + name + "\" is missing");
        }
        return found->second;
    }

    bool has(const std::string& name) const { return fields_.contains(name); }

    template <class Number>
    Number number(const std::string& name) const {
        return checked<Number>(name, text(name));
    }

    template <class Number>
    Number checked(const std::string& name, std::string_view text) const {
        const auto value = to_number<Number>(text);
        if (!value) {
            reject(cell_, "field \"" + name + "\": \"" + std::string(text) +
                              "\" is not a number");
        }
        return *value;
    }

    duration time(const std::string& name) const {
        return duration(number<duration::rep>(name));
    }

private:
    std::string cell_;
    std::map<std::string, std::string, std::less<>> fields_;
};

std::string write_services(const std::vector<weighted_service>& services) {
    std::string text;
    for (const auto& part : services) {
        text += (text.empty() ? "" : ",") + part.service + ":" +
                std::to_string(part.weight);
    }
    return text;
}

std::vector<weighted_service> read_services(const field_reader& fields) {
    std::vector<std::string> parts;
    boost::algorithm::split(parts, fields.text("services"),
                            [](char c) { return c == ','; });
    std::vector<weighted_service> services;
    for (const auto& part : parts) {
        const auto colon = part.rfind(':');
        const auto weight = colon == std::string::npos
                                ? std::string_view("1")
                                : std::string_view(part).substr(colon + 1);
        services.push_back({part.substr(0, colon),
                            fields.checked<double>("services", weight)});
    }
    return services;
}

std::string write_route(const route& value) {
    std::string text =
        "host=" + value.host + " prefix=" + value.prefix +
        " repeats=" + (value.retry == retry_policy::retryable ? "yes" : "no") +
        " attempts=" + std::to_string(value.max_attempts) +
        " priority=" + std::to_string(value.priority) +
        " services=" + write_services(value.services);
    if (value.time_limit) {
        text += " limit=" + std::to_string(to_microseconds(*value.time_limit));
    }
    if (value.objective) {
        text +=
            " objective=" + std::to_string(to_microseconds(*value.objective));
    }
    return text;
}

route read_route(const cell& source) {
    const field_reader fields(source);
    route value;
    value.name = source.name.substr(route_cell.size());
    value.host = fields.text("host");
    value.prefix = fields.text("prefix");
    value.retry = fields.text("repeats") == "yes" ? retry_policy::retryable
                                                  : retry_policy::at_most_once;
    value.max_attempts = fields.number<unsigned>("attempts");
    value.priority = fields.number<unsigned>("priority");
    value.services = read_services(fields);
    if (fields.has("limit")) {
        value.time_limit = fields.time("limit");
    }
    if (fields.has("objective")) {
        value.objective = fields.time("objective");
    }
    return value;
}

std::string write_limits(const caller_limits& limits) {
    return "header_bytes=" + std::to_string(limits.max_header_bytes) +
           " body_bytes=" + std::to_string(limits.max_body_bytes) +
           " header_timeout=" +
           std::to_string(to_microseconds(limits.header_timeout)) +
           " idle_timeout=" +
           std::to_string(to_microseconds(limits.idle_timeout));
}

caller_limits read_limits(const cell& source) {
    const field_reader fields(source);
    caller_limits limits;
    limits.max_header_bytes = fields.number<std::size_t>("header_bytes");
    limits.max_body_bytes = fields.number<std::size_t>("body_bytes");
    limits.header_timeout = fields.time("header_timeout");
    limits.idle_timeout = fields.time("idle_timeout");
    return limits;
}

// Reads a cell that is not a route.
void read_other_cell(const cell& item, routing_table& table) {
    if (item.name == version_cell) {
        table.version = item.value;
    } else if (item.name == limits_cell) {
        table.limits = read_limits(item);
    } else if (item.name.starts_with(service_cell)) {
        const field_reader fields(item);
        table.services[item.name.substr(service_cell.size())] = {
            fields.text("health"), fields.number<unsigned>("connections")};
    } else {
        reject(item.name, "unknown cell");
    }
}

} // namespace

const route* routing_table::match(std::string_view host,
                                  std::string_view path) const {
    const auto name = host.substr(0, host.find(':'));
    const route* best = nullptr;
    for (const auto& item : routes) {
        const bool longer =
            best == nullptr || item.prefix.size() > best->prefix.size();
        if (longer && path.starts_with(item.prefix) &&
            boost::algorithm::iequals(item.host, name)) {
            best = &item;
        }
    }
    return best;
}

const service_options&
routing_table::options_of(std::string_view service) const {
    static const service_options defaults;
    const auto found = services.find(service);
    return found == services.end() ? defaults : found->second;
}

raw_row make_row(const routing_table& table, std::uint64_t number) {
    raw_row row;
    row.key = routing_row_key;
    row.version = number;
    row.cells.push_back({std::string(version_cell), table.version});
    row.cells.push_back({std::string(limits_cell), write_limits(table.limits)});
    for (const auto& item : table.routes) {
        row.cells.push_back(
            {std::string(route_cell) + item.name, write_route(item)});
    }
    for (const auto& [name, options] : table.services) {
        row.cells.push_back({std::string(service_cell) + name,
                             "health=" + options.health_path + " connections=" +
                                 std::to_string(options.max_connections)});
    }
    // Sorted so that equal routes yield equal rows.
    std::sort(row.cells.begin(), row.cells.end(),
              [](const cell& a, const cell& b) { return a.name < b.name; });
    return row;
}

routing_table parse_routing(const raw_row& row) {
    routing_table table;
    for (const auto& item : row.cells) {
        if (item.name.starts_with(route_cell)) {
            table.routes.push_back(read_route(item));
        } else {
            read_other_cell(item, table);
        }
    }
    return table;
}

void update_routing(routing_table& table, const raw_row& before,
                    const raw_row& after) {
    // Cells are sorted by name, and the table's routes are in their order.
    std::vector<const cell*> old_cells;
    for (const auto& item : before.cells) {
        if (item.name.starts_with(route_cell)) {
            old_cells.push_back(&item);
        }
    }
    routing_table updated;
    std::vector<std::pair<std::size_t, route*>> unchanged;
    std::size_t old = 0;
    for (const auto& item : after.cells) {
        if (!item.name.starts_with(route_cell)) {
            read_other_cell(item, updated);
            continue;
        }
        while (old < old_cells.size() && old_cells[old]->name < item.name) {
            ++old;
        }
        if (old < old_cells.size() && *old_cells[old] == item) {
            unchanged.emplace_back(updated.routes.size(), &table.routes[old]);
            updated.routes.emplace_back();
        } else {
            updated.routes.push_back(read_route(item));
        }
    }
    // Nothing is moved before all of the row has been parsed.
    for (const auto& [index, source] : unchanged) {
        updated.routes[index] = std::move(*source);
    }
    table = std::move(updated);
}

} // namespace lacewingbeam
