#include "lacewingbeam/request_quarantine.hpp"
#include "router_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

// Tests of requests that crash the servers that run them, and of innocent ones
// that ran beside them.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr request_fingerprint deadly = 0xdead;
constexpr request_fingerprint innocent = 0x900d;

// Instances that tell each other what is known, unless they are cut off.
class informed_instances {
public:
    explicit informed_instances(std::size_t count) : instances_(count) {
        for (std::size_t i = 0; i < count; ++i) {
            connect(i);
        }
    }

    void lose(std::size_t instance, request_fingerprint request,
              server_fingerprint server) {
        deliver(instance, at(instance).on_lost(request, server, now));
    }
    // Three instances see one loss each.
    void lose_at_three_servers(request_fingerprint request) {
        for (std::size_t i = 0; i < 3; ++i) {
            lose(i, request, i + 1);
            now += milliseconds(500);
        }
    }
    void complete(std::size_t instance, request_fingerprint request) {
        deliver(instance, at(instance).on_completed(request, now));
    }
    // Restarts the first instances at the same time.
    void restart(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            instances_[i] = {};
            connect(i);
        }
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            for (std::size_t started = 0; started < count; ++started) {
                if (i != started) {
                    deliver(i, at(i).on_peer_started(address_of(started), now));
                }
            }
        }
    }

    std::size_t refusing(request_fingerprint request) const {
        return static_cast<std::size_t>(std::count_if(
            instances_.begin(), instances_.end(), [&](const auto& item) {
                return item.refused_for(request, now).has_value();
            }));
    }

    // Returns the number of instances that may send the request.
    std::size_t sending(request_fingerprint request) const {
        return static_cast<std::size_t>(std::count_if(
            instances_.begin(), instances_.end(), [&](const auto& item) {
                return !item.refused_for(request, now) &&
                       (!item.is_suspected(request, now) ||
                        item.may_send_suspect(request));
            }));
    }

    request_quarantine& at(std::size_t instance) {
        return instances_[instance];
    }

    void deliver(std::size_t from, const request_quarantine::reports& reports) {
        for (const auto& item : reports) {
            ++messages;
            const auto to = std::stoul(item.peer);
            if (to != cut_off) {
                deliver(to,
                        at(to).on_report(address_of(from), item.report, now));
            }
        }
    }

    time_point now = start;
    std::size_t messages = 0;
    std::size_t cut_off = 1000;

private:
    static std::string address_of(std::size_t instance) {
        return std::to_string(instance);
    }
    void connect(std::size_t instance) {
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (i != instance) {
                peers.push_back(address_of(i));
            }
        }
        instances_[instance].set_instances(address_of(instance), peers);
    }

    std::vector<request_quarantine> instances_;
};

// A router whose attempts end when their server's connection is closed.
struct crashing_fixture : router_fixture {
    explicit crashing_fixture(unsigned servers = 8)
        : router_fixture({.servers = servers,
                          .retry = retry_policy::retryable,
                          .max_attempts = 3,
                          .router = {.repeats = {.slack = 20}}}) {}

    request_router::actions submit_as(std::uint64_t id,
                                      request_fingerprint fingerprint) {
        return with_probes_answered(router.submit(
            {call_id{id}, "host", "/a/b", milliseconds(2000), fingerprint},
            now));
    }

    // Returns the number of servers that the request reached.
    unsigned submit_and_crash(std::uint64_t id,
                              request_fingerprint fingerprint) {
        unsigned reached = 0;
        auto actions = submit_as(id, fingerprint);
        while (true) {
            const auto sent = pick<send_action>(actions);
            if (sent.empty()) {
                return reached;
            }
            ++reached;
            now += milliseconds(70);
            actions = with_probes_answered(router.on_attempt_ended(
                sent[0].attempt,
                attempt_unknown{may_have_run_reason::connection_lost, true},
                now));
        }
    }

private:
    request_router::actions
    with_probes_answered(const request_router::actions& actions) {
        auto out = answer_probes(actions, {0, 0, 3, 1});
        std::copy_if(actions.begin(), actions.end(), std::back_inserter(out),
                     [](const auto& action) {
                         return !std::holds_alternative<probe_action>(action);
                     });
        return out;
    }
};

} // namespace

// Regression test: a request that crashes each server that runs it was sent to
// server after server for as long as its caller sent it.
Test(quarantine, request_that_crashes_its_servers_is_refused_at_once) {
    crashing_fixture fixture;
    unsigned reached = 0;
    for (std::uint64_t id = 1; id <= 10; ++id) {
        reached += fixture.submit_and_crash(id, deadly);
        fixture.now += milliseconds(500);
    }
    cr_assert_leq(reached, 6, "%u", reached);
    const auto ended =
        router_fixture::pick<finish_action>(fixture.submit_as(20, deadly));
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].outcome ==
              verdict(not_run{not_run_reason::quarantined}));
    cr_assert_gt(ended[0].retry_after->count(), duration(seconds(10)).count());
    const auto other =
        router_fixture::pick<send_action>(fixture.submit_as(21, innocent));
    cr_assert_eq(other.size(), 1);
}

