#include "lacewingbeam/load_memory.hpp"
#include "router_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>

// Placing by what servers told some time ago, and what it is worth.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr server_load_sample idle{0, 0, 3, 1};
constexpr server_load_sample full{3, 0, 3, 1};
constexpr server_load_sample slow{0, 0, 3, 5};

told_load told(const server_load_sample& sample, duration age) {
    return {sample, age, 0};
}

// Servers of which a quarter is slow, each for as long as `lasts`; they tell
// their load every 100 ms.
load_memory learn_from_waves(duration lasts) {
    load_memory memory;
    constexpr duration step = milliseconds(100);
    for (int server = 0; server < 20; ++server) {
        std::optional<told_load> earlier;
        for (int i = 0; i < 40; ++i) {
            const auto wave = (i * step + server * lasts) / lasts;
            const auto& now = wave % 4 == 0 ? slow : idle;
            memory.on_told(earlier, now);
            earlier = told(now, step);
        }
    }
    return memory;
}

world_options world_without_probes() {
    world_options options;
    options.router.probes_per_second = 0;
    return options;
}

// Lets requests be refused by the servers they were sent to, `count` times.
void shed_requests(router_world& world, std::uint64_t count) {
    for (std::uint64_t id = 1; id <= count; ++id) {
        auto sent = world.answer_probes(world.submit(1000 + id), idle);
        for (const auto& order : router_world::pick<send_order>(sent)) {
            world.router.on_attempt_ended(order.attempt,
                                          attempt_not_run{not_run_reason::shed},
                                          world.now);
        }
        world.now += milliseconds(20);
    }
}

} // namespace

Test(load_memory, server_that_told_nothing_is_taken_for_a_usual_one) {
    const auto memory = learn_from_waves(milliseconds(500));
    const auto load = memory.expect(std::nullopt, 3, 1, 50);
    cr_assert_eq(load.slots, 3);
    cr_assert_geq(load.running, 1);
    cr_assert_float_eq(load.slowness, 2, 0.3); // (3 * 1 + 5) / 4
}

Test(load_memory, sample_of_this_moment_counts_as_it_is) {
    const auto memory = learn_from_waves(milliseconds(500));
    const auto load = memory.expect(told(slow, milliseconds(5)), 3, 0, 50);
    cr_assert_float_eq(load.slowness, slow.slowness, 1e-9);
}

Test(load_memory, deviation_fades_with_its_age) {
    const auto memory = learn_from_waves(milliseconds(500));
    double before = slow.slowness;
    for (const int age : {30, 150, 600, 3000}) {
        const auto load =
            memory.expect(told(slow, milliseconds(age)), 3, 0, 50);
        cr_assert_leq(load.slowness, before);
        before = load.slowness;
    }
    cr_assert_lt(before, 2.5);
}

Test(load_memory, slowness_that_lasts_is_remembered_for_longer) {
    const auto lasting = learn_from_waves(milliseconds(800));
    const auto brief = learn_from_waves(milliseconds(100));
    const auto age = milliseconds(100);
    cr_assert_gt(lasting.kept_after(age), 0.6);
    cr_assert_lt(brief.kept_after(age), 0.4);
}

Test(load_memory, requests_of_others_end_and_own_ones_are_known) {
    const load_memory memory;
    const auto load = memory.expect(told(full, milliseconds(500)), 3, 1, 50);
    cr_assert_float_eq(load.running, 1, 0.01);
    cr_assert_eq(load.waiting, 0);
}

// All instances started again a moment ago and may not probe yet, or a crest
// has used the probes up: servers are free, so nobody waits.
Test(placing, herd_restart_request_is_sent_at_once_without_probes) {
    router_world world(world_without_probes());
    const auto sent = router_world::pick<send_order>(world.submit(1));
    cr_assert_eq(sent.size(), 1);
}

Test(placing, crest_requests_without_probes_spread_by_own_requests) {
    router_world world(world_without_probes());
    std::map<std::string, int> placed;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        for (const auto& order :
             router_world::pick<send_order>(world.submit(id))) {
            ++placed[order.server];
        }
    }
    cr_assert_eq(placed.size(), 4);
    for (const auto& [server, count] : placed) {
        cr_assert_eq(count, 2); // of three slots; a third one slows it down
    }
}

