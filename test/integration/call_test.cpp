#include "fleet.hpp"

#include <criterion/criterion.h>

// Calls from caller to backend server through real processes.
using namespace testing_support;

namespace {

std::unique_ptr<fleet> cluster;

void set_up() {
    cluster = std::make_unique<fleet>();
    cluster->add_service("status", {{"deadline_ms", "2000"}});
    cluster->add_server("status", "a");
    cluster->add_server("status", "b");
    cluster->add_instance();
}

void tear_down() {
    cluster.reset();
}

const std::string& caller_address() {
    return cluster->instance(0).caller_address;
}

} // namespace

TestSuite(call, .init = set_up, .fini = tear_down, .timeout = 120);

Test(call, read_of_known_service_is_completed) {
    const auto response =
        send_request({caller_address(), "GET", "/status/x?ms=1&bytes=100"});
    cr_assert_eq(response.status, 200);
    cr_assert_eq(response.verdict(), "completed");
    cr_assert_eq(response.body.size(), 100);
}

Test(call, unknown_service_is_not_run) {
    const auto response = send_request({caller_address(), "GET", "/nothing/x"});
    cr_assert_eq(response.status, 404);
    cr_assert_eq(response.verdict(), "not_run; reason=unknown_service");
    cr_assert_eq(response.body_json().at("verdict"), "not_run");
}

Test(call, long_answer_arrives_complete) {
    const auto response = send_request(
        {caller_address(), "GET", "/status/x?ms=20&bytes=3000000"});
    cr_assert_eq(response.status, 200);
    cr_assert_eq(response.body.size(), 3000000);
}

Test(call, bad_timeout_header_is_refused) {
    const auto response = send_request({caller_address(),
                                        "GET",
                                        "/status/x",
                                        {{"lacewingbeam-timeout-ms", "soon"}}});
    cr_assert_eq(response.status, 400);
    cr_assert_eq(response.verdict(), "not_run; reason=bad_request");
    cr_assert_neq(response.body.find("from 1 to"), std::string::npos);
}

Test(call, forged_forward_header_is_refused) {
    const auto response = send_request({caller_address(),
                                        "GET",
                                        "/status/x",
                                        {{"lacewingbeam-forwarded", "me"}}});
    cr_assert_eq(response.status, 400);
}

Test(call, oversized_body_is_refused_and_next_call_served) {
    const auto response = send_raw(caller_address(),
                                   "POST /status/x HTTP/1.1\r\nHost: x\r\n"
                                   "Content-Length: 3000000\r\n\r\n",
                                   std::chrono::seconds(5));
    cr_assert(response.starts_with("HTTP/1.1 413"), "%s", response.c_str());
    cr_assert_eq(send_request({caller_address(), "GET", "/status/x"}).status,
                 200);
}

Test(call, malformed_request_is_refused_and_next_call_served) {
    const auto response =
        send_raw(caller_address(), "NONSENSE\r\n\r\n", std::chrono::seconds(5));
    cr_assert(response.empty() || response.starts_with("HTTP/1.1 400") ||
              response.starts_with("HTTP/1.0 400"));
    cr_assert_eq(send_request({caller_address(), "GET", "/status/x"}).status,
                 200);
}

Test(call, deadline_passed_while_running_may_have_run) {
    const auto response =
        send_request(work_request(caller_address(), "/status/x?ms=3000", "slow",
                                  {{"lacewingbeam-timeout-ms", "200"}}));
    cr_assert_eq(response.status, 504);
    cr_assert_eq(response.verdict(), "may_have_run; reason=answer_timeout");
}

Test(call, dead_backend_servers_are_not_run_with_retry_advice) {
    cluster->update_row("status/a", {{"address", "127.0.0.1:1"}});
    cluster->update_row("status/b", {{"address", "127.0.0.1:1"}});
    cr_assert(eventually([] {
        return cluster->status(0).at("table_version") ==
               cluster->table_version();
    }));
    const auto response =
        send_request(work_request(caller_address(), "/status/x", "none"));
    cr_assert_eq(response.status, 502);
    cr_assert_eq(response.verdict(), "not_run; reason=connect_failed");
    cr_assert_neq(response.header("retry-after"), "");
}

Test(call, traceparent_is_passed_on_and_exported) {
    const std::string trace(32, 'a');
    send_request({caller_address(),
                  "GET",
                  "/status/x",
                  {{"traceparent", "00-" + trace + "-00f067aa0ba902b7-01"}}});
    const auto lines = send_request({cluster->instance(0).admin_address, "GET",
                                     "/admin/traces"})
                           .body;
    cr_assert_neq(lines.find("\"name\":\"attempt\""), std::string::npos);
    cr_assert_neq(lines.find(trace), std::string::npos);
    cr_assert_neq(lines.find("00f067aa0ba902b7"), std::string::npos);
}

Test(call, metrics_count_calls_by_service_and_verdict) {
    send_request({caller_address(), "GET", "/status/x"});
    const auto text =
        send_request({cluster->instance(0).admin_address, "GET", "/metrics"})
            .body;
    cr_assert_neq(text.find("lacewingbeam_calls_total{reason=\"\","
                            "service=\"status\",verdict=\"completed\"} 1"),
                  std::string::npos);
}

Test(call, caller_disconnect_cancels_work_at_backend_server) {
    http_request short_call{caller_address(), "GET", "/status/x?ms=1500"};
    short_call.timeout = std::chrono::milliseconds(200);
    cr_assert_eq(send_request(short_call).status, 0);
    cr_assert(eventually([] { return cluster->status(0).at("calls") == 0; }));
    const auto metrics =
        send_request({cluster->instance(0).admin_address, "GET", "/metrics"})
            .body;
    cr_assert_neq(metrics.find("result=\"cancelled\""), std::string::npos);
}
