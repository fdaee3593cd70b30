#include "router_fixture.hpp"

#include <criterion/criterion.h>

// Placement, waiting, retries and refusals of routed requests.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr server_load_sample idle{0, 0, 3, 1};
constexpr server_load_sample full{3, 0, 3, 1};
constexpr server_load_sample overloaded{2, 1, 3, 5};

router_fixture_options retryable_options() {
    router_fixture_options options;
    options.retry = retry_policy::retryable;
    options.router.repeats = {0.2, 100, seconds(10)};
    return options;
}

router_fixture_options options_with_two_rounds() {
    router_fixture_options options;
    options.router.policy = expected_time_placement{4, 2};
    return options;
}

router_fixture_options options_with_slack() {
    router_fixture_options options;
    options.router.repeats = {0.2, 100, seconds(10)};
    return options;
}

verdict outcome_of(const request_router::actions& actions) {
    const auto finished = router_fixture::pick<finish_action>(actions);
    cr_assert_eq(finished.size(), 1);
    return finished[0].outcome;
}

} // namespace

Test(router, request_probes_before_it_is_sent) {
    router_fixture fixture(options_with_two_rounds());
    const auto probes = fixture.submit(1);
    cr_assert_eq(router_fixture::pick<probe_action>(probes).size(), 2);
    cr_assert(router_fixture::pick<send_action>(probes).empty());
    const auto sent = fixture.answer_probes(probes, idle);
    cr_assert_eq(router_fixture::pick<send_action>(sent).size(), 1);
}

// If both servers probed first are overloaded, two others are probed. The first
// idle one among them ends probing.
Test(router, overloaded_first_servers_lead_to_more_probes_of_others) {
    router_fixture fixture(options_with_two_rounds());
    const auto first = router_fixture::pick<probe_action>(fixture.submit(1));
    cr_assert_eq(first.size(), 2);
    fixture.router.on_probe_answered(first[0].id, overloaded, fixture.now);
    const auto more = router_fixture::pick<probe_action>(
        fixture.router.on_probe_answered(first[1].id, overloaded, fixture.now));
    cr_assert_eq(more.size(), 2);
    for (const auto& action : more) {
        cr_assert_neq(action.server, first[0].server);
        cr_assert_neq(action.server, first[1].server);
    }
    const auto sent = router_fixture::pick<send_action>(
        fixture.router.on_probe_answered(more[0].id, idle, fixture.now));
    cr_assert_eq(sent.size(), 1);
    cr_assert_eq(sent[0].server, more[0].server);
}

// When peak load lasts longer than the objective, requests on time go first.
Test(router, late_request_leaves_busy_servers_to_requests_on_time) {
    router_fixture_options options;
    options.servers = 1;
    router_fixture fixture(options);
    fixture.answer_probes(fixture.submit(1), full);
    fixture.now += milliseconds(400); // past the objective of 300 ms
    const server_load_sample one_free{2, 0, 3, 1};
    cr_assert(router_fixture::pick<send_action>(
                  fixture.router.on_load("s0", one_free, fixture.now))
                  .empty());
    const auto fresh = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(2), one_free));
    cr_assert_eq(fresh.size(), 1);
    cr_assert(fresh[0].call == call_id{2});
    const auto late = router_fixture::pick<send_action>(
        fixture.router.on_load("s0", {0, 0, 3, 1}, fixture.now));
    cr_assert_eq(late.size(), 1);
    cr_assert(late[0].call == call_id{1});
}

Test(router, slow_servers_are_avoided) {
    router_fixture fixture({});
    auto probes = router_fixture::pick<probe_action>(fixture.submit(1));
    std::vector<send_action> sent;
    std::string quick;
    for (std::size_t i = 0; i < probes.size() && sent.empty(); ++i) {
        const bool slow = i != 2;
        quick = slow ? quick : probes[i].server;
        const auto out = fixture.router.on_probe_answered(
            probes[i].id, server_load_sample{0, 0, 3, slow ? 5.0 : 1.0},
            fixture.now);
        for (const auto& more : router_fixture::pick<probe_action>(out)) {
            probes.push_back(more);
        }
        sent = router_fixture::pick<send_action>(out);
    }
    cr_assert_eq(sent.size(), 1);
    cr_assert_eq(sent[0].server, quick);
}

