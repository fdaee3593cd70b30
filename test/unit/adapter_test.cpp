#include "adapters/event_log.hpp"
#include "adapters/forward_token.hpp"
#include "adapters/settings_file.hpp"
#include "adapters/trace_recorder.hpp"
#include "adapters/wire_codec.hpp"
#include "entry/answers.hpp"
#include "entry/load_report.hpp"
#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/ticket.hpp"
#include "tool/csv.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

// Codecs, settings, log events and parsers, partly with mutated input.
using namespace lacewingbeam;

namespace {

const std::string key = "sixteen bytes or more";
constexpr int fuzz_rounds = 20000;

const std::string valid_settings =
    "[instance]\nfailure_domain = a\n[platform]\naddress = 127.0.0.1:9\n";

std::string settings_error_of(const std::string& text) {
    try {
        parse_settings(text, "file.ini");
    } catch (const settings_error& problem) {
        return problem.what();
    }
    return {};
}

peer_message make_message() {
    heartbeat beat;
    random_engine engine(3);
    beat.sender.id = draw_incarnation(engine);
    beat.sender.peer_address = "10.0.0.1:7000";
    beat.sender.caller_address = "10.0.0.1:8000";
    beat.sender.admin_address = "10.0.0.1:9000";
    beat.sequence = 7;
    beat.table_version = 9;
    beat.loads.push_back({load_hash({"svc", "a"}), 2, 1});
    beat.leaving.push_back({{"svc", "b"}, std::chrono::milliseconds(20)});
    beat.members.push_back(beat.sender);
    return beat;
}

// Overwrites, erases or inserts random bytes.
std::string mutate(std::string text, random_engine& engine) {
    using pick = boost::random::uniform_int_distribution<std::size_t>;
    const auto changes = pick(1, 8)(engine);
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const auto position = pick(0, text.size() - 1)(engine);
        switch (pick(0, 2)(engine)) {
        case 0:
            text[position] = static_cast<char>(pick(0, 255)(engine));
            break;
        case 1:
            text.erase(position, pick(1, 4)(engine));
            break;
        default:
            text.insert(position, 1, static_cast<char>(pick(0, 255)(engine)));
        }
    }
    return text;
}

} // namespace

Test(settings, defaults_come_from_the_schema) {
    const auto values = parse_settings(valid_settings, "file.ini");
    cr_assert_eq(values.instance.caller_port, 8080);
    cr_assert_eq(values.backend.policy, "load_aware");
    cr_assert_eq(values.instance.failure_domain, "a");
}

Test(settings, errors_name_file_line_key_and_allowed_values) {
    cr_assert_neq(
        settings_error_of(valid_settings + "[limits]\nmax_calls = 0\n")
            .find("file.ini:6: [limits] max_calls = \"0\": must be "
                  "an integer from 1 to 1000000"),
        std::string::npos);
    cr_assert_neq(settings_error_of(valid_settings + "[peers]\nfan_out = 3s\n")
                      .find("unit: count"),
                  std::string::npos);
    cr_assert_neq(
        settings_error_of(valid_settings + "[backend]\npolicy = best\n")
            .find("one of"),
        std::string::npos);
    cr_assert_neq(settings_error_of(valid_settings + "[else]\nx = 1\n")
                      .find("unknown section [else]"),
                  std::string::npos);
    cr_assert_neq(settings_error_of("[instance]\n").find("is missing"),
                  std::string::npos);
    cr_assert_neq(settings_error_of(valid_settings + "address = 1.1.1.1:1\n")
                      .find("set more than once"),
                  std::string::npos);
    cr_assert_neq(settings_error_of(valid_settings +
                                    "[peers]\nseeds = " + std::string(500, '1'))
                      .find("too long"),
                  std::string::npos);
}

Test(settings, mutated_file_is_parsed_or_rejected) {
    random_engine engine(11);
    for (int i = 0; i < fuzz_rounds / 10; ++i) {
        settings_error_of(mutate(valid_settings, engine));
    }
}

Test(wire, heartbeat_survives_round_trip) {
    const auto decoded =
        decode_message(encode_message(make_message(), key), key);
    const auto& beat = std::get<heartbeat>(decoded);
    cr_assert_eq(beat.sequence, 7);
    cr_assert_eq(beat.loads.at(0).in_flight, 2);
    cr_assert_eq(to_string(beat.leaving.at(0).key), "svc/b");
    cr_assert_eq(beat.loads.at(0).long_in_flight, 1);
    cr_assert_eq(beat.loads.at(0).server_hash, load_hash({"svc", "a"}));
    cr_assert_eq(beat.sender.admin_address, "10.0.0.1:9000");
    cr_assert(beat.members.at(0).id == beat.sender.id);
}

Test(wire, row_delta_survives_round_trip) {
    table_rows sent;
    sent.deltas = {{"routing", 4, 9, {{"route a", "x=1"}}, {"route b"}}};
    sent.omitted_bytes = 400000;
    const auto decoded = decode_message(encode_message(sent, key), key);
    const auto& rows = std::get<table_rows>(decoded);
    cr_assert(rows.deltas == sent.deltas);
    cr_assert_eq(rows.omitted_bytes, 400000);
    const auto request =
        decode_message(encode_message(table_request{1, 2, true}, key), key);
    cr_assert(std::get<table_request>(request).include_large_rows);
}

Test(wire, mutated_message_is_rejected) {
    random_engine engine(12);
    const auto good = encode_message(make_message(), key);
    for (int i = 0; i < fuzz_rounds; ++i) {
        const auto bad = mutate(good, engine);
        if (bad != good) {
            cr_assert_throw(decode_message(bad, key), wire_error);
        }
    }
}

