#include "router_fixture.hpp"

#include <criterion/criterion.h>

// Tests of how requests end when their instance stops.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr server_load_sample idle{0, 0, 3, 1};
constexpr server_load_sample full{3, 3, 3, 1};

struct stopping_fixture : router_fixture {
    stopping_fixture() : router_fixture({.servers = 2}) {}

    // The instance exits after the given time and accepts until then.
    void stop_within(duration left) {
        router.begin_stop(now + left, now + left);
    }

    std::vector<finish_action> run_for(duration time) {
        std::vector<finish_action> ended;
        const auto end = now + time;
        for (; now <= end; now += milliseconds(5)) {
            auto actions = router.on_tick(now);
            for (const auto& item : pick<finish_action>(actions)) {
                ended.push_back(item);
            }
            for (const auto& item :
                 pick<finish_action>(answer_probes(actions, full))) {
                ended.push_back(item);
            }
        }
        return ended;
    }
};

} // namespace

// Regression test: requests that waited for a slot when a stopping instance
// exited got no answer.
Test(request_stopping, waiting_request_is_refused_while_callers_can_be_told) {
    stopping_fixture fixture;
    cr_assert(fixture.answer_probes(fixture.submit(1), full).empty());
    fixture.stop_within(milliseconds(600));
    const auto ended = fixture.run_for(milliseconds(600));
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].outcome ==
              verdict(not_run{not_run_reason::instance_stopping}));
    cr_assert_leq(ended[0].retry_after->count(),
                  duration(milliseconds(50)).count());
}

// Other operators: requests taken late in a stop were sent to servers and cut,
// among them some that must not be repeated.
Test(request_stopping, request_that_would_not_complete_is_not_sent) {
    stopping_fixture fixture;
    fixture.stop_within(milliseconds(250)); // the objective is 300 ms
    const auto actions = fixture.submit(1);
    cr_assert(router_fixture::pick<probe_action>(actions).empty());
    const auto ended = router_fixture::pick<finish_action>(actions);
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].outcome ==
              verdict(not_run{not_run_reason::instance_stopping}));
}

Test(request_stopping, request_that_can_complete_is_served) {
    stopping_fixture fixture;
    fixture.stop_within(seconds(2));
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    cr_assert_eq(sent.size(), 1);
    fixture.now += milliseconds(900);
    const auto out = fixture.router.on_attempt_ended(
        sent[0].attempt, attempt_answered{false, 1}, fixture.now);
    cr_assert_eq(router_fixture::pick<deliver_action>(out).size(), 1);
}

Test(request_stopping, running_request_is_answered_at_the_end) {
    stopping_fixture fixture;
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    cr_assert_eq(sent.size(), 1);
    fixture.stop_within(milliseconds(500));
    const auto ended = fixture.run_for(milliseconds(500));
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].outcome ==
              verdict(may_have_run{may_have_run_reason::answer_timeout}));
}