Test(router, unresponsive_servers_do_not_hold_a_request) {
    router_fixture fixture({});
    const auto probes = router_fixture::pick<probe_action>(fixture.submit(1));
    fixture.router.on_probe_answered(
        probes[0].id, server_load_sample{1, 0, 3, 1.5}, fixture.now);
    fixture.now += milliseconds(13);
    const auto sent =
        router_fixture::pick<send_action>(fixture.router.on_tick(fixture.now));
    cr_assert_eq(sent.size(), 1);
    cr_assert_eq(sent[0].server, probes[0].server);
}

Test(router, request_waits_while_every_slot_is_in_use) {
    router_fixture fixture({});
    const auto out = fixture.answer_probes(fixture.submit(1), full);
    cr_assert(router_fixture::pick<send_action>(out).empty());
    cr_assert(router_fixture::pick<finish_action>(out).empty());
}

Test(router, waiting_request_takes_a_freed_slot) {
    router_fixture fixture({});
    fixture.answer_probes(fixture.submit(1), full);
    const auto out = fixture.router.on_load("s1", {2, 0, 3, 1}, fixture.now);
    const auto sent = router_fixture::pick<send_action>(out);
    cr_assert_eq(sent.size(), 1);
    cr_assert_eq(sent[0].server, "s1");
}

// Regression test: a waiting request was sent twice when a response freed a
// slot while the request's own probes were pending.
Test(router, waiting_request_placed_on_a_freed_slot_is_not_sent_twice) {
    router_fixture fixture({});
    fixture.answer_probes(fixture.submit(1), full);
    fixture.now += milliseconds(50);
    const auto probes = fixture.router.on_tick(fixture.now);
    cr_assert_not(router_fixture::pick<probe_action>(probes).empty());
    const auto sent = fixture.router.on_load("s1", idle, fixture.now);
    cr_assert_eq(router_fixture::pick<send_action>(sent).size(), 1);
    const auto more = fixture.answer_probes(probes, idle);
    cr_assert(router_fixture::pick<send_action>(more).empty());
    fixture.now += milliseconds(20);
    cr_assert(
        router_fixture::pick<send_action>(fixture.router.on_tick(fixture.now))
            .empty());
}

Test(router, request_on_time_goes_before_a_late_one) {
    router_fixture fixture({});
    fixture.answer_probes(fixture.submit(1), full);
    fixture.now += milliseconds(400); // past the objective of 300 ms
    fixture.answer_probes(fixture.submit(2), full);
    const auto out = fixture.router.on_load("s1", {2, 0, 3, 1}, fixture.now);
    const auto sent = router_fixture::pick<send_action>(out);
    cr_assert_eq(sent.size(), 1);
    cr_assert(sent[0].call == call_id{2});
}

Test(router, at_most_once_request_is_not_sent_again_after_a_lost_answer) {
    router_fixture fixture(options_with_slack());
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    const auto out = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_unknown{may_have_run_reason::connection_lost},
        fixture.now);
    cr_assert(std::holds_alternative<may_have_run>(outcome_of(out)));
}

Test(router, at_most_once_request_is_sent_again_after_a_refusal) {
    router_fixture fixture(options_with_slack());
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    const auto probes = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_not_run{not_run_reason::shed}, fixture.now);
    const auto again =
        router_fixture::pick<send_action>(fixture.answer_probes(probes, idle));
    cr_assert_eq(again.size(), 1);
    cr_assert_neq(again[0].server, sent[0].server);
}

