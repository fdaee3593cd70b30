#include "simulated_cluster.hpp"

#include <criterion/criterion.h>

// Tests how updates propagate between many instances when messages are lost and
// instances are killed.
using namespace lacewingbeam;
using namespace lacewingbeam::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(spread, large_installation_has_few_readers) {
    simulated_cluster cluster(120, 0.01);
    cluster.run_until(start + seconds(12));
    cr_assert_eq(cluster.count_with_server(), 120);
    cr_assert_leq(cluster.count_readers(), 8);
}

Test(spread, drain_reaches_all_within_two_seconds_with_lost_messages) {
    simulated_cluster cluster(120, 0.05);
    cluster.run_until(start + seconds(10));
    cluster.drain_server();
    cluster.run_until(cluster.now + seconds(2));
    cr_assert_eq(cluster.count_with_server(), 0);
}

Test(spread, drain_reaches_all_within_two_seconds_when_readers_die) {
    simulated_cluster cluster(60, 0.01);
    cluster.run_until(start + seconds(10));
    cluster.drain_server();
    cluster.kill_readers();
    cluster.run_until(cluster.now + seconds(2));
    cr_assert_eq(cluster.count_with_server(), 0);
}

// 2,000 routes take some 300 KB, which occupies a slow link for a quarter of a
// second.
Test(spread, edit_with_many_routes_reaches_all_in_time_over_slow_links) {
    simulated_cluster cluster(120, 0.01);
    cluster.run_until(start + seconds(10));
    const auto before = cluster.store_reads();
    cluster.edit_routes(2000);
    cluster.run_until(cluster.now + milliseconds(2500));
    cr_assert_eq(cluster.count_with_newest_routes(), 120);
    cr_assert_leq(cluster.store_reads() - before, 200);
}

Test(spread, small_edits_of_many_routes_follow_each_other_quickly) {
    simulated_cluster cluster(120, 0.01);
    cluster.run_until(start + seconds(10));
    cluster.edit_routes(2000);
    cluster.run_until(cluster.now + seconds(3));
    const auto before = cluster.store_reads();
    for (int i = 0; i < 5; ++i) {
        cluster.edit_routes(2000);
        cluster.run_until(cluster.now + milliseconds(400));
    }
    cluster.run_until(cluster.now + milliseconds(600));
    cr_assert_eq(cluster.count_with_newest_routes(), 120);
    cr_assert_leq(cluster.store_reads() - before, 200);
}

// Regression test: an instance that had missed one of several edits, or got
// them in the wrong order, requested all routes. In a storm of edits these took
// up the links and the processors.
Test(spread, storm_of_edits_with_lost_messages_sends_few_whole_rows) {
    simulated_cluster cluster(60, 0.05);
    cluster.run_until(start + seconds(10));
    cluster.edit_routes(400);
    cluster.run_until(cluster.now + seconds(3));
    const auto before = cluster.whole_rows_sent();
    cluster.slow_down(cluster.first_reader(), milliseconds(1500));
    for (int i = 0; i < 20; ++i) {
        cluster.edit_routes(400);
        cluster.run_until(cluster.now + milliseconds(300));
    }
    cluster.run_until(cluster.now + seconds(3));
    cr_assert_eq(cluster.count_with_newest_routes(), 60);
    const auto sent = cluster.whole_rows_sent() - before;
    cr_assert_leq(sent, 20, "%zu", sent);
}

