#include "base64.hpp"
#include "binding.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

// Parsing of the users' platform's config, registrations, load and store
// responses.
using namespace lacewingbeam;
using namespace lacewingbeam::platform;
using testing_support::encode_base64;

namespace {

const std::string config =
    R"({"version":"00000007","resources":[
{"type":"routes","metadata":{"name":"r1"},"spec":{"host":"h.example",
"prefix":"/a/","routeKind":"unsafe","timeoutMs":1500,"sloMs":400,
"priority":1,"service":"one","maxAttempts":2}},
{"type":"routes","metadata":{"name":"r2"},"spec":{"host":"h.example",
"prefix":"/b/","routeKind":"download","priority":2,"trafficSplit":[
{"service":"one","weight":90},{"service":"two","weight":10}]}},
{"type":"services","metadata":{"name":"one"},"spec":{"healthPath":"/healthz",
"maxConns":220,"protocol":"h1","tls":false}},
{"type":"new-kind","metadata":{},"spec":{}},
{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";

const std::string registration =
    R"({"service":"one","addr":"10.128.0.9:8080","zone":"a","version":"v1",
"capacity":3,"state":"ready","coldLeftMs":500,"sequence":4,
"born":1790000000000})";

std::string make_page(const std::string& key, const std::string& value) {
    nlohmann::json row{{"tableName", "t"},
                       {"part", ""},
                       {"key", key},
                       {"value", encode_base64(value)},
                       {"revision", 12}};
    return nlohmann::json{{"rows", {row}}, {"revision", 30}, {"nowMs", 1}}
        .dump();
}

bool is_usable(const std::string& text) {
    const auto response =
        parse_response(store_table::servers, false, 0, make_page("i-1", text));
    cr_assert_eq(response.page.rows.size(), 1);
    return !response.page.rows[0].deleted;
}

} // namespace

Test(config, routes_are_parsed_with_retry_policy_and_limits) {
    const auto table = parse_config(config);
    cr_assert_eq(table.version, "00000007");
    cr_assert_eq(table.routes.size(), 2);
    const auto& first = table.routes[0];
    cr_assert(first.retry == retry_policy::at_most_once);
    cr_assert(first.time_limit == duration(std::chrono::milliseconds(1500)));
    cr_assert_eq(first.max_attempts, 2);
    const auto& second = table.routes[1];
    cr_assert(second.retry == retry_policy::retryable);
    cr_assert_eq(second.services.size(), 2);
    cr_assert_not(second.time_limit.has_value());
    cr_assert_eq(table.options_of("one").max_connections, 220);
}

Test(config, requests_of_unknown_route_kind_are_not_retried) {
    auto other = config;
    other.replace(other.find("download"), 8, "mystery-");
    cr_assert(parse_config(other).routes[1].retry ==
              retry_policy::at_most_once);
}

Test(config, invalid_config_is_reported_and_not_applied) {
    const auto response =
        parse_response(store_table::routing, true, 0, make_page("config", "{"));
    cr_assert(response.page.rows.empty());
    cr_assert_eq(response.row_errors.size(), 1);
}

Test(registration, all_fields_are_parsed) {
    const auto server = parse_registration("i-1", registration);
    cr_assert_eq(server.service, "one");
    cr_assert_eq(server.slots, 3);
    cr_assert_not(server.leaving);
    cr_assert_eq(server.started_at, "1790000000000");
    cr_assert(server.cold_left == duration(std::chrono::milliseconds(500)));
}

Test(registration, invalid_registrations_are_rejected) {
    cr_assert(is_usable(registration));
    const std::vector<std::pair<std::string, std::string>> replacements{
        {"\"ready\"", "\"resting\""},
        {"\"ready\"", "1"},
        {"3,", "\"3\","},
        {"3,", "-3,"},
        {"3,", "2.5,"},
        {"10.128.0.9:8080", "nowhere"},
        {"\"service\"", "\"other\""},
        {"\"zone\":\"a\"", "\"zone\":7"},
        {"\"version\":\"v1\"", "\"version\":1"},
        {"\"sequence\":4", "\"sequence\":\"4\""},
        {"\"sequence\"", "\"serial\""},
        {"\"coldLeftMs\":500", "\"coldLeftMs\":\"500\""},
        {"\"coldLeftMs\"", "\"coldLeft\""},
        {"1790000000000", "\"1790000000000\""},
        {"{", "["}};
    for (const auto& [from, to] : replacements) {
        auto text = registration;
        text.replace(text.find(from), from.size(), to);
        cr_assert_not(is_usable(text), "%s", to.c_str());
    }
}