Test(router, repeat_without_budget_is_refused_at_once_with_retry_time) {
    router_fixture_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_fixture fixture(options);
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    const auto out = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_not_run{not_run_reason::shed}, fixture.now);
    cr_assert(std::holds_alternative<not_run>(outcome_of(out)));
    cr_assert(
        router_fixture::pick<finish_action>(out)[0].retry_after.has_value());
}

Test(router, retryable_request_is_sent_again_after_a_lost_answer) {
    router_fixture fixture(retryable_options());
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    const auto probes = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_unknown{may_have_run_reason::connection_lost},
        fixture.now);
    cr_assert_eq(
        router_fixture::pick<send_action>(fixture.answer_probes(probes, idle))
            .size(),
        1);
}

// Regression test: a read was reported as not run after a server had failed it
// and its retry found no free slot.
Test(router, failed_read_without_slot_for_its_retry_may_have_run) {
    router_fixture fixture(retryable_options());
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    auto actions = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_answered{true, 0}, fixture.now);
    while (router_fixture::pick<finish_action>(actions).empty()) {
        fixture.answer_probes(actions, full);
        fixture.now += milliseconds(20);
        actions = fixture.router.on_tick(fixture.now);
    }
    cr_assert(std::holds_alternative<may_have_run>(outcome_of(actions)));
}

Test(router, attempts_never_exceed_the_limit_of_the_route) {
    router_fixture fixture(retryable_options());
    auto actions = fixture.answer_probes(fixture.submit(1), idle);
    unsigned sends = 0;
    while (true) {
        const auto sent = router_fixture::pick<send_action>(actions);
        if (sent.empty()) {
            break;
        }
        ++sends;
        const auto probes = fixture.router.on_attempt_ended(
            sent[0].attempt,
            attempt_unknown{may_have_run_reason::connection_lost}, fixture.now);
        actions = fixture.answer_probes(probes, idle);
    }
    cr_assert_eq(sends, 2);
}

Test(router, slow_retryable_request_is_hedged) {
    router_fixture fixture(retryable_options());
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    fixture.now += milliseconds(181); // 0.6 of the objective
    const auto probes = fixture.router.on_tick(fixture.now);
    const auto second =
        router_fixture::pick<send_action>(fixture.answer_probes(probes, idle));
    cr_assert_eq(second.size(), 1);
    cr_assert(second[0].hedge);
    const auto done = fixture.router.on_attempt_ended(
        second[0].attempt, attempt_answered{}, fixture.now);
    const auto cancelled = router_fixture::pick<cancel_action>(done);
    cr_assert_eq(cancelled.size(), 1);
    cr_assert(cancelled[0].attempt == sent[0].attempt);
}

Test(router, answer_missing_at_the_deadline_may_have_run) {
    router_fixture fixture({});
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    fixture.now += milliseconds(1200);
    const auto out = fixture.router.on_tick(fixture.now);
    cr_assert_eq(std::get<may_have_run>(outcome_of(out)).reason,
                 may_have_run_reason::answer_timeout);
    cr_assert_eq(router_fixture::pick<cancel_action>(out).size(), 1);
}

Test(router, forwarded_timeout_never_exceeds_what_the_caller_has_left) {
    router_fixture fixture({});
    const auto probes = fixture.router.submit(
        {call_id{1}, "host", "/a/", milliseconds(500)}, fixture.now);
    fixture.now += milliseconds(10);
    const auto sent =
        router_fixture::pick<send_action>(fixture.answer_probes(probes, idle));
    cr_assert_leq(sent[0].time_left.count(),
                  duration(milliseconds(490)).count());
}

Test(router, caller_gone_cancels_its_attempts) {
    router_fixture fixture({});
    fixture.answer_probes(fixture.submit(1), idle);
    const auto out = fixture.router.on_caller_gone(call_id{1}, fixture.now);
    cr_assert_eq(router_fixture::pick<cancel_action>(out).size(), 1);
    cr_assert_eq(fixture.router.requests(), 0);
}

