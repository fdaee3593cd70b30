#include "path_cluster.hpp"

#include <criterion/criterion.h>

// Tests of instances that lose their paths to the backend servers.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double load = 150; // requests per second

// The operators' bound: later requests are served like those of others.
constexpr duration detection_bound = seconds(3);

struct shares {
    double cut_sent = 0;
    double cut_served = 0;
    double other_sent = 0;
    double other_served = 0;
};

shares count(const path_cluster& cluster, const std::set<std::size_t>& cut,
             time_point from, time_point to) {
    shares out;
    for (const auto& [id, request] : cluster.requests) {
        if (request.sent_at < from || request.sent_at >= to) {
            continue;
        }
        const bool is_cut = cut.contains(request.instance);
        (is_cut ? out.cut_sent : out.other_sent) += 1;
        (is_cut ? out.cut_served : out.other_served) += request.served ? 1 : 0;
    }
    return out;
}

void assert_promises(const path_cluster& cluster) {
    for (const auto& [id, request] : cluster.requests) {
        cr_assert(request.repeatable || request.runs <= 1, "request %zu",
                  std::size_t{id});
        cr_assert(request.repeatable || !request.not_run || request.runs == 0,
                  "request %zu", std::size_t{id});
        cr_assert_leq(request.runs, 2, "request %zu ran %u times, %u forwards",
                      std::size_t{id}, request.runs, request.forwards);
        cr_assert_leq(request.forwards, 3, "%u", request.forwards);
    }
}

} // namespace

Test(path_monitor, silent_servers_between_responses_are_not_a_lost_path) {
    path_monitor path(3);
    time_point now{seconds(1)};
    for (int i = 0; i < 10; ++i, now += seconds(1)) {
        cr_assert(!path.on_silent("a", 5, now));
        cr_assert(!path.on_silent("b", 5, now));
        path.on_response();
    }
    cr_assert(!path.is_lost());
}

Test(path_monitor, several_silent_servers_are_a_lost_path_until_a_response) {
    path_monitor path(3);
    const time_point now{seconds(1)};
    path.on_silent("a", 5, now);
    path.on_silent("b", 5, now + milliseconds(50));
    cr_assert(!path.on_silent("b", 5, now + milliseconds(100)));
    cr_assert(path.on_silent("c", 5, now + milliseconds(150)));
    cr_assert(path.on_response());
    cr_assert(!path.is_lost());
}

// Regression test: instances whose links to all servers hung or were reset
// refused all requests of their callers.
Test(paths, cut_instances_serve_their_callers_through_others) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        constexpr std::size_t instances = 13;
        path_cluster cluster(instances, seed);
        cluster.run_for(seconds(3), load);
        std::set<std::size_t> cut;
        const auto kind = static_cast<cut_kind>(seed % 3);
        if (seed % 2 == 0) { // a whole failure domain
            for (std::size_t i = 0; i < instances; i += 3) {
                cut.insert(i);
            }
        } else {
            const auto size = 1 + cluster.draw_below(instances - 3);
            while (cut.size() < size) {
                cut.insert(cluster.draw_below(instances));
            }
        }
        for (const auto i : cut) {
            cluster.cut(i, kind);
        }
        const auto began = cluster.now;
        cluster.run_for(seconds(9), load);
        const auto ended = cluster.now;
        cluster.heal();
        cluster.run_for(seconds(5), load);
        const auto during = count(cluster, cut, began + detection_bound, ended);
        cr_expect_geq(during.cut_served, 0.95 * during.cut_sent,
                      "seed %zu: %f of %f", std::size_t{seed},
                      during.cut_served, during.cut_sent);
        cr_expect_geq(during.other_served, 0.95 * during.other_sent);
        const auto after =
            count(cluster, cut, ended + seconds(1), ended + seconds(3));
        cr_expect_geq(after.cut_served, 0.97 * after.cut_sent,
                      "seed %zu: %f of %f", std::size_t{seed}, after.cut_served,
                      after.cut_sent);
        for (std::size_t i = 0; i < instances; ++i) {
            cr_expect_eq(cluster.router(i).lost_paths(), 0);
        }
        assert_promises(cluster);
    }
}

Test(paths, one_service_without_path_is_served_through_others) {
    path_cluster cluster(6, 5);
    cluster.run_for(seconds(3), load);
    cluster.cut(0, cut_kind::hangs, 1);
    cluster.cut(1, cut_kind::refuses, 1);
    const auto began = cluster.now;
    cluster.run_for(seconds(8), load);
    const auto during = count(cluster, {0, 1}, began + detection_bound,
                              cluster.now - seconds(2));
    cr_assert_geq(during.cut_served, 0.95 * during.cut_sent, "%f of %f",
                  during.cut_served, during.cut_sent);
    cr_assert_eq(cluster.router(0).lost_paths(), 1);
    assert_promises(cluster);
}

Test(paths, all_instances_cut_off_refuse_at_once_and_serve_again_afterwards) {
    path_cluster cluster(6, 9);
    cluster.run_for(seconds(3), load);
    for (std::size_t i = 0; i < 6; ++i) {
        cluster.cut(i, cut_kind::refuses);
    }
    cluster.run_for(seconds(6), load);
    cluster.heal();
    const auto healed = cluster.now;
    cluster.run_for(seconds(4), load);
    const auto after = count(cluster, {}, healed + seconds(2),
                             cluster.now - seconds(2) + seconds(1));
    cr_assert_geq(after.other_served, 0.97 * after.other_sent, "%f of %f",
                  after.other_served, after.other_sent);
    assert_promises(cluster);
}

// The servers are at fault, and the others tell no more.
Test(paths, ended_service_leaves_the_other_services_unaffected) {
    path_cluster cluster(6, 11);
    cluster.run_for(seconds(3), load);
    cluster.end_service(2);
    const auto began = cluster.now;
    cluster.run_for(seconds(6), load);
    const auto during =
        count(cluster, {}, began + seconds(1), cluster.now - seconds(2));
    cr_assert_geq(during.other_served, 0.64 * during.other_sent, "%f of %f",
                  during.other_served, during.other_sent);
    for (std::size_t i = 0; i < 6; ++i) {
        cr_assert_leq(cluster.router(i).lost_paths(), 1);
    }
    assert_promises(cluster);
}