Test(placing, crest_request_without_probes_passes_over_a_slow_server) {
    router_world world(world_without_probes());
    for (const auto& id : router_world::ids(3)) {
        world.router.on_load(id, slow, world.now);
    }
    world.router.on_load("s3", idle, world.now);
    world.now += milliseconds(50);
    const auto sent = router_world::pick<send_order>(world.submit(1));
    cr_assert_eq(sent.size(), 1);
    cr_assert_eq(sent[0].server, "s3");
}

// A crest that used the probes up has ended: what servers told in it is old,
// and says nothing against a server now.
Test(known_red, crest_that_is_over_does_not_hold_requests_without_probes) {
    router_world world(world_without_probes());
    for (int i = 0; i < 50; ++i) {
        for (const auto& id : router_world::ids(4)) {
            world.router.on_load(id, full, world.now);
        }
        world.now += milliseconds(20);
    }
    world.now += seconds(2);
    const auto sent = router_world::pick<send_order>(world.submit(1));
    cr_assert_eq(sent.size(), 1);
}

// A wave of slow servers: who was fast a moment ago is asked first.
Test(placing, slow_wave_server_that_was_fast_is_asked_first) {
    router_world world({});
    for (const auto& id : router_world::ids(3)) {
        world.router.on_load(id, slow, world.now);
    }
    world.router.on_load("s3", idle, world.now);
    world.now += milliseconds(50);
    const auto asked = router_world::pick<probe_order>(world.submit(1));
    cr_assert_eq(asked.size(), 1);
    cr_assert_eq(asked[0].server, "s3");
}

Test(placing, own_failure_domain_is_asked_first) {
    world_options options;
    options.servers = 8;
    options.far_servers = 4;
    options.router.failure_domain = "a";
    router_world world(options);
    const std::set<std::string> near{"s0", "s1", "s2", "s3"};
    for (const auto& id : router_world::ids(8)) {
        world.router.on_load(id, idle, world.now);
    }
    for (std::uint64_t id = 1; id <= 3; ++id) {
        world.now += milliseconds(30);
        const auto asked = router_world::pick<probe_order>(world.submit(id));
        cr_assert_eq(asked.size(), 1);
        cr_assert(near.contains(asked[0].server));
    }
}

// Every server of a service refuses half of its requests and says that it is
// idle: a refusal elsewhere is no reason to hold a request.
Test(placing, shedding_service_request_is_sent_and_not_held) {
    world_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_world world(options);
    shed_requests(world, 12);
    const auto out = world.answer_probes(world.submit(1), idle);
    cr_assert_eq(router_world::pick<send_order>(out).size(), 1);
    cr_assert(router_world::pick<finish_order>(out).empty());
}

Test(placing, shedding_service_caller_may_come_back_at_once) {
    world_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_world world(options);
    const auto sent = router_world::pick<send_order>(
        world.answer_probes(world.submit(1), idle));
    cr_assert_eq(sent.size(), 1);
    const auto finished =
        router_world::pick<finish_order>(world.router.on_attempt_ended(
            sent[0].attempt, attempt_not_run{not_run_reason::shed}, world.now));
    cr_assert_eq(finished.size(), 1);
    cr_assert(finished[0].retry_after == duration::zero());
}

// One that refuses since all servers are full tells when a slot may be free.
Test(placing, full_service_caller_comes_back_after_some_work) {
    world_options options;
    options.router.repeats = {0, 0, seconds(10)};
    router_world world(options);
    const auto sent = router_world::pick<send_order>(
        world.answer_probes(world.submit(1), idle));
    for (const auto& id : router_world::ids(4)) {
        world.router.on_load(id, full, world.now);
    }
    const auto finished =
        router_world::pick<finish_order>(world.router.on_attempt_ended(
            sent[0].attempt, attempt_not_run{not_run_reason::shed}, world.now));
    cr_assert_eq(finished.size(), 1);
    cr_assert_gt(*finished[0].retry_after, milliseconds(20));
}