Test(router, unknown_route_is_refused_only_when_routes_are_known) {
    router_fixture fixture({});
    const auto out = fixture.router.submit(
        {call_id{1}, "other", "/a/", milliseconds(500)}, fixture.now);
    cr_assert_eq(std::get<not_run>(outcome_of(out)).reason,
                 not_run_reason::unknown_service);
}

// Regression test: after the loss of all instances the first requests were
// refused while the directory was still being loaded.
Test(router, early_request_waits_for_the_directory) {
    directory known;
    request_router router(known, {}, 1);
    const auto none =
        router.submit({call_id{1}, "host", "/a/", milliseconds(2000)}, start);
    cr_assert(none.empty());
    router_fixture other({});
    known.apply(other.known.rows_after(0), start);
    router.on_servers_changed(router_fixture::ids(4), start);
    const auto out = router.on_tick(start + seconds(0));
    cr_assert_not(out.empty());
    cr_assert(router_fixture::pick<finish_action>(out).empty());
}

Test(router, early_request_is_refused_with_retry_time_without_a_directory) {
    directory known;
    request_router router(known, {}, 1);
    router.submit({call_id{1}, "host", "/a/", milliseconds(2000)}, start);
    const auto out = router.on_tick(start + milliseconds(600));
    cr_assert(std::holds_alternative<not_run>(outcome_of(out)));
    cr_assert(
        router_fixture::pick<finish_action>(out)[0].retry_after.has_value());
}

// Regression test: 404 was sent for routes that newer routes had, by an
// instance that could have known that its own were outdated.
Test(router, request_waits_while_routes_may_be_outdated) {
    router_fixture fixture({});
    fixture.known.set_routes_valid_until(fixture.now - milliseconds(1));
    const auto none = fixture.router.submit(
        {call_id{1}, "other", "/a/", milliseconds(500)}, fixture.now);
    cr_assert(none.empty());
    cr_assert(fixture.router.waits_for_directory());
    fixture.known.set_routes_valid_until(fixture.now + seconds(1));
    cr_assert_eq(
        std::get<not_run>(outcome_of(fixture.router.on_tick(fixture.now)))
            .reason,
        not_run_reason::unknown_service);
}

Test(router, request_is_refused_soon_when_routes_stay_unconfirmed) {
    router_fixture fixture({});
    fixture.known.set_routes_valid_until(fixture.now - milliseconds(1));
    fixture.submit(1);
    const auto out = fixture.router.on_tick(fixture.now + milliseconds(150));
    cr_assert_eq(std::get<not_run>(outcome_of(out)).reason,
                 not_run_reason::table_unconfirmed);
    cr_assert(
        router_fixture::pick<finish_action>(out)[0].retry_after.has_value());
}

// Regression test: a request accepted seconds after SIGTERM was lost when the
// process had to exit.
Test(router, stop_refuses_late_arrivals) {
    router_fixture fixture({});
    fixture.router.begin_stop(fixture.now, fixture.now + seconds(2));
    const auto out = fixture.submit(1);
    cr_assert_eq(std::get<not_run>(outcome_of(out)).reason,
                 not_run_reason::instance_stopping);
}

Test(router, probe_budget_holds_at_peak_load) {
    router_fixture_options options;
    options.router.probes_per_second = 20;
    router_fixture fixture(options);
    std::map<std::string, unsigned> probes;
    const auto begin = fixture.now;
    std::uint64_t id = 1;
    for (; fixture.now < begin + seconds(10); fixture.now += milliseconds(2)) {
        auto actions = fixture.submit(id++);
        for (auto& item : fixture.router.on_tick(fixture.now)) {
            actions.push_back(std::move(item));
        }
        for (const auto& action : router_fixture::pick<probe_action>(actions)) {
            ++probes[action.server];
            fixture.router.on_probe_answered(action.id, full, fixture.now);
        }
    }
    for (const auto& [server, count] : probes) {
        cr_assert_leq(count, 20U * 10U);
    }
}

