#include "lacewingbeam/budget.hpp"
#include "lacewingbeam/choice.hpp"
#include "lacewingbeam/deadline_queue.hpp"
#include "lacewingbeam/dispatcher.hpp"
#include "lacewingbeam/server_state.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>

// Tests of budgets, load-balancing policies, the deadline queue, server state
// and the dispatcher.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};

server_row make_row(const std::string& name, unsigned slots = 3) {
    server_row row;
    row.key = {"svc", name};
    row.address = "127.0.0.1:80";
    row.slots = slots;
    return row;
}

table_view make_table(unsigned servers, unsigned slots = 3) {
    table_view table;
    std::vector<raw_row> rows{{"svc", 1, false, {{"deadline_ms", "100"}}}};
    for (unsigned i = 0; i < servers; ++i) {
        rows.push_back(
            {"svc/s" + std::to_string(i),
             i + 2,
             false,
             {{"address", "127.0.0.1:80"}, {"slots", std::to_string(slots)}}});
    }
    table.apply(rows, servers + 1);
    return table;
}

call make_call(std::uint64_t id, bool idempotent = false) {
    call created;
    created.id = call_id{id};
    created.service = "svc";
    created.idempotent = idempotent;
    created.deadline = start + milliseconds(100);
    return created;
}

template <class Action>
std::vector<Action> actions_of(const dispatcher::actions& actions) {
    std::vector<Action> found;
    for (const auto& item : actions) {
        if (const auto* action = std::get_if<Action>(&item)) {
            found.push_back(*action);
        }
    }
    return found;
}

} // namespace

Test(token_bucket, new_bucket_is_empty_then_fills_to_burst) {
    token_bucket bucket(10, 1, start);
    cr_assert_not(bucket.try_take(start));
    cr_assert(bucket.try_take(start + milliseconds(100)));
    cr_assert_not(bucket.try_take(start + milliseconds(150)));
    cr_assert(bucket.try_take(start + seconds(60)));
    cr_assert_not(bucket.try_take(start + seconds(60)));
}

Test(probe_rate, all_instances_together_stay_within_share_in_any_window) {
    constexpr unsigned instances = 18;
    const double rate = probe_rate(milliseconds(6), 0.01, instances);
    const double window = 60;
    const double most = instances * (rate * window + 1);
    cr_assert_leq(most * 0.006, 0.01 * window + 1e-9);
    cr_assert_gt(rate, 0);
}

Test(probe_rate, budget_too_small_for_all_instances_allows_no_probe) {
    cr_assert_eq(probe_rate(seconds(10), 0.001, 100), 0);
}

Test(attempt_budget, retry_storm_is_bounded_by_calls) {
    attempt_budget budget(10, 5);
    unsigned granted = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_call();
        granted += budget.try_take() ? 1 : 0;
    }
    cr_assert_leq(granted, 105);
    cr_assert_geq(granted, 100);
}

Test(choice, random_policy_follows_weights) {
    std::vector<candidate> candidates(2);
    candidates[0] = {0, 1, 3, 0, 0, 1, 1, false};
    candidates[1] = {1, 3, 3, 0, 0, 1, 1, false};
    choice_policy policy = random_choice{};
    random_engine engine(7);
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 10000; ++i) {
        ++counts[*choose(policy, candidates, engine)];
    }
    cr_assert_gt(counts[1], 7000);
    cr_assert_lt(counts[1], 8000);
}

Test(choice, load_aware_avoids_full_slow_and_failing_servers) {
    std::vector<candidate> candidates(4);
    candidates[0] = {0, 1, 3, 0, 3, 2, 1, false};
    candidates[1] = {1, 1, 3, 0, 0, 20, 1, false};
    candidates[2] = {2, 1, 3, 0, 0, 2, 9, false};
    candidates[3] = {3, 1, 3, 0, 0, 2, 1, false};
    choice_policy policy = load_aware{};
    random_engine engine(7);
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(*choose(policy, candidates, engine), 3);
    }
}

Test(choice, every_policy_without_candidates_chooses_nothing) {
    random_engine engine(7);
    for (const auto* name : {"random", "round_robin", "least_in_flight",
                             "power_of_two", "load_aware"}) {
        auto policy = parse_policy(name);
        cr_assert_not(choose(policy, {}, engine).has_value());
    }
    cr_assert_throw(parse_policy("best"), error);
}

