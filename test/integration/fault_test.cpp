#include "fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

// Faults between real processes. The run logs of the backend servers decide.
using namespace testing_support;

namespace {

std::unique_ptr<fleet> running;

void set_up() {
    running = std::make_unique<fleet>();
    running->add_service(
        "orders", {{"deadline_ms", "1500"}, {"long_work", "GET /export"}});
    running->add_server("orders", "a");
    running->add_server("orders", "b");
}

void tear_down() {
    running.reset();
}

const std::string& callers(std::size_t i) {
    return running->instance(i).callers;
}

std::string mint(std::size_t i) {
    const auto answer = ask({callers(i), "POST", "/.lacewingbeam/tickets"});
    return answer.body_json().at("tickets").at(0);
}

void pause_a_little(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

TestSuite(fault, .init = set_up, .fini = tear_down, .timeout = 120);

Test(fault, ticket_resent_through_every_instance_runs_once) {
    running->add_instances(3);
    const auto ticket = mint(0);
    for (std::size_t i = 0; i < 3; ++i) {
        const auto answer = ask(work(callers(i), "/orders/new", "op",
                                     {{"lacewingbeam-ticket", ticket}}));
        cr_assert_eq(answer.status, 200);
        cr_assert_eq(answer.verdict(), "completed");
        cr_assert(answer.body.starts_with("op"));
        cr_assert_neq(answer.header("lacewingbeam-next-ticket"), "");
    }
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, minter_killed_between_run_and_answer_runs_once) {
    running->add_instances(3);
    const auto ticket = mint(0);
    auto first = ask_later(work(callers(0), "/orders/new?ms=700", "op",
                                {{"lacewingbeam-ticket", ticket}}));
    cr_assert(eventually([] { return running->count_runs("op") == 1; }));
    running->instance(0).child->signal(SIGKILL);
    cr_assert_eq(first.get().status, 0);
    const auto again = ask(work(callers(1), "/orders/new?ms=700", "op",
                                {{"lacewingbeam-ticket", ticket}}));
    cr_assert_eq(again.verdict(), "may_have_run; reason=minter_unreachable");
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, minter_killed_after_answer_is_answered_from_journal) {
    running->add_instances(2);
    const auto ticket = mint(0);
    ask(work(callers(0), "/orders/new", "op",
             {{"lacewingbeam-ticket", ticket}}));
    pause_a_little(1500);
    running->instance(0).child->signal(SIGKILL);
    const auto again = ask(work(callers(1), "/orders/new", "op",
                                {{"lacewingbeam-ticket", ticket}}));
    cr_assert_eq(again.status, 200, "%s", again.body.c_str());
    cr_assert(again.body.starts_with("op"));
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, minter_stopped_past_every_timeout_runs_once) {
    running->add_instances(2, "suspect_after = 600\n");
    const auto ticket = mint(0);
    running->instance(0).child->signal(SIGSTOP);
    const auto during = ask(work(callers(1), "/orders/new", "op",
                                 {{"lacewingbeam-ticket", ticket}}));
    cr_assert(during.verdict().starts_with("may_have_run"));
    pause_a_little(3000);
    running->instance(0).child->signal(SIGCONT);
    cr_assert(
        eventually([] { return running->status(0).value("ready", false); }));
    const auto after = ask(
        work(callers(1), "/orders/new", "op",
             {{"lacewingbeam-ticket", ticket}, {"lacewingbeam-attempt", "2"}}));
    cr_assert_eq(after.verdict(), "completed");
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, key_resent_at_once_everywhere_runs_once) {
    running->add_instances(3);
    std::vector<std::future<http_answer>> answers;
    for (std::size_t i = 0; i < 3; ++i) {
        answers.push_back(ask_later(work(callers(i), "/orders/new?ms=50", "op",
                                         {{"idempotency-key", "k"}})));
    }
    for (auto& answer : answers) {
        cr_assert_eq(answer.get().verdict(), "completed");
    }
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, claim_answer_lost_after_write_runs_once) {
    running->add_instances(2);
    running->control(running->platform(), {{"lose_answers", 1}});
    const auto answer =
        ask(work(callers(0), "/orders/new", "op", {{"idempotency-key", "k"}}));
    cr_assert_eq(answer.verdict(), "completed");
    ask(work(callers(1), "/orders/new", "op", {{"idempotency-key", "k"}}));
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, platform_down_serves_reads_and_tickets_but_no_new_keys) {
    running->add_instances(2);
    const auto ticket = mint(0);
    running->control(running->platform(), {{"down", true}});
    pause_a_little(4500);
    cr_assert_eq(ask({callers(0), "GET", "/orders/x"}).status, 200);
    cr_assert_eq(ask(work(callers(1), "/orders/new", "op",
                          {{"lacewingbeam-ticket", ticket}}))
                     .verdict(),
                 "completed");
    const auto keyed =
        ask(work(callers(0), "/orders/new", "op2", {{"idempotency-key", "k"}}));
    cr_assert_eq(keyed.verdict(), "may_have_run; reason=store_unavailable");
    cr_assert_eq(running->count_runs("op2"), 0);
    cr_assert_neq(running->log_of(0).find("LB1103"), std::string::npos);
}

Test(fault, instance_started_during_outage_boots_from_peers) {
    running->add_instances(2);
    running->control(running->platform(), {{"down", true}});
    auto& fresh = running->add_instance();
    cr_assert_eq(ask({fresh.callers, "GET", "/orders/x"}).status, 200);
}

Test(fault, table_too_large_for_a_datagram_is_taken_from_peers) {
    for (int i = 0; i < 40; ++i) {
        running->edit("orders/spare-" + std::to_string(i),
                      {{"address", "127.0.0.1:1"}, {"weight", "0"}});
    }
    running->add_instances(2);
    running->control(running->platform(), {{"down", true}});
    auto& fresh = running->add_instance();
    cr_assert_eq(ask({fresh.callers, "GET", "/orders/x"}).status, 200);
    cr_assert_eq(running->status(2).at("table_version"),
                 running->table_version());
}

Test(fault, instance_started_without_platform_or_peers_refuses_then_serves) {
    running->control(running->platform(), {{"down", true}});
    auto started =
        std::async(std::launch::async, [] { running->add_instance(); });
    cr_assert(eventually([] { return running->instance_count() == 1; }));
    const auto early = ask({callers(0), "GET", "/orders/x"});
    cr_assert_eq(early.verdict(), "not_run; reason=table_unconfirmed");
    running->control(running->platform(), {{"down", false}});
    started.get();
    cr_assert_eq(ask({callers(0), "GET", "/orders/x"}).status, 200);
}

Test(fault, cut_answer_of_read_is_fetched_again_and_whole) {
    running->add_instances(1);
    running->control(running->server("a"), {{"cut_answers", 1}});
    for (int i = 0; i < 10; ++i) {
        const auto answer = ask({callers(0), "GET", "/orders/x?bytes=4000"});
        cr_assert_eq(answer.status, 200);
        cr_assert_eq(answer.body.size(), 4000);
    }
}

Test(fault, cut_long_answer_is_broken_off_never_whole) {
    running->add_instances(1);
    running->control(running->server("a"), {{"cut_answers", 1}});
    running->control(running->server("b"), {{"cut_answers", 1}});
    const auto answer =
        ask({callers(0), "GET", "/orders/export?ms=500&bytes=200000"});
    cr_assert_eq(answer.status, 0, "%d with %zu bytes", answer.status,
                 answer.body.size());
}

Test(fault, lost_answer_of_single_attempt_may_have_run_once) {
    running->add_instances(1);
    running->control(running->server("a"), {{"drop_after_run", 1}});
    running->control(running->server("b"), {{"drop_after_run", 1}});
    const auto answer = ask(work(callers(0), "/orders/new", "op"));
    cr_assert_eq(answer.verdict(), "may_have_run; reason=connection_lost");
    cr_assert_eq(running->count_runs("op"), 1);
}

Test(fault, kept_connection_closed_by_server_is_not_resent_by_library) {
    auto& proxy = running->put_proxy_before("orders", "a");
    running->edit("orders/b", {{"state", "leaving"}});
    running->add_instances(1);
    cr_assert_eq(ask(work(callers(0), "/orders/new", "warm")).status, 200);
    running->control(proxy.control,
                     {{"cut_answers", 1}, {"cut_after_bytes", 0}});
    // The request reaches the backend server over the kept connection, which
    // then closes without a byte of the answer.
    const auto answer = ask(work(callers(0), "/orders/new", "op"));
    cr_assert_eq(answer.verdict(), "may_have_run; reason=connection_lost");
    pause_a_little(500);
    cr_assert_eq(running->count_runs("op"), 1);
    cr_assert_eq(running->count_runs("warm"), 1);
}

Test(fault, kept_connection_closed_while_idle_costs_no_call) {
    auto& proxy = running->put_proxy_before("orders", "a");
    running->edit("orders/b", {{"state", "leaving"}});
    running->add_instances(1);
    for (int i = 0; i < 5; ++i) {
        const auto name = "op" + std::to_string(i);
        cr_assert_eq(ask(work(callers(0), "/orders/new", name)).status, 200);
        running->control(proxy.control, {{"close_open", true}});
        pause_a_little(50);
    }
    cr_assert_eq(running->count_doubled(), 0);
}

Test(fault, silent_connections_are_replaced_by_working_ones) {
    auto& proxy = running->put_proxy_before("orders", "a");
    running->edit("orders/b", {{"state", "leaving"}});
    running->add_instances(1);
    ask({callers(0), "GET", "/orders/x"});
    running->control(proxy.control, {{"silence_open", true}});
    // The call that meets the silent connection may fail; later ones must not.
    ask({callers(0), "GET", "/orders/x"});
    cr_assert_eq(ask({callers(0), "GET", "/orders/x"}).status, 200);
    cr_assert_eq(ask(work(callers(0), "/orders/new", "op")).verdict(),
                 "completed");
}

Test(fault, silent_connection_of_one_server_costs_reads_nothing) {
    auto& proxy = running->put_proxy_before("orders", "a");
    running->add_instances(1);
    for (int i = 0; i < 40; ++i) {
        ask({callers(0), "GET", "/orders/x"});
    }
    running->control(proxy.control, {{"silence_open", true}});
    for (int i = 0; i < 10; ++i) {
        cr_assert_eq(ask({callers(0), "GET", "/orders/x"}).status, 200);
    }
}

Test(fault, fail_fast_server_does_not_attract_work) {
    running->add_instances(1);
    running->control(running->server("a"), {{"fail_fast", true}});
    int good = 0;
    for (int i = 0; i < 60; ++i) {
        good +=
            ask({callers(0), "GET", "/orders/x?ms=5"}).status == 200 ? 1 : 0;
    }
    cr_assert_geq(good, 45, "only %d of 60 reads went well\n%s", good,
                  running->log_of(0).c_str());
}

Test(fault, server_leaving_by_platform_list_gets_no_new_work) {
    running->add_instances(1);
    running->control(running->platform(), {{"instances",
                                            {{{"address", running->server("a")},
                                              {"role", "backend"},
                                              {"state", "leaving"}}}}});
    pause_a_little(1500);
    const auto served = running->run_log("a").at("served");
    for (int i = 0; i < 10; ++i) {
        cr_assert_eq(ask({callers(0), "GET", "/orders/x"}).status, 200);
    }
    cr_assert_eq(running->run_log("a").at("served"), served);
}

Test(fault, instance_listed_by_platform_is_found_without_seeds) {
    running->add_instances(1);
    running->control(running->platform(),
                     {{"instances",
                       {{{"address", running->instance(0).peer},
                         {"role", "lacewingbeam"},
                         {"state", "live"}}}}});
    running->forget_seeds();
    running->add_instance();
    cr_assert(eventually(
        [] { return running->status(1).value("active_instances", 0) == 2; }));
}

Test(fault, stopping_instance_finishes_work_and_ends) {
    running->add_instances(2);
    auto slow = ask_later(work(callers(0), "/orders/new?ms=900", "op"));
    cr_assert(eventually([] { return running->count_runs("op") == 1; }));
    running->instance(0).child->signal(SIGTERM);
    cr_assert(eventually([] {
        return ask({running->instance(0).admin, "GET", "/ready"}).status == 503;
    }));
    cr_assert_eq(slow.get().status, 200);
    cr_assert(
        running->instance(0).child->wait_for_end(std::chrono::seconds(20)));
    cr_assert_eq(running->instance(0).child->exit_code(), 0);
}

Test(fault, stopping_instance_keeps_no_idle_connection) {
    auto& proxy = running->put_proxy_before("orders", "a");
    running->edit("orders/b", {{"state", "leaving"}});
    running->add_instances(1);
    ask({callers(0), "GET", "/orders/x"});
    const auto open = [&] {
        const auto answer = ask({proxy.control, "GET", "/control"});
        return answer.body_json().value("open", -1);
    };
    cr_assert_geq(open(), 1);
    mint(0); // keeps the instance until the ticket has expired
    running->instance(0).child->signal(SIGTERM);
    cr_assert(eventually([&] { return open() == 0; }));
    cr_assert(running->instance(0).child->is_running());
}

Test(fault, caller_gone_from_forwarded_call_does_not_keep_instance_alive) {
    running->add_instances(2);
    const auto ticket = mint(0);
    auto impatient = work(callers(1), "/orders/new?ms=1000", "op",
                          {{"lacewingbeam-ticket", ticket}});
    impatient.limit = std::chrono::milliseconds(200);
    cr_assert_eq(ask(impatient).status, 0);
    running->instance(1).child->signal(SIGTERM);
    cr_assert(
        running->instance(1).child->wait_for_end(std::chrono::seconds(20)));
}

Test(fault, strange_datagram_is_dropped_and_counted) {
    running->add_instances(1);
    const auto& peer = running->instance(0).peer;
    send_raw(peer, std::string("\0\0\0\5hello", 9),
             std::chrono::milliseconds(300));
    cr_assert(eventually(
        [] { return running->log_of(0).find("LB1204") != std::string::npos; }));
    cr_assert_eq(ask({callers(0), "GET", "/orders/x"}).status, 200);
}
