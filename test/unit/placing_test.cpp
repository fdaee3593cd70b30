#include "lacewingbeam/load_predictor.hpp"
#include "router_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>

// Load prediction, and placement by outdated load samples.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr server_load_sample idle{0, 0, 3, 1};
constexpr server_load_sample full{3, 0, 3, 1};
constexpr server_load_sample slow{0, 0, 3, 5};

load_observation observed(const server_load_sample& sample, duration age) {
    return {sample, age, 0};
}

// Trains on servers that report their load every 100 ms. Each is slow for
// `slow_for` in every four such periods, so a quarter is slow at any time.
load_predictor train_on_slow_periods(duration slow_for) {
    load_predictor predictor;
    constexpr duration step = milliseconds(100);
    for (int server = 0; server < 20; ++server) {
        std::optional<load_observation> earlier;
        for (int i = 0; i < 40; ++i) {
            const auto period = (i * step + server * slow_for) / slow_for;
            const auto& now = period % 4 == 0 ? slow : idle;
            predictor.on_sample(earlier, now);
            earlier = observed(now, step);
        }
    }
    return predictor;
}

router_fixture_options options_without_probes() {
    router_fixture_options options;
    options.router.probes_per_second = 0;
    return options;
}

// Sends `count` requests, each of which its server refuses.
void shed_requests(router_fixture& fixture, std::uint64_t count) {
    for (std::uint64_t id = 1; id <= count; ++id) {
        auto sent = fixture.answer_probes(fixture.submit(1000 + id), idle);
        for (const auto& action : router_fixture::pick<send_action>(sent)) {
            fixture.router.on_attempt_ended(
                action.attempt, attempt_not_run{not_run_reason::shed},
                fixture.now);
        }
        fixture.now += milliseconds(20);
    }
}

} // namespace

Test(load_predictor, server_without_samples_gets_the_mean_load) {
    const auto predictor = train_on_slow_periods(milliseconds(500));
    const auto load = predictor.predict(std::nullopt, 3, 1, 50);
    cr_assert_eq(load.slots, 3);
    cr_assert_geq(load.running, 1);
    cr_assert_float_eq(load.slowness, 2, 0.3); // (3 * 1 + 5) / 4
}

Test(load_predictor, fresh_sample_is_used_unchanged) {
    const auto predictor = train_on_slow_periods(milliseconds(500));
    const auto load =
        predictor.predict(observed(slow, milliseconds(5)), 3, 0, 50);
    cr_assert_float_eq(load.slowness, slow.slowness, 1e-9);
}

Test(load_predictor, deviation_decays_with_sample_age) {
    const auto predictor = train_on_slow_periods(milliseconds(500));
    double before = slow.slowness;
    for (const int age : {30, 150, 600, 3000}) {
        const auto load =
            predictor.predict(observed(slow, milliseconds(age)), 3, 0, 50);
        cr_assert_leq(load.slowness, before);
        before = load.slowness;
    }
    cr_assert_lt(before, 2.5);
}

Test(load_predictor, persistent_slowness_decays_more_slowly) {
    const auto lasting = train_on_slow_periods(milliseconds(800));
    const auto brief = train_on_slow_periods(milliseconds(100));
    const auto age = milliseconds(100);
    cr_assert_gt(lasting.retained_deviation(age), 0.6);
    cr_assert_lt(brief.retained_deviation(age), 0.4);
}

Test(load_predictor, requests_of_other_instances_decay_and_own_requests_stay) {
    const load_predictor predictor;
    const auto load =
        predictor.predict(observed(full, milliseconds(500)), 3, 1, 50);
    cr_assert_float_eq(load.running, 1, 0.01);
    cr_assert_eq(load.waiting, 0);
}

// The probe budget is empty after a restart of all instances or after peak
// load. Requests must not wait, since the servers are free.
Test(placing, request_is_sent_without_probes_after_restart_of_all_instances) {
    router_fixture fixture(options_without_probes());
    const auto sent = router_fixture::pick<send_action>(fixture.submit(1));
    cr_assert_eq(sent.size(), 1);
}

Test(placing, requests_without_probes_are_spread_by_own_in_flight) {
    router_fixture fixture(options_without_probes());
    std::map<std::string, int> placed;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        for (const auto& action :
             router_fixture::pick<send_action>(fixture.submit(id))) {
            ++placed[action.server];
        }
    }
    cr_assert_eq(placed.size(), 4);
    for (const auto& [server, count] : placed) {
        cr_assert_eq(count, 2); // of three slots; the third causes contention
    }
}