// Regression test: each starting instance was sent the directory by all seeds,
// again with each request until the first answer had arrived.
Test(spread, restarted_instances_get_the_directory_once_in_their_domain) {
    simulated_cluster cluster(60, 0, milliseconds(30));
    cluster.run_until(start + seconds(10));
    cluster.edit_routes(400);
    cluster.run_until(cluster.now + seconds(3));
    const auto before = cluster.whole_rows_sent();
    const auto before_elsewhere = cluster.whole_rows_to_other_domains();
    for (std::size_t i = 3; i < 60; ++i) {
        cluster.restart(i);
    }
    cluster.run_until(cluster.now + seconds(2));
    cr_assert_eq(cluster.count_with_newest_routes(), 60);
    const auto elsewhere =
        cluster.whole_rows_to_other_domains() - before_elsewhere;
    const auto sent = cluster.whole_rows_sent() - before;
    cr_assert_eq(elsewhere, 0, "%zu", elsewhere);
    cr_assert_leq(sent, 57, "%zu", sent);
}

// Instances that the store refuses get large routes from their peers.
Test(spread, edit_with_many_routes_reaches_instances_refused_by_the_store) {
    simulated_cluster cluster(40, 0.01);
    cluster.run_until(start + seconds(10));
    cluster.refuse_from(30);
    cluster.edit_routes(2000);
    cluster.run_until(cluster.now + milliseconds(2500));
    cr_assert_eq(cluster.count_with_newest_routes(), 40);
}

// When all instances restart at once, none knows a reader yet. Each may read
// both tables twice.
Test(spread, simultaneous_start_causes_few_store_reads) {
    simulated_cluster cluster(120, 0.01, milliseconds(30));
    cluster.run_until(start + seconds(5));
    cr_assert_eq(cluster.count_with_server(), 120);
    cr_assert_leq(cluster.store_reads(), std::size_t{480}, "%zu",
                  cluster.store_reads());
    cluster.drain_server();
    cluster.run_until(cluster.now + seconds(2));
    cr_assert_eq(cluster.count_with_server(), 0);
}

// While the store serves no instance, the instances together send it at most
// one read per instance and second, and a change after its recovery reaches all
// within two seconds.
Test(spread, store_outage_causes_less_than_one_read_per_instance_and_second) {
    simulated_cluster cluster(120, 0.01);
    cluster.run_until(start + seconds(10));
    cluster.refuse_from(0);
    const auto before = cluster.store_reads();
    cluster.run_until(cluster.now + seconds(8));
    const auto reads = cluster.store_reads() - before;
    cr_assert_leq(reads, std::size_t{960}, "%zu", reads);
    cluster.refuse_from(1000);
    cluster.drain_server();
    cluster.run_until(cluster.now + seconds(2));
    cr_assert_eq(cluster.count_with_server(), 0);
}

// Regression test: a reader that was late with the routes announced them with
// the age of its last read of the servers, so its peers did not read the store.
Test(spread, slow_reader_does_not_keep_peers_on_outdated_routes) {
    simulated_cluster cluster(60, 0.01);
    cluster.run_until(start + seconds(10));
    cluster.slow_down(cluster.first_reader(), seconds(3));
    for (int i = 0; i < 20; ++i) {
        cluster.edit_routes(400);
        cluster.run_until(cluster.now + milliseconds(400));
        cr_assert_eq(cluster.count_with_outdated_routes(milliseconds(2500)), 0);
    }
}

// Regression test: messages that had waited for seconds on a busy link
// confirmed routes as if they had just been sent.
Test(spread, late_messages_do_not_keep_outdated_routes_in_force) {
    simulated_cluster cluster(60, 0.01);
    cluster.run_until(start + seconds(10));
    cluster.congest(seconds(3));
    cluster.run_until(cluster.now + seconds(8));
    for (int i = 0; i < 25; ++i) {
        cluster.edit_routes(400);
        cluster.run_until(cluster.now + milliseconds(400));
        cr_assert_eq(
            cluster.count_deciding_by_outdated_routes(milliseconds(2500)), 0);
    }
}

Test(spread, small_installation_has_one_reader) {
    simulated_cluster cluster(13, 0);
    cluster.run_until(start + seconds(10));
    cr_assert_eq(cluster.count_with_server(), 13);
    cr_assert_leq(cluster.count_readers(), 2);
}