Test(deadline_queue, earliest_deadline_comes_first_and_limit_holds) {
    deadline_queue queue(2);
    cr_assert(queue.push(call_id{1}, start + seconds(2)));
    cr_assert(queue.push(call_id{2}, start + seconds(1)));
    cr_assert_not(queue.push(call_id{3}, start));
    cr_assert_eq(queue.calls_by_deadline().front(), call_id{2});
    cr_assert_eq(queue.take_expired(start + seconds(1)).size(), 1);
    cr_assert_eq(queue.size(), 1);
}

Test(server_state, estimate_from_old_report_decays) {
    server_state state(make_row("a"), start);
    state.on_report({2, 1}, start);
    cr_assert_gt(state.estimated_load(start), 2.9);
    cr_assert_lt(state.estimated_load(start + milliseconds(500)), 0.1);
}

Test(server_state, leaving_signal_lasts_until_not_repeated) {
    server_state state(make_row("a"), start);
    state.mark_leaving(start);
    cr_assert(state.is_leaving(start + seconds(29)));
    cr_assert_not(state.is_leaving(start + seconds(31)));
}

Test(server_state, leaving_cell_suffices_without_signal) {
    auto row = make_row("a");
    row.leaving = true;
    const server_state state(row, start);
    cr_assert(state.is_leaving(start + seconds(1000)));
}

Test(dispatcher, calls_wait_while_servers_are_full) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(1, 1), start);
    const auto first =
        actions_of<start_attempt>(subject.submit(make_call(1), start));
    cr_assert_eq(first.size(), 1);
    cr_assert(
        actions_of<start_attempt>(subject.submit(make_call(2), start)).empty());
    subject.on_head(first[0].attempt, false, start);
    const auto next = subject.on_ended(first[0].attempt, attempt_completed{},
                                       start + milliseconds(5));
    cr_assert_eq(actions_of<start_attempt>(next).size(), 1);
}

// A server that fails within 1 ms would look much faster than one that needs
// 60 ms for the same work, and would attract all calls if failures counted as
// latency samples.
Test(dispatcher, fast_failing_server_does_not_attract_slow_work) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(2), start);
    auto now = start;
    int failed = 0;
    for (unsigned i = 1; i <= 60; ++i) {
        auto call = make_call(i);
        call.deadline = now + seconds(1);
        const auto sent = actions_of<start_attempt>(subject.submit(call, now));
        cr_assert_eq(sent.size(), 1);
        const bool fails = sent[0].server.backend_server == "s0";
        failed += fails ? 1 : 0;
        now += milliseconds(fails ? 1 : 60);
        subject.on_head(sent[0].attempt, fails, now);
        subject.on_ended(sent[0].attempt, attempt_completed{}, now);
    }
    cr_assert_leq(failed, 15, "%d of 60 calls went to the failing server",
                  failed);
}

Test(dispatcher, waiting_call_is_refused_at_its_deadline) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(1, 1), start);
    subject.submit(make_call(1), start);
    subject.submit(make_call(2), start);
    const auto ended =
        actions_of<finish_call>(subject.tick(start + milliseconds(100)));
    cr_assert_eq(ended.size(), 2);
    cr_assert_eq(subject.calls(), 0);
    for (const auto& finished : ended) {
        const bool ran = finished.call == call_id{1};
        cr_assert_eq(certainly_not_run(finished.outcome), !ran);
    }
}

Test(dispatcher, lost_answer_of_non_idempotent_call_is_not_retried) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(2), start);
    const auto first =
        actions_of<start_attempt>(subject.submit(make_call(1), start));
    const auto after = subject.on_ended(
        first[0].attempt, attempt_lost{may_have_run_reason::connection_lost},
        start);
    cr_assert(actions_of<start_attempt>(after).empty());
    cr_assert_eq(actions_of<finish_call>(after).size(), 1);
}

Test(dispatcher, refusal_of_non_idempotent_call_is_retried_elsewhere) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(2), start);
    const auto first =
        actions_of<start_attempt>(subject.submit(make_call(1), start));
    const auto after = actions_of<start_attempt>(subject.on_ended(
        first[0].attempt, attempt_refused{not_run_reason::shed}, start));
    cr_assert_eq(after.size(), 1);
    cr_assert_neq(after[0].server.backend_server,
                  first[0].server.backend_server);
}

