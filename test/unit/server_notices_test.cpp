#include "router_fixture.hpp"

#include <criterion/criterion.h>
#include <set>

// Tests of what backend servers say in their responses about further requests.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr server_load_sample idle{0, 0, 6, 1};

// Returns the servers that get the next `count` requests.
std::set<std::string> servers_of(router_fixture& fixture, unsigned count) {
    std::set<std::string> servers;
    for (unsigned i = 0; i < count; ++i) {
        for (const auto& sent : router_fixture::pick<send_action>(
                 fixture.answer_probes(fixture.submit(1000 + i), idle))) {
            servers.insert(sent.server);
            fixture.router.on_attempt_ended(sent.attempt, attempt_answered{},
                                            fixture.now);
        }
        fixture.now += milliseconds(100);
    }
    return servers;
}

} // namespace

Test(server_notices, leaving_server_gets_neither_requests_nor_probes) {
    router_fixture fixture({.servers = 2, .slots = 6});
    cr_assert(fixture.router.on_server_leaving("s0", fixture.now));
    cr_assert_not(fixture.router.on_server_leaving("s0", fixture.now));
    for (const auto& probe :
         router_fixture::pick<probe_action>(fixture.submit(1))) {
        cr_assert_eq(probe.server, "s1");
    }
    cr_assert(servers_of(fixture, 20) == std::set<std::string>{"s1"});
}

// Regression test: the notice was forgotten when the server's registration
// lapsed, and the server got requests again once it was back.
Test(server_notices, leaving_server_whose_registration_lapses_stays_unused) {
    router_fixture fixture({.servers = 2, .slots = 6});
    fixture.router.on_server_leaving("s0", fixture.now);
    auto row = *fixture.known.find_row("server/s0");
    const std::vector<std::string> changed{"s0"};
    row.version = 100;
    row.deleted = true;
    fixture.known.apply(std::vector<raw_row>{row}, fixture.now);
    fixture.router.on_servers_changed(changed, fixture.now);
    cr_assert_eq(fixture.known.available("svc").size(), 1);
    row.version = 101;
    row.deleted = false;
    fixture.known.apply(std::vector<raw_row>{row}, fixture.now);
    fixture.router.on_servers_changed(changed, fixture.now);
    cr_assert_eq(fixture.known.available("svc").size(), 2);
    cr_assert(servers_of(fixture, 20) == std::set<std::string>{"s1"});
}

Test(server_notices, later_run_of_a_server_is_not_bound) {
    server_notices notices;
    const time_point now{seconds(1)};
    notices.on_leaving("s", 1, now);
    cr_assert_not(notices.may_send("s", 1, now));
    cr_assert(notices.may_send("s", 2, now));
}

Test(server_notices, paused_server_gets_requests_again_after_the_pause) {
    router_fixture fixture({.servers = 2, .slots = 6});
    fixture.router.on_server_pause("s0", seconds(3), fixture.now);
    cr_assert(servers_of(fixture, 20) == std::set<std::string>{"s1"});
    fixture.now += seconds(1);
    cr_assert_eq(servers_of(fixture, 20).size(), 2);
}

Test(server_notices, service_that_asks_for_a_pause_refuses_at_once_until_then) {
    router_fixture fixture({.servers = 2, .slots = 6});
    fixture.router.on_server_pause("s0", seconds(3), fixture.now);
    fixture.router.on_server_pause("s1", seconds(2), fixture.now);
    const auto refused = router_fixture::pick<finish_action>(fixture.submit(1));
    cr_assert_eq(refused.size(), 1);
    cr_assert(std::holds_alternative<not_run>(refused[0].outcome));
    cr_assert(refused[0].retry_after == duration(seconds(2)));
}