Test(placing, request_without_probes_avoids_slow_servers) {
    router_fixture fixture(options_without_probes());
    for (const auto& id : router_fixture::ids(3)) {
        fixture.router.on_load(id, slow, fixture.now);
    }
    fixture.router.on_load("s3", idle, fixture.now);
    fixture.now += milliseconds(50);
    const auto sent = router_fixture::pick<send_action>(fixture.submit(1));
    cr_assert_eq(sent.size(), 1);
    cr_assert_eq(sent[0].server, "s3");
}

// Peak load has used up the probe budget and has ended. The load samples taken
// during it are outdated and must not keep requests waiting.
Test(known_red, past_peak_does_not_hold_requests_without_probes) {
    router_fixture fixture(options_without_probes());
    for (int i = 0; i < 50; ++i) {
        for (const auto& id : router_fixture::ids(4)) {
            fixture.router.on_load(id, full, fixture.now);
        }
        fixture.now += milliseconds(20);
    }
    fixture.now += seconds(2);
    const auto sent = router_fixture::pick<send_action>(fixture.submit(1));
    cr_assert_eq(sent.size(), 1);
}

// While some servers are slow, one that was fast recently is probed first.
Test(placing, recently_fast_server_is_probed_first) {
    router_fixture fixture({});
    for (const auto& id : router_fixture::ids(3)) {
        fixture.router.on_load(id, slow, fixture.now);
    }
    fixture.router.on_load("s3", idle, fixture.now);
    fixture.now += milliseconds(50);
    const auto probes = router_fixture::pick<probe_action>(fixture.submit(1));
    cr_assert_eq(probes.size(), 1);
    cr_assert_eq(probes[0].server, "s3");
}

Test(placing, own_failure_domain_is_probed_first) {
    router_fixture_options options;
    options.servers = 8;
    options.remote_servers = 4;
    options.router.failure_domain = "a";
    router_fixture fixture(options);
    const std::set<std::string> near{"s0", "s1", "s2", "s3"};
    for (const auto& id : router_fixture::ids(8)) {
        fixture.router.on_load(id, idle, fixture.now);
    }
    for (std::uint64_t id = 1; id <= 3; ++id) {
        fixture.now += milliseconds(30);
        const auto probes =
            router_fixture::pick<probe_action>(fixture.submit(id));
        cr_assert_eq(probes.size(), 1);
        cr_assert(near.contains(probes[0].server));
    }
}

// Every server of a service reports that it is idle but refuses half of its
// requests. Refusals of other requests must not keep a request waiting.
Test(placing, shedding_service_request_is_sent_and_not_held) {
    router_fixture_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_fixture fixture(options);
    shed_requests(fixture, 12);
    const auto out = fixture.answer_probes(fixture.submit(1), idle);
    cr_assert_eq(router_fixture::pick<send_action>(out).size(), 1);
    cr_assert(router_fixture::pick<finish_action>(out).empty());
}

Test(placing, shedding_service_caller_may_retry_at_once) {
    router_fixture_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_fixture fixture(options);
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    cr_assert_eq(sent.size(), 1);
    const auto finished =
        router_fixture::pick<finish_action>(fixture.router.on_attempt_ended(
            sent[0].attempt, attempt_not_run{not_run_reason::shed},
            fixture.now));
    cr_assert_eq(finished.size(), 1);
    cr_assert(finished[0].retry_after == duration::zero());
}

// If all servers are full, the retry time is when a slot may become free.
Test(placing, full_service_caller_is_told_to_retry_later) {
    router_fixture_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_fixture fixture(options);
    const auto sent = router_fixture::pick<send_action>(
        fixture.answer_probes(fixture.submit(1), idle));
    for (const auto& id : router_fixture::ids(4)) {
        fixture.router.on_load(id, full, fixture.now);
    }
    const auto finished =
        router_fixture::pick<finish_action>(fixture.router.on_attempt_ended(
            sent[0].attempt, attempt_not_run{not_run_reason::shed},
            fixture.now));
    cr_assert_eq(finished.size(), 1);
    cr_assert_gt(*finished[0].retry_after, milliseconds(20));
}