Test(router, shares_of_the_probe_budget_sum_to_it) {
    router_fixture_options options;
    options.router.probes_per_second = 20;
    router_fixture fixture(options);
    fixture.router.set_instances(10);
    unsigned probes = 0;
    const auto begin = fixture.now;
    std::uint64_t id = 1;
    for (; fixture.now < begin + seconds(10); fixture.now += milliseconds(5)) {
        const auto actions = fixture.submit(id++);
        for (const auto& action : router_fixture::pick<probe_action>(actions)) {
            probes += action.server == "s0" ? 1 : 0;
            fixture.router.on_probe_answered(action.id, full, fixture.now);
        }
    }
    constexpr unsigned burst = 12;
    cr_assert_leq(probes, 2 * 10 + burst);
}

Test(repeat_budget, all_instances_stay_within_the_window) {
    const repeat_limits limits{0.2, 56, seconds(10)};
    constexpr std::size_t instances = 13;
    std::vector<repeat_budget> budgets(instances, repeat_budget(limits));
    for (auto& budget : budgets) {
        budget.set_instances(instances, start);
    }
    unsigned requests = 0;
    unsigned repeats = 0;
    for (auto now = start; now < start + seconds(10); now += milliseconds(10)) {
        auto& receiver = budgets[requests % instances];
        receiver.on_request(now);
        ++requests;
        for (auto& budget : budgets) {
            if (budget.try_reserve(now)) {
                budget.on_sent();
                ++repeats;
            }
        }
    }
    cr_assert_leq(repeats, 0.2 * requests + 56);
    cr_assert_geq(repeats, 56 / 2);
}

Test(contention_estimator, slowdown_is_learned_and_limits_the_slots) {
    contention_estimator estimate;
    for (int i = 0; i < 60; ++i) {
        estimate.on_completed(false, i % 2 == 0 ? 0.9 : 1.1);
        estimate.on_completed(true, i % 2 == 0 ? 1.55 : 1.85);
    }
    cr_assert_float_eq(estimate.slowdown_factor(), 1.7, 0.15);
    cr_assert_eq(estimate.useful_slots(3), 2);
}

Test(contention_estimator, all_slots_are_used_without_slowdown) {
    contention_estimator estimate;
    for (int i = 0; i < 60; ++i) {
        estimate.on_completed(false, 1);
        estimate.on_completed(true, 1.02);
    }
    cr_assert_eq(estimate.useful_slots(6), 6);
}

Test(expected_time, busy_server_takes_longer_than_an_idle_one) {
    placement_inputs inputs;
    inputs.load = {3, 0, 0, 1};
    const double at_idle = expected_time_ms(inputs);
    inputs.load = {3, 3, 2, 1};
    cr_assert_gt(expected_time_ms(inputs), at_idle);
    inputs.load = {3, 0, 0, 5};
    cr_assert_gt(expected_time_ms(inputs), 4 * at_idle);
}

Test(expected_time, large_response_prefers_own_failure_domain) {
    placement_inputs near;
    near.load = {3, 1, 0, 1.5};
    near.response_kb = 90;
    placement_inputs far = near;
    far.load.slowness = 1;
    far.same_domain = false;
    cr_assert_lt(placement_cost_ms(near), placement_cost_ms(far));
    near.response_kb = far.response_kb = 1;
    cr_assert_gt(placement_cost_ms(near), placement_cost_ms(far));
}

Test(expected_time, failing_server_is_not_chosen_for_looking_idle) {
    placement_inputs failing;
    failing.load = {3, 0, 0, 1};
    failing.failure_score = 0.5;
    placement_inputs busy;
    busy.load = {3, 2, 0, 2};
    cr_assert_gt(placement_cost_ms(failing), placement_cost_ms(busy));
}