// Operators of similar systems: one odd entry ended the processes that read the
// list, or they stopped following it.
Test(registration, odd_entry_names_no_server_and_leaves_the_others) {
    const std::string deep =
        std::string(200000, '[') + std::string(200000, ']');
    const std::vector<std::pair<std::string, std::string>> replacements{
        {"3,", "1e400,"},
        {"3,", "18446744073709551617,"},
        {"3,", "18446744073709551615,"},
        {"3,", "4294967297,"},
        {"3,", deep + ","},
        {"10.128.0.9:8080", "10.128.0.9:99999"},
        {"10.128.0.9:8080", "10.128.0.9:0"},
        {"10.128.0.9:8080", "10.128.0.9:18446744073709551617"},
        {"\"coldLeftMs\":500", "\"coldLeftMs\":1e300"},
        {"\"coldLeftMs\":500", "\"coldLeftMs\":-1e300"},
        {"\"coldLeftMs\":500", "\"coldLeftMs\":" + deep},
        {"1790000000000", "99999999999999999999999"},
        {"\"v1\"", deep}};
    for (const auto& [from, to] : replacements) {
        auto text = registration;
        text.replace(text.find(from), from.size(), to);
        cr_expect_not(is_usable(text), "%s", to.substr(0, 40).c_str());
    }
    cr_assert_not(is_usable(deep));
    cr_assert_not(is_usable(std::string(200000, '[')));
    auto extended = registration;
    extended.insert(1, "\"note\":" + deep + ",");
    cr_assert(is_usable(extended)); // fields that are not known are ignored
    auto page = nlohmann::json::parse(make_page("i-1", registration));
    auto odd = page["rows"][0];
    odd["key"] = "i-0";
    odd["value"] = 7;
    page["rows"].insert(page["rows"].begin(), odd);
    const auto response =
        parse_response(store_table::servers, false, 0, page.dump());
    cr_assert_eq(response.page.rows.size(), 2);
    cr_assert(response.page.rows[0].deleted);
    cr_assert_not(response.page.rows[1].deleted);
}

Test(notices, pause_and_leaving_are_parsed) {
    cr_assert(parse_pause("2.5") == duration(std::chrono::milliseconds(2500)));
    cr_assert(parse_pause(" 0 ") == duration::zero());
    cr_assert(parse_pause("1e300").has_value());
    for (const auto* text :
         {"", "-1", "nan", "inf", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        cr_assert_not(parse_pause(text).has_value(), "%s", text);
    }
    cr_assert(parse_leaving("1"));
    cr_assert_not(parse_leaving("0"));
    cr_assert_not(parse_leaving(""));
}

Test(registration, server_without_start_time_is_used) {
    auto text = registration;
    text.replace(text.find("\"born\""), 6, "\"note\"");
    cr_assert(is_usable(text));
}

Test(registration, random_bytes_do_not_crash_the_parser) {
    random_engine engine(11);
    boost::random::uniform_int_distribution<int> byte(0, 255);
    boost::random::uniform_int_distribution<std::size_t> position(
        0, registration.size() - 1);
    for (int round = 0; round < 5000; ++round) {
        auto text = registration;
        for (int i = 0; i < 3; ++i) {
            text[position(engine)] = static_cast<char>(byte(engine));
        }
        parse_response(store_table::servers, false, 0, make_page("i-1", text));
        try {
            parse_response(store_table::servers, true, 0, text);
        } catch (const store_format_error&) {
            continue;
        }
    }
}

Test(load, load_is_parsed_with_current_slowness) {
    const auto load = parse_load("2, 1,3,250");
    cr_assert(load.has_value());
    cr_assert_eq(load->running, 2);
    cr_assert_eq(load->waiting, 1);
    cr_assert_eq(load->slots, 3);
    cr_assert_float_eq(load->slowness, 2.5, 1e-9);
    cr_assert(parse_load("0,0,6").has_value());
}

Test(load, malformed_load_is_rejected) {
    for (const auto* text :
         {"", "1,2", "a,b,c", "1,2,0", "1,2,-3", "1,2,3,x"}) {
        cr_assert_not(parse_load(text).has_value(), "%s", text);
    }
}

Test(store, next_page_starts_after_the_last_key) {
    auto page = nlohmann::json::parse(make_page("i-1", registration));
    page["hasMore"] = true;
    const auto response =
        parse_response(store_table::servers, true, 0, page.dump());
    cr_assert(response.continue_from == std::string("i-1") + '\0');
    const auto target = make_binding().snapshot_target(
        read_snapshot{store_table::servers}, *response.continue_from);
    cr_assert_eq(target, "/rows-get?tableName=servers&part=&from=i-1%00");
}
