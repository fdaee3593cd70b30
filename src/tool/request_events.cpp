#include "request_events.hpp"

#include "adapters/event_log.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <set>

namespace lacewingbeam {

namespace {

// Events about an instance's lifecycle, settings and access to its data source.
constexpr std::array dependency_events{
    event_number::started,         event_number::stopping,
    event_number::reloaded,        event_number::reload_failed,
    event_number::platform_failed, event_number::platform_recovered,
    event_number::reading_began,   event_number::reading_ended};

bool has_number(const log_line& line, event_number number) {
    return line.number == event_code(number);
}

constexpr std::string_view event_code_prefix = " LB";

// Returns the word that ends at position `end`.
std::string_view word_before(std::string_view text, std::size_t end) {
    const auto start = text.rfind(' ', end == 0 ? 0 : end - 1);
    return start == text.npos ? text.substr(0, end)
                              : text.substr(start + 1, end - start - 1);
}

// Removes and returns the first word.
std::string_view take_word(std::string_view& text) {
    const auto word = text.substr(0, text.find(' '));
    text.remove_prefix(std::min(text.size(), word.size() + 1));
    return word;
}

// Parses name=value fields; values that contain spaces are quoted.
std::map<std::string, std::string> read_fields(std::string_view text) {
    std::map<std::string, std::string> fields;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == text.npos) {
            break;
        }
        const auto name = word_before(text, equals);
        text.remove_prefix(equals + 1);
        const bool quoted = text.starts_with('"');
        text.remove_prefix(quoted ? 1 : 0);
        const auto end = std::min(text.size(), text.find(quoted ? '"' : ' '));
        fields[std::string(name)] = text.substr(0, end);
        text.remove_prefix(std::min(text.size(), end + 1));
    }
    return fields;
}

bool is_dependency_event(const log_line& line) {
    return std::any_of(
        dependency_events.begin(), dependency_events.end(),
        [&](event_number number) { return has_number(line, number); });
}

bool changes_any_of(const log_line& line,
                    const std::set<std::string>& servers) {
    const auto changed = line.fields.find("changed");
    if (!has_number(line, event_number::table_changed) ||
        changed == line.fields.end()) {
        return false;
    }
    std::vector<std::string> ids;
    boost::algorithm::split(ids, changed->second,
                            [](char c) { return c == ','; });
    return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
        return servers.contains(id);
    });
}

} // namespace

std::optional<log_line> parse_log_line(std::string_view line,
                                       std::string_view instance) {
    constexpr std::size_t date_size = 10; // "2026-12-04", then "T"
    const auto code_start = line.find(event_code_prefix);
    if (code_start == line.npos) {
        return std::nullopt;
    }
    const auto level = word_before(line, code_start);
    const auto level_start = code_start - level.size();
    const auto time = level_start == 0 ? std::string_view()
                                       : word_before(line, level_start - 1);
    if (time.size() <= date_size || time[date_size] != 'T') {
        return std::nullopt;
    }
    log_line out;
    const auto time_start = static_cast<std::size_t>(time.data() - line.data());
    const auto prefix_word = time_start == 0
                                 ? std::string_view()
                                 : word_before(line, time_start - 1);
    out.instance = prefix_word.empty() ? instance : prefix_word;
    out.time = time;
    out.text = line.substr(code_start + 1);
    std::string_view rest = out.text;
    out.number = take_word(rest);
    out.name = take_word(rest);
    out.fields = read_fields(rest);
    return out;
}

std::vector<log_line> find_request_events(std::span<const log_line> lines,
                                          std::string_view request_id) {
    std::vector<log_line> events;
    std::set<std::string> servers;
    std::set<std::string> instances;
    for (const auto& line : lines) {
        const auto id = line.fields.find("id");
        if (id == line.fields.end() || id->second != request_id) {
            continue;
        }
        events.push_back(line);
        instances.insert(line.instance);
        const auto server = line.fields.find("server");
        if (server != line.fields.end()) {
            servers.insert(server->second);
        }
    }
    if (events.empty()) {
        return events;
    }
    const auto by_time = [](const log_line& a, const log_line& b) {
        return a.time < b.time;
    };
    const auto last_time =
        std::max_element(events.begin(), events.end(), by_time)->time;
    for (const auto& line : lines) {
        const bool in_scope =
            line.time <= last_time && instances.contains(line.instance);
        if (in_scope &&
            (changes_any_of(line, servers) || is_dependency_event(line))) {
            events.push_back(line);
        }
    }
    std::stable_sort(events.begin(), events.end(), by_time);
    return events;
}

} // namespace lacewingbeam