Test(wire, malformed_authenticated_message_does_not_crash) {
    random_engine engine(13);
    const auto good = encode_message(make_message(), key);
    constexpr auto code_size = sizeof(authentication_code);
    for (int i = 0; i < fuzz_rounds; ++i) {
        auto content = mutate(good.substr(code_size), engine);
        const auto code =
            compute_mac(key, "lacewingbeam message 1\n" + content);
        content.insert(0, std::string(code.begin(), code.end()));
        try {
            decode_message(content, key);
        } catch (const wire_error&) {
        }
    }
}

Test(wire, message_with_different_key_is_rejected) {
    const auto bytes = encode_message(make_message(), key);
    cr_assert_throw(decode_message(bytes, "another key, also long"),
                    wire_error);
}

Test(csv, rows_survive_round_trip) {
    const std::vector<raw_row> rows{
        {"svc", 3, false, {{"non_idempotent", "POST /a; PUT /b, \"c\""}}},
        {"svc/a", 4, false, {{"address", "127.0.0.1:1"}, {"weight", "2"}}}};
    const auto decoded = read_csv(write_csv(rows));
    cr_assert_eq(decoded.size(), 2);
    cr_assert_eq(decoded[0].value_of("non_idempotent"),
                 rows[0].value_of("non_idempotent"));
    cr_assert_eq(decoded[1].version, 4);
}

Test(csv, mutated_file_is_parsed_or_rejected_with_line_number) {
    random_engine engine(14);
    const auto good = write_csv(std::vector<raw_row>{
        {"svc", 3, false, {{"deadline_ms", "100"}}},
        {"svc/a", 4, false, {{"address", "127.0.0.1:1"}}}});
    for (int i = 0; i < fuzz_rounds / 4; ++i) {
        try {
            read_csv(mutate(good, engine));
        } catch (const csv_error& problem) {
            cr_assert(std::string(problem.what()).starts_with("line "));
        }
    }
}

Test(traceparent, valid_header_is_parsed_and_malformed_is_rejected) {
    const std::string good =
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    cr_assert_eq(to_traceparent(*parse_traceparent(good)), good);
    random_engine engine(15);
    for (int i = 0; i < fuzz_rounds; ++i) {
        parse_traceparent(mutate(good, engine));
    }
    cr_assert_not(parse_traceparent("").has_value());
    cr_assert_not(
        parse_traceparent("00-" + std::string(32, '0') + good.substr(35))
            .has_value());
}

Test(load_report, json_format_is_parsed_and_malformed_is_rejected) {
    const std::string good =
        R"(JSON {"named_metrics":{"in_flight":2,"queued":1}})";
    const auto report = parse_load_header(good);
    cr_assert_eq(report->in_flight, 2);
    cr_assert_eq(report->queued, 1);
    random_engine engine(16);
    for (int i = 0; i < fuzz_rounds; ++i) {
        const auto parsed = parse_load_header(mutate(good, engine));
        cr_assert(!parsed || (parsed->in_flight >= 0 && parsed->queued >= 0));
    }
}

Test(forward_token, is_valid_only_for_its_owner_and_target) {
    random_engine engine(3);
    const auto owner = draw_incarnation(engine);
    const auto token = make_forward_token(owner, "/a", key);
    cr_assert(verify_forward_token(token, "/a", key) == owner);
    cr_assert_not(verify_forward_token(token, "/b", key).has_value());
    for (int i = 0; i < fuzz_rounds; ++i) {
        const auto bad = mutate(token, engine);
        if (!equal_ignoring_case(bad, token)) {
            cr_assert_not(verify_forward_token(bad, "/a", key).has_value());
        }
    }
}

Test(endpoint, valid_text_is_parsed_and_invalid_is_rejected) {
    cr_assert_eq(parse_endpoint("127.0.0.1:80")->port, 80);
    cr_assert_eq(to_string(*parse_endpoint("[::1]:80")), "[::1]:80");
    for (const auto* bad :
         {"", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "::1:80",
          "127.0.0.1:65536", "127.0.0.1:8x", "[127.0.0.1]:80"}) {
        cr_assert_not(parse_endpoint(bad).has_value(), "%s", bad);
    }
}

Test(answers, error_contains_verdict_reason_and_retry_after) {
    const auto answer = make_error_response(not_run{not_run_reason::queue_full},
                                            std::chrono::milliseconds(1200));
    cr_assert_eq(answer.status, 503);
    cr_assert_eq(*find_header(answer.headers, "Retry-After"), "2");
    cr_assert_neq(answer.body.find("\"verdict\":\"not_run\""),
                  std::string::npos);
}

Test(event_catalogue, docs_list_every_event) {
    std::ifstream file(LACEWINGBEAM_DOCS "/EVENTS.md");
    std::ostringstream content;
    content << file.rdbuf();
    for (const auto& event : event_catalogue()) {
        const auto row = "| LB" +
                         std::to_string(static_cast<int>(event.number)) +
                         " | " + std::string(event.name) + " |";
        cr_assert_neq(content.str().find(row), std::string::npos, "%s",
                      row.c_str());
    }
}

Test(event_log, numbers_have_one_decimal_and_absent_ages_are_never) {
    using std::chrono::microseconds;
    cr_assert_eq(decimal_text(66.06), "66.1");
    cr_assert_eq(ms_text(microseconds(12'340)), "12.3");
    cr_assert_eq(age_text(microseconds(12'340)), "12.3");
    cr_assert_eq(age_text(std::nullopt), "never");
}