Test(dispatcher, refusal_after_loss_stays_may_have_run) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(2), start);
    auto attempts =
        actions_of<start_attempt>(subject.submit(make_call(1, true), start));
    attempts = actions_of<start_attempt>(subject.on_ended(
        attempts[0].attempt, attempt_lost{may_have_run_reason::connection_lost},
        start));
    for (int i = 0; i < 10 && !attempts.empty(); ++i) {
        const auto after = subject.on_ended(
            attempts[0].attempt, attempt_refused{not_run_reason::shed}, start);
        for (const auto& ended : actions_of<finish_call>(after)) {
            cr_assert_not(certainly_not_run(ended.outcome));
        }
        attempts = actions_of<start_attempt>(after);
    }
    subject.tick(start + seconds(1));
    cr_assert_eq(subject.calls(), 0);
}

Test(dispatcher, slow_read_is_hedged_and_loser_cancelled) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(2), start);
    for (std::uint64_t i = 1; i <= 50; ++i) {
        const auto sent = actions_of<start_attempt>(
            subject.submit(make_call(i, true), start));
        subject.on_head(sent[0].attempt, false, start + milliseconds(1));
        subject.on_ended(sent[0].attempt, attempt_completed{},
                         start + milliseconds(1));
    }
    const auto slow =
        actions_of<start_attempt>(subject.submit(make_call(100, true), start));
    const auto hedge =
        actions_of<start_attempt>(subject.tick(start + milliseconds(50)));
    cr_assert_eq(hedge.size(), 1);
    cr_assert_neq(hedge[0].server.backend_server,
                  slow[0].server.backend_server);
    const auto won =
        subject.on_head(hedge[0].attempt, false, start + milliseconds(51));
    cr_assert_eq(actions_of<cancel_attempt>(won).at(0).attempt,
                 slow[0].attempt);
}

Test(dispatcher,
     call_that_would_wait_long_is_refused_at_once_with_retry_after) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(1, 1), start);
    const auto first =
        actions_of<start_attempt>(subject.submit(make_call(1), start));
    subject.on_head(first[0].attempt, false, start + milliseconds(5));
    subject.on_ended(first[0].attempt, attempt_completed{},
                     start + milliseconds(5));
    std::vector<finish_call> refused;
    for (std::uint64_t i = 2; i < 10 && refused.empty(); ++i) {
        refused = actions_of<finish_call>(subject.submit(make_call(i), start));
    }
    cr_assert_eq(refused.size(), 1);
    cr_assert(refused[0].outcome ==
              verdict(not_run{not_run_reason::queue_full}));
    cr_assert_gt(refused[0].retry_after.count(), 0);
    cr_assert_lt(subject.waiting(), 5);
}

Test(dispatcher, limit_is_shared_between_instances) {
    auto table = make_table(4);
    const std::vector<raw_row> edit{{"svc", 9, false, {{"limit", "3"}}}};
    table.apply(edit, 9);
    unsigned running = 0;
    for (std::size_t rank = 0; rank < 2; ++rank) {
        dispatcher subject({}, 1);
        subject.set_share({2, rank});
        subject.apply_table(table, start);
        for (std::uint64_t i = 0; i < 10; ++i) {
            running +=
                actions_of<start_attempt>(subject.submit(make_call(i), start))
                    .size();
        }
    }
    cr_assert_eq(running, 3);
}

Test(dispatcher, leaving_server_gets_no_work) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(2), start);
    subject.find_server({"svc", "s0"})->mark_leaving(start);
    for (std::uint64_t i = 0; i < 3; ++i) {
        const auto sent =
            actions_of<start_attempt>(subject.submit(make_call(i), start));
        cr_assert_eq(sent.at(0).server.backend_server, "s1");
    }
}

Test(dispatcher, long_work_leaves_a_slot_for_short_work) {
    dispatcher subject({}, 1);
    subject.apply_table(make_table(1, 3), start);
    unsigned started = 0;
    for (std::uint64_t i = 0; i < 5; ++i) {
        auto long_call = make_call(i);
        long_call.length = work_length::long_work;
        started +=
            actions_of<start_attempt>(subject.submit(long_call, start)).size();
    }
    cr_assert_eq(started, 2);
    // Queued long calls must not block a short one from the remaining slot.
    auto arrived = make_call(10);
    arrived.deadline = start + milliseconds(50);
    cr_assert_eq(
        actions_of<start_attempt>(subject.submit(arrived, start)).size(), 1);
}
