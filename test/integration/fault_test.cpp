#include "fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

// Faults between real processes. The run logs of the backend servers show how
// often each operation ran.
using namespace testing_support;

namespace {

std::unique_ptr<fleet> cluster;

void set_up() {
    cluster = std::make_unique<fleet>();
    cluster->add_service(
        "orders", {{"deadline_ms", "1500"}, {"long_work", "GET /export"}});
    cluster->add_server("orders", "a");
    cluster->add_server("orders", "b");
}

void tear_down() {
    cluster.reset();
}

const std::string& caller_address(std::size_t i) {
    return cluster->instance(i).caller_address;
}

std::string mint_ticket(std::size_t i) {
    const auto response =
        send_request({caller_address(i), "POST", "/.lacewingbeam/tickets"});
    return response.body_json().at("tickets").at(0);
}

void sleep_for_ms(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

TestSuite(fault, .init = set_up, .fini = tear_down, .timeout = 120);

Test(fault, ticket_resent_through_every_instance_runs_once) {
    cluster->add_instances(3);
    const auto ticket = mint_ticket(0);
    for (std::size_t i = 0; i < 3; ++i) {
        const auto response =
            send_request(work_request(caller_address(i), "/orders/new", "op",
                                      {{"lacewingbeam-ticket", ticket}}));
        cr_assert_eq(response.status, 200);
        cr_assert_eq(response.verdict(), "completed");
        cr_assert(response.body.starts_with("op"));
        cr_assert_neq(response.header("lacewingbeam-next-ticket"), "");
    }
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, minter_killed_between_run_and_answer_runs_once) {
    cluster->add_instances(3);
    const auto ticket = mint_ticket(0);
    auto first = send_request_async(
        work_request(caller_address(0), "/orders/new?ms=700", "op",
                     {{"lacewingbeam-ticket", ticket}}));
    cr_assert(eventually([] { return cluster->count_runs("op") == 1; }));
    cluster->instance(0).child->signal(SIGKILL);
    cr_assert(
        cluster->instance(0).child->wait_for_exit(std::chrono::seconds(5)));
    cr_assert_eq(first.get().status, 0);
    const auto again =
        send_request(work_request(caller_address(1), "/orders/new?ms=700", "op",
                                  {{"lacewingbeam-ticket", ticket}}));
    cr_assert_eq(again.verdict(), "may_have_run; reason=minter_unreachable");
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, minter_killed_after_answer_is_answered_from_journal) {
    cluster->add_instances(2);
    const auto ticket = mint_ticket(0);
    send_request(work_request(caller_address(0), "/orders/new", "op",
                              {{"lacewingbeam-ticket", ticket}}));
    sleep_for_ms(1500);
    cluster->instance(0).child->signal(SIGKILL);
    const auto again =
        send_request(work_request(caller_address(1), "/orders/new", "op",
                                  {{"lacewingbeam-ticket", ticket}}));
    cr_assert_eq(again.status, 200, "%s", again.body.c_str());
    cr_assert(again.body.starts_with("op"));
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, minter_stopped_past_every_timeout_runs_once) {
    cluster->add_instances(2, "suspect_after = 600\n");
    const auto ticket = mint_ticket(0);
    cluster->instance(0).child->signal(SIGSTOP);
    const auto during =
        send_request(work_request(caller_address(1), "/orders/new", "op",
                                  {{"lacewingbeam-ticket", ticket}}));
    cr_assert(during.verdict().starts_with("may_have_run"));
    sleep_for_ms(3000);
    cluster->instance(0).child->signal(SIGCONT);
    cr_assert(
        eventually([] { return cluster->status(0).value("ready", false); }));
    const auto after = send_request(work_request(
        caller_address(1), "/orders/new", "op",
        {{"lacewingbeam-ticket", ticket}, {"lacewingbeam-attempt", "2"}}));
    cr_assert_eq(after.verdict(), "completed");
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, key_resent_at_once_everywhere_runs_once) {
    cluster->add_instances(3);
    std::vector<std::future<http_response>> responses;
    for (std::size_t i = 0; i < 3; ++i) {
        responses.push_back(send_request_async(
            work_request(caller_address(i), "/orders/new?ms=50", "op",
                         {{"idempotency-key", "k"}})));
    }
    for (auto& response : responses) {
        cr_assert_eq(response.get().verdict(), "completed");
    }
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, claim_answer_lost_after_write_runs_once) {
    cluster->add_instances(2);
    cluster->control(cluster->platform_address(), {{"lose_answers", 1}});
    const auto response = send_request(work_request(
        caller_address(0), "/orders/new", "op", {{"idempotency-key", "k"}}));
    cr_assert_eq(response.verdict(), "completed");
    send_request(work_request(caller_address(1), "/orders/new", "op",
                              {{"idempotency-key", "k"}}));
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, platform_down_serves_reads_and_tickets_but_no_new_keys) {
    cluster->add_instances(2);
    const auto ticket = mint_ticket(0);
    cluster->control(cluster->platform_address(), {{"down", true}});
    sleep_for_ms(4500);
    cr_assert_eq(send_request({caller_address(0), "GET", "/orders/x"}).status,
                 200);
    cr_assert_eq(
        send_request(work_request(caller_address(1), "/orders/new", "op",
                                  {{"lacewingbeam-ticket", ticket}}))
            .verdict(),
        "completed");
    const auto keyed = send_request(work_request(
        caller_address(0), "/orders/new", "op2", {{"idempotency-key", "k"}}));
    cr_assert_eq(keyed.verdict(), "may_have_run; reason=store_unavailable");
    cr_assert_eq(cluster->count_runs("op2"), 0);
    cr_assert_neq(cluster->log_of(0).find("LB1103"), std::string::npos);
}

Test(fault, instance_started_during_outage_boots_from_peers) {
    cluster->add_instances(2);
    cluster->control(cluster->platform_address(), {{"down", true}});
    auto& new_instance = cluster->add_instance();
    cr_assert_eq(
        send_request({new_instance.caller_address, "GET", "/orders/x"}).status,
        200);
}

Test(fault, table_too_large_for_a_datagram_is_taken_from_peers) {
    for (int i = 0; i < 40; ++i) {
        cluster->update_row("orders/spare-" + std::to_string(i),
                            {{"address", "127.0.0.1:1"}, {"weight", "0"}});
    }
    cluster->add_instances(2);
    cluster->control(cluster->platform_address(), {{"down", true}});
    auto& new_instance = cluster->add_instance();
    cr_assert_eq(
        send_request({new_instance.caller_address, "GET", "/orders/x"}).status,
        200);
    cr_assert_eq(cluster->status(2).at("table_version"),
                 cluster->table_version());
}

Test(fault, instance_started_without_platform_or_peers_refuses_then_serves) {
    cluster->control(cluster->platform_address(), {{"down", true}});
    auto started =
        std::async(std::launch::async, [] { cluster->add_instance(); });
    cr_assert(eventually([] { return cluster->instance_count() == 1; }));
    const auto early = send_request({caller_address(0), "GET", "/orders/x"});
    cr_assert_eq(early.verdict(), "not_run; reason=table_unconfirmed");
    cluster->control(cluster->platform_address(), {{"down", false}});
    started.get();
    cr_assert_eq(send_request({caller_address(0), "GET", "/orders/x"}).status,
                 200);
}

Test(fault, truncated_answer_of_read_is_retried) {
    cluster->add_instances(1);
    cluster->control(cluster->server_address("a"), {{"cut_answers", 1}});
    for (int i = 0; i < 10; ++i) {
        const auto response =
            send_request({caller_address(0), "GET", "/orders/x?bytes=4000"});
        cr_assert_eq(response.status, 200);
        cr_assert_eq(response.body.size(), 4000);
    }
}

Test(fault, truncated_long_answer_is_never_reported_complete) {
    cluster->add_instances(1);
    cluster->control(cluster->server_address("a"), {{"cut_answers", 1}});
    cluster->control(cluster->server_address("b"), {{"cut_answers", 1}});
    const auto response = send_request(
        {caller_address(0), "GET", "/orders/export?ms=500&bytes=200000"});
    cr_assert_eq(response.status, 0, "%d with %zu bytes", response.status,
                 response.body.size());
}

Test(fault, lost_answer_of_single_attempt_may_have_run_once) {
    cluster->add_instances(1);
    cluster->control(cluster->server_address("a"), {{"drop_after_run", 1}});
    cluster->control(cluster->server_address("b"), {{"drop_after_run", 1}});
    const auto response =
        send_request(work_request(caller_address(0), "/orders/new", "op"));
    cr_assert_eq(response.verdict(), "may_have_run; reason=connection_lost");
    cr_assert_eq(cluster->count_runs("op"), 1);
}

Test(fault, kept_connection_closed_by_server_is_not_resent_by_library) {
    auto& proxy = cluster->add_server_proxy("orders", "a");
    cluster->update_row("orders/b", {{"state", "leaving"}});
    cluster->add_instances(1);
    cr_assert_eq(
        send_request(work_request(caller_address(0), "/orders/new", "warm"))
            .status,
        200);
    cluster->control(proxy.control,
                     {{"cut_answers", 1}, {"cut_after_bytes", 0}});
    // The request reaches the backend server over the pooled connection, which
    // then closes before the first byte of the response.
    const auto response =
        send_request(work_request(caller_address(0), "/orders/new", "op"));
    cr_assert_eq(response.verdict(), "may_have_run; reason=connection_lost");
    sleep_for_ms(500);
    cr_assert_eq(cluster->count_runs("op"), 1);
    cr_assert_eq(cluster->count_runs("warm"), 1);
}

Test(fault, kept_connection_closed_while_idle_costs_no_call) {
    auto& proxy = cluster->add_server_proxy("orders", "a");
    cluster->update_row("orders/b", {{"state", "leaving"}});
    cluster->add_instances(1);
    for (int i = 0; i < 5; ++i) {
        const auto name = "op" + std::to_string(i);
        cr_assert_eq(
            send_request(work_request(caller_address(0), "/orders/new", name))
                .status,
            200);
        cluster->control(proxy.control, {{"close_open", true}});
        sleep_for_ms(50);
    }
    cr_assert_eq(cluster->count_duplicate_runs(), 0);
}

Test(fault, silent_connections_are_replaced_by_working_ones) {
    auto& proxy = cluster->add_server_proxy("orders", "a");
    cluster->update_row("orders/b", {{"state", "leaving"}});
    cluster->add_instances(1);
    send_request({caller_address(0), "GET", "/orders/x"});
    cluster->control(proxy.control, {{"silence_open", true}});
    // The call that uses the silent connection may fail; later ones must not.
    send_request({caller_address(0), "GET", "/orders/x"});
    cr_assert_eq(send_request({caller_address(0), "GET", "/orders/x"}).status,
                 200);
    cr_assert_eq(
        send_request(work_request(caller_address(0), "/orders/new", "op"))
            .verdict(),
        "completed");
}

Test(fault, silent_connection_of_one_server_costs_reads_nothing) {
    auto& proxy = cluster->add_server_proxy("orders", "a");
    cluster->add_instances(1);
    for (int i = 0; i < 40; ++i) {
        send_request({caller_address(0), "GET", "/orders/x"});
    }
    cluster->control(proxy.control, {{"silence_open", true}});
    for (int i = 0; i < 10; ++i) {
        cr_assert_eq(
            send_request({caller_address(0), "GET", "/orders/x"}).status, 200);
    }
}

Test(fault, fail_fast_server_does_not_attract_load) {
    cluster->add_instances(1);
    cluster->control(cluster->server_address("a"), {{"fail_fast", true}});
    int succeeded = 0;
    for (int i = 0; i < 60; ++i) {
        succeeded +=
            send_request({caller_address(0), "GET", "/orders/x?ms=5"}).status ==
                    200
                ? 1
                : 0;
    }
    cr_assert_geq(succeeded, 45, "only %d of 60 reads succeeded\n%s", succeeded,
                  cluster->log_of(0).c_str());
}

Test(fault, server_leaving_by_platform_list_gets_no_new_work) {
    cluster->add_instances(1);
    cluster->control(cluster->platform_address(),
                     {{"instances",
                       {{{"address", cluster->server_address("a")},
                         {"role", "backend"},
                         {"state", "leaving"}}}}});
    sleep_for_ms(1500);
    const auto served = cluster->run_log("a").at("served");
    for (int i = 0; i < 10; ++i) {
        cr_assert_eq(
            send_request({caller_address(0), "GET", "/orders/x"}).status, 200);
    }
    cr_assert_eq(cluster->run_log("a").at("served"), served);
}

Test(fault, instance_listed_by_platform_is_found_without_seeds) {
    cluster->add_instances(1);
    cluster->control(cluster->platform_address(),
                     {{"instances",
                       {{{"address", cluster->instance(0).peer_address},
                         {"role", "lacewingbeam"},
                         {"state", "live"}}}}});
    cluster->disable_seeds();
    cluster->add_instance();
    cr_assert(eventually(
        [] { return cluster->status(1).value("active_instances", 0) == 2; }));
}

Test(fault, stopping_instance_finishes_work_and_ends) {
    cluster->add_instances(2);
    auto slow = send_request_async(
        work_request(caller_address(0), "/orders/new?ms=900", "op"));
    cr_assert(eventually([] { return cluster->count_runs("op") == 1; }));
    cluster->instance(0).child->signal(SIGTERM);
    cr_assert(eventually([] {
        return send_request(
                   {cluster->instance(0).admin_address, "GET", "/ready"})
                   .status == 503;
    }));
    cr_assert_eq(slow.get().status, 200);
    cr_assert(
        cluster->instance(0).child->wait_for_exit(std::chrono::seconds(20)));
    cr_assert_eq(cluster->instance(0).child->exit_code(), 0);
}

Test(fault, stopping_instance_keeps_no_idle_connection) {
    auto& proxy = cluster->add_server_proxy("orders", "a");
    cluster->update_row("orders/b", {{"state", "leaving"}});
    cluster->add_instances(1);
    send_request({caller_address(0), "GET", "/orders/x"});
    const auto count_open = [&] {
        const auto response = send_request({proxy.control, "GET", "/control"});
        return response.body_json().value("open", -1);
    };
    cr_assert_geq(count_open(), 1);
    mint_ticket(0); // keeps the instance running until the ticket expires
    cluster->instance(0).child->signal(SIGTERM);
    cr_assert(eventually([&] { return count_open() == 0; }));
    cr_assert(cluster->instance(0).child->is_running());
}

Test(fault,
     caller_disconnect_from_forwarded_call_does_not_keep_instance_alive) {
    cluster->add_instances(2);
    const auto ticket = mint_ticket(0);
    auto short_call = work_request(caller_address(1), "/orders/new?ms=1000",
                                   "op", {{"lacewingbeam-ticket", ticket}});
    short_call.timeout = std::chrono::milliseconds(200);
    cr_assert_eq(send_request(short_call).status, 0);
    cluster->instance(1).child->signal(SIGTERM);
    cr_assert(
        cluster->instance(1).child->wait_for_exit(std::chrono::seconds(20)));
}

Test(fault, malformed_datagram_is_dropped_and_logged) {
    cluster->add_instances(1);
    const auto& peer = cluster->instance(0).peer_address;
    send_raw(peer, std::string("\0\0\0\5hello", 9),
             std::chrono::milliseconds(300));
    cr_assert(eventually(
        [] { return cluster->log_of(0).find("LB1204") != std::string::npos; }));
    cr_assert_eq(send_request({caller_address(0), "GET", "/orders/x"}).status,
                 200);
}