Test(quarantine, suspect_is_not_sent_again_by_the_instance) {
    crashing_fixture fixture;
    cr_assert_eq(fixture.submit_and_crash(1, deadly), 2);
    cr_assert_eq(fixture.submit_and_crash(2, deadly), 1);
}

Test(quarantine, lost_attempts_seen_by_three_instances_count_together) {
    for (const std::size_t count : {13U, 117U}) {
        informed_instances fleet(count);
        fleet.lose_at_three_servers(deadly);
        cr_assert_geq(fleet.refusing(deadly), count - count / 50);
        cr_assert_leq(fleet.messages, 30 * count, "%zu", fleet.messages);
    }
}

// Regression test: at twenty losses a second, the last ones that were
// remembered were so close together that they counted once, and the request was
// released.
Test(quarantine, request_with_many_callers_stays_refused_and_is_told_once) {
    informed_instances fleet(117);
    std::size_t refusing = 0;
    for (std::size_t i = 0; i < 200; ++i) {
        fleet.lose(i % 117, deadly, i + 1);
        fleet.now += milliseconds(40);
        cr_assert_geq(fleet.refusing(deadly), refusing);
        refusing = fleet.refusing(deadly);
    }
    cr_assert_geq(refusing, 115);
    cr_assert_leq(fleet.messages, 4000, "%zu", fleet.messages);
}

// Regression test: requests that had met three crashes caused by the same other
// request were refused as well.
Test(quarantine, crashes_by_a_refused_request_accuse_no_other) {
    informed_instances fleet(13);
    for (std::size_t i = 0; i < 2; ++i) {
        fleet.lose(i, deadly, i + 1);
        fleet.lose(i, innocent, i + 1);
        fleet.now += milliseconds(500);
    }
    fleet.lose(2, deadly, 3);
    fleet.lose(2, innocent, 3);
    fleet.now += milliseconds(500);
    fleet.lose(3, innocent, 4);
    cr_assert_eq(fleet.refusing(deadly), 13);
    cr_assert_eq(fleet.refusing(innocent), 0);
}

// One lost answer is ordinary and costs messages to the keepers only.
Test(quarantine, single_loss_is_told_to_few_instances) {
    informed_instances fleet(117);
    fleet.lose(5, innocent, 1);
    cr_assert_leq(fleet.messages, 2);
    cr_assert_eq(fleet.refusing(innocent), 0);
}

Test(quarantine, servers_that_fail_together_accuse_nobody) {
    informed_instances fleet(13);
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.lose(i, innocent, i + 1); // read by many callers
        fleet.now += milliseconds(20);
    }
    cr_assert_eq(fleet.refusing(innocent), 0);
}

// A popular request runs beside a deadly one time and again.
Test(quarantine, popular_request_beside_crashes_is_acquitted_by_its_successes) {
    informed_instances fleet(13);
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.lose(i % 13, innocent, i + 1);
        fleet.lose(i % 13, deadly, i + 1);
        fleet.now += milliseconds(300);
        fleet.complete(i % 13, innocent);
        fleet.now += milliseconds(300);
        cr_assert_eq(fleet.refusing(innocent), 0);
    }
    cr_assert_eq(fleet.refusing(deadly), 13);
}

Test(quarantine, success_anywhere_ends_the_quarantine_everywhere) {
    informed_instances fleet(13);
    fleet.lose_at_three_servers(innocent);
    cr_assert_eq(fleet.refusing(innocent), 13);
    fleet.complete(7, innocent); // was in progress
    cr_assert_eq(fleet.refusing(innocent), 0);
}

// A server that resets connections or loses answers has not crashed.
Test(quarantine, loss_at_a_server_that_responds_afterwards_is_refuted) {
    informed_instances fleet(13);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.lose(i, innocent, i + 1);
        fleet.now += milliseconds(200);
        fleet.deliver(i, fleet.at(i).on_server_alive(
                             i + 1, fleet.now - milliseconds(50), fleet.now));
        fleet.now += milliseconds(400);
    }
    cr_assert_eq(fleet.refusing(innocent), 0);
}

Test(quarantine, restarted_server_does_not_refute_its_crash) {
    request_quarantine known;
    known.on_lost(deadly, 1, start);
    known.on_server_alive(1, start + seconds(4), start + seconds(4));
    cr_assert_eq(known.losses(deadly), 1);
}

// Regression test: if the two keepers of a request had been restarted as well,
// nobody told the instances that had.
Test(quarantine, restarted_instances_are_told_whom_to_refuse) {
    for (request_fingerprint request = 1; request <= 40; ++request) {
        informed_instances fleet(13);
        fleet.lose_at_three_servers(request);
        cr_assert_eq(fleet.refusing(request), 13);
        fleet.restart(7);
        cr_assert_eq(fleet.refusing(request), 13);
    }
}

