#include "tool/request_events.hpp"

#include <criterion/criterion.h>

// Parsing of log lines and collecting the events of one request from the logs
// of several instances.
using namespace lacewingbeam;

namespace {

std::vector<log_line> read(const std::vector<std::string>& texts,
                           const std::string& instance) {
    std::vector<log_line> lines;
    for (const auto& text : texts) {
        if (auto line = parse_log_line(text, instance)) {
            lines.push_back(*line);
        }
    }
    return lines;
}

} // namespace

Test(request_events, line_is_parsed_with_and_without_collector_prefix) {
    const auto plain =
        parse_log_line("2026-12-04T06:23:00.684 INFO LB1602 attempt_failed "
                       "id=a detail=\"status 421\" ms=2",
                       "router0");
    cr_assert(plain.has_value());
    cr_assert_eq(plain->instance, "router0");
    cr_assert_eq(plain->number, "LB1602");
    cr_assert_eq(plain->fields.at("detail"), "status 421");
    const auto collected = parse_log_line(
        "  2.25 edge-1 2026-12-04T06:23:00.684 INFO LB1002 stopping requests=0",
        "x");
    cr_assert_eq(collected->instance, "edge-1");
    cr_assert_not(parse_log_line("terminate called", "x").has_value());
}

Test(request_events,
     events_of_two_instances_are_ordered_with_dependency_events) {
    const std::string placed = "INFO LB1601 request_placed ";
    const std::string changed = "INFO LB1101 table_changed ";
    const std::string day = "2026-12-04T06:00:";
    auto lines =
        read({day + "02.000 INFO LB1603 request_finished id=a reason=draining",
              day + "01.000 " + placed + "id=a server=s1",
              day + "00.500 " + changed + "version=7 changed=s9,s1",
              day + "00.400 " + changed + "version=6 changed=s2",
              day + "09.000 " + changed + "version=8 changed=s1",
              day + "01.500 " + placed + "id=b server=s1"},
             "one");
    const auto other =
        read({day + "01.700 INFO LB1604 caller_gone id=a after_ms=3",
              day + "01.100 INFO LB1103 platform_failed table=servers"},
             "two");
    lines.insert(lines.end(), other.begin(), other.end());
    const auto events = find_request_events(lines, "a");
    std::vector<std::string> numbers;
    numbers.reserve(events.size());
    for (const auto& line : events) {
        numbers.push_back(line.number);
    }
    const std::vector<std::string> expected{"LB1101", "LB1601", "LB1103",
                                            "LB1604", "LB1603"};
    cr_assert(numbers == expected);
}

Test(request_events, unknown_request_has_no_events) {
    const auto lines = read({"2026-12-04T06:00:02.000 INFO LB1603 "
                             "request_finished id=a status=200"},
                            "one");
    cr_assert(find_request_events(lines, "b").empty());
}
