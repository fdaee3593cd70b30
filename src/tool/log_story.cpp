#include "log_story.hpp"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <regex>
#include <set>

namespace lacewingbeam {

namespace {

// Numbers of the events that say what an instance believes.
constexpr std::string_view servers_changed = "LB1101";
const std::set<std::string_view> dependency_events{"LB1001", "LB1002", "LB1006",
                                                   "LB1007", "LB1103", "LB1104",
                                                   "LB1107", "LB1108"};

// Finds time, level, number, name and the rest, wherever the time stands.
const std::regex& line_form() {
    static const std::regex form(
        R"((\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+) [A-Z]+ (LB\d+) (\S+) ?(.*)$)");
    return form;
}

std::map<std::string, std::string> read_fields(const std::string& text) {
    static const std::regex field(R"re((\w+)=("[^"]*"|\S*))re");
    std::map<std::string, std::string> fields;
    for (std::sregex_iterator at(text.begin(), text.end(), field), end;
         at != end; ++at) {
        fields[(*at)[1]] = boost::algorithm::trim_copy_if(
            (*at)[2].str(), [](char c) { return c == '"'; });
    }
    return fields;
}

bool names_one_of(const log_line& line, const std::set<std::string>& servers) {
    const auto changed = line.fields.find("changed");
    if (line.number != servers_changed || changed == line.fields.end()) {
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
    const std::string text(line);
    std::smatch found;
    if (!std::regex_search(text, found, line_form())) {
        return std::nullopt;
    }
    log_line out;
    auto before = boost::algorithm::trim_copy(found.prefix().str());
    before = before.substr(before.rfind(' ') + 1);
    out.instance = before.empty() ? std::string(instance) : before;
    out.time = found[1];
    out.number = found[2];
    out.name = found[3];
    out.fields = read_fields(found[4]);
    out.text = out.number + " " + out.name + " " + found[4].str();
    return out;
}

std::vector<log_line> find_story(std::span<const log_line> lines,
                                 std::string_view request_id) {
    std::vector<log_line> story;
    std::set<std::string> servers;
    std::set<std::string> instances;
    for (const auto& line : lines) {
        const auto id = line.fields.find("id");
        if (id == line.fields.end() || id->second != request_id) {
            continue;
        }
        story.push_back(line);
        instances.insert(line.instance);
        const auto server = line.fields.find("server");
        if (server != line.fields.end()) {
            servers.insert(server->second);
        }
    }
    if (story.empty()) {
        return story;
    }
    const auto by_time = [](const log_line& a, const log_line& b) {
        return a.time < b.time;
    };
    const auto last =
        std::max_element(story.begin(), story.end(), by_time)->time;
    for (const auto& line : lines) {
        const bool believed = names_one_of(line, servers) ||
                              dependency_events.contains(line.number);
        if (believed && line.time <= last &&
            instances.contains(line.instance)) {
            story.push_back(line);
        }
    }
    std::stable_sort(story.begin(), story.end(), by_time);
    return story;
}

} // namespace lacewingbeam