Test(quarantine, instance_cut_off_learns_with_the_next_loss) {
    informed_instances fleet(13);
    fleet.cut_off = 12;
    fleet.lose_at_three_servers(deadly);
    cr_assert_eq(fleet.refusing(deadly), 12);
    fleet.cut_off = 1000;
    fleet.lose(12, deadly, 4);
    cr_assert_eq(fleet.refusing(deadly), 13);
}

// Refusing forever would outlast the repair of the servers.
Test(quarantine, request_is_tried_again_after_a_while_and_longer_each_time) {
    request_quarantine known;
    auto now = start;
    for (server_fingerprint server = 1; server <= 3; ++server) {
        known.on_lost(deadly, server, now);
        now += seconds(1);
    }
    const auto first = known.refused_for(deadly, now);
    cr_assert(first.has_value());
    now += *first;
    cr_assert_not(known.refused_for(deadly, now).has_value());
    known.on_lost(deadly, 4, now);
    cr_assert_gt(known.refused_for(deadly, now)->count(), first->count());
}

Test(quarantine, memory_is_bounded_and_keeps_what_is_refused) {
    request_quarantine known;
    auto now = start;
    for (server_fingerprint server = 1; server <= 3; ++server) {
        known.on_lost(deadly, server, now);
        now += seconds(1);
    }
    for (request_fingerprint request = 1; request < 20000; ++request) {
        known.on_lost(request, 7, now);
        now += milliseconds(1);
    }
    cr_assert_leq(known.size(), 1024);
    cr_assert(known.refused_for(deadly, now).has_value());
}

// Regression test: losses less than 0.4 s apart counted once, so a request that
// was repeated at once reached servers in burst after burst.
Test(quarantine, request_repeated_at_once_reaches_few_servers_after_a_burst) {
    for (const std::size_t count : {3U, 13U, 117U}) {
        for (std::size_t burst = 3; burst <= 8; ++burst) {
            informed_instances fleet(count);
            server_fingerprint server = 1;
            for (std::size_t i = 0; i < burst; ++i) {
                fleet.lose(i % count, deadly, server++);
                fleet.now += milliseconds(burst % 2 == 0 ? 0 : 30);
            }
            std::size_t reached = 0;
            for (int round = 0; round < 4; ++round) {
                fleet.now += milliseconds(4500);
                // All instances that may do so send it at the same time.
                const auto sent = fleet.sending(deadly);
                reached += sent;
                for (std::size_t i = 0; i < sent; ++i) {
                    fleet.lose(i, deadly, server++);
                }
            }
            cr_expect_leq(reached, 3, "%zu instances, %zu at once: %zu", count,
                          burst, reached);
        }
    }
}

// Servers that fail together while many callers read the same.
Test(quarantine, popular_request_is_sent_after_servers_fail_together) {
    for (const std::size_t count : {13U, 117U}) {
        informed_instances fleet(count);
        for (std::size_t i = 0; i < count; i += 2) {
            fleet.at(i).note_completed(innocent, fleet.now);
        }
        fleet.now += seconds(2);
        for (std::size_t i = 0; i < 10; ++i) {
            fleet.lose(i, innocent, i + 1);
        }
        cr_assert_eq(fleet.refusing(innocent), 0);
        cr_assert_geq(fleet.sending(innocent), count - count / 50, "%zu",
                      fleet.sending(innocent));
    }
}

// A request that is read for the first time when servers fail is not lost for
// good: a few instances try it, and tell the others.
Test(quarantine, suspected_request_is_free_once_it_is_completed) {
    informed_instances fleet(13);
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.lose(i, innocent, i + 1);
    }
    cr_assert_eq(fleet.sending(innocent), 3);
    fleet.complete(5, innocent);
    cr_assert_eq(fleet.sending(innocent), 13);
}

Test(quarantine, router_sends_a_suspected_request_one_at_a_time) {
    crashing_fixture fixture;
    const suspect_report report{deadly, {{1, {}}, {2, {}}, {3, {}}}};
    fixture.router.on_suspect_report("peer", report, fixture.now);
    const auto first =
        router_fixture::pick<send_action>(fixture.submit_as(1, deadly));
    cr_assert_eq(first.size(), 1);
    const auto next = fixture.submit_as(2, deadly);
    cr_assert(router_fixture::pick<send_action>(next).empty());
    const auto ended = router_fixture::pick<finish_action>(next);
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].outcome ==
              verdict(not_run{not_run_reason::quarantined}));
    cr_assert_leq(ended[0].retry_after->count(), duration(seconds(1)).count());
    const auto other =
        router_fixture::pick<send_action>(fixture.submit_as(3, innocent));
    cr_assert_eq(other.size(), 1);
    fixture.router.on_attempt_ended(first[0].attempt,
                                    attempt_answered{false, 1}, fixture.now);
    cr_assert_eq(
        router_fixture::pick<send_action>(fixture.submit_as(4, deadly)).size(),
        1);
    cr_assert_eq(
        router_fixture::pick<send_action>(fixture.submit_as(5, deadly)).size(),
        1);
}
