#include "simulated_cluster.hpp"

#include <criterion/criterion.h>

// Tests of what happens when the store is restored from a copy that is some
// seconds old: which rows hold, and how instances with different news agree.
using namespace lacewingbeam;
using namespace lacewingbeam::test;

namespace {

raw_row make_server_row(store_version version, bool leaving,
                        const std::string& started_at = "1") {
    registered_server server;
    server.id = "s";
    server.service = "svc";
    server.address = "127.0.0.1:80";
    server.leaving = leaving;
    server.started_at = started_at;
    return make_row(server, version);
}

raw_row make_tombstone(store_version version) {
    return {"server/s", version, true, {}};
}

// Three edits and a drain after the copy was taken.
struct restored_cluster : simulated_cluster {
    explicit restored_cluster(std::size_t count, double loss = 0.01)
        : simulated_cluster(count, loss) {
        run_until(start + seconds(10));
        copy_store();
    }

    void change_all() {
        for (int i = 0; i < 3; ++i) {
            edit_routes(30);
            run_until(now + seconds(1));
        }
        drain_server();
        run_until(now + seconds(1));
    }

    void change_all_and_restore() {
        change_all();
        restore_store();
    }
};

struct merging_fixture {
    directory known;

    void receive(const raw_row& row) {
        known.apply(std::vector<raw_row>{row}, start);
    }
    bool is_available() const { return !known.available("svc").empty(); }
};

constexpr auto all_earlier = store_version::all_earlier;

} // namespace

// Regression test: edits after a restore were discarded, because their
// revisions were lower than that of the routes held.
Test(store_restore, edit_after_a_restore_reaches_all) {
    for (const std::size_t count : {13U, 60U}) {
        restored_cluster cluster(count);
        cluster.change_all_and_restore();
        cluster.run_until(cluster.now + seconds(2));
        cluster.edit_routes(30);
        cluster.run_until(cluster.now + seconds(2));
        cr_assert_eq(cluster.count_with_newest_routes(), count);
    }
}

Test(store_restore, changes_in_force_do_not_go_back) {
    restored_cluster cluster(13);
    cluster.change_all_and_restore();
    for (int i = 0; i < 40; ++i) {
        cluster.run_until(cluster.now + milliseconds(200));
        cr_assert_eq(cluster.count_with_newest_routes(), 13);
        cr_assert_eq(cluster.count_with_server(), 0);
    }
    cluster.write_again();
    cluster.run_until(cluster.now + seconds(8));
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
    cr_assert_eq(cluster.count_with_server(), 0);
}

Test(store_restore, copy_is_trusted_when_nobody_writes_again) {
    restored_cluster cluster(13);
    cluster.drain_server();
    cluster.run_until(cluster.now + seconds(1));
    cr_assert_eq(cluster.count_with_server(), 0);
    cluster.restore_store();
    cluster.run_until(cluster.now + seconds(12));
    cr_assert_eq(cluster.count_with_server(), 13);
}

// A server that registered after the copy was taken registers again.
Test(store_restore, server_missing_in_the_copy_stays_until_it_had_time) {
    restored_cluster cluster(13);
    cluster.restore_without_server();
    cluster.run_until(cluster.now + milliseconds(1900));
    cr_assert_eq(cluster.count_with_server(), 13);
    cluster.run_until(cluster.now + seconds(3));
    cr_assert_eq(cluster.count_with_server(), 0);
}

Test(store_restore, second_restore_keeps_changes_too) {
    restored_cluster cluster(13);
    cluster.change_all_and_restore();
    cluster.run_until(cluster.now + seconds(1));
    cluster.restore_store();
    cluster.run_until(cluster.now + seconds(1));
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
    cr_assert_eq(cluster.count_with_server(), 0);
    cluster.edit_routes(30);
    cluster.run_until(cluster.now + seconds(2));
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
}

// The instance reads older routes than its peers hold, from the copy.
Test(store_restore, instance_cut_off_over_the_restore_gets_newer_routes) {
    restored_cluster cluster(13);
    cluster.cut_off(5);
    cluster.change_all_and_restore();
    cluster.run_until(cluster.now + seconds(1));
    cluster.reconnect();
    cluster.run_until(cluster.now + milliseconds(2500));
    cr_assert(cluster.serves_newest_routes(5));
    cr_assert_not(cluster.knows_server(5));
    cr_assert_eq(cluster.count_deciding_by_other_routes(), 0);
}

// The only instance that saw the last edit is cut off and returns after it.
Test(store_restore, instance_that_alone_saw_an_edit_tells_its_peers) {
    restored_cluster cluster(13, 0);
    cluster.change_all();
    const auto last = cluster.first_reader();
    cluster.cut_off(last);
    cluster.restore_store();
    cluster.run_until(cluster.now + seconds(3));
    cluster.reconnect();
    cluster.run_until(cluster.now + seconds(3));
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
    cr_assert_eq(cluster.count_with_server(), 0);
}

Test(store_restore, starting_instances_take_newer_routes_of_their_peers) {
    restored_cluster cluster(13);
    cluster.change_all_and_restore();
    cluster.run_until(cluster.now + milliseconds(500));
    for (std::size_t i = 0; i < 6; ++i) {
        cluster.restart(i);
    }
    cluster.run_until(cluster.now + milliseconds(2500));
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
    cr_assert_eq(cluster.count_deciding_by_other_routes(), 0);
}

// Regression test: responses of an earlier era were discarded and the read was
// repeated at once, in an endless loop.
Test(store_restore, store_whose_era_went_back_is_read_at_the_usual_pace) {
    restored_cluster cluster(13);
    cluster.break_era();
    const auto before = cluster.store_reads();
    cluster.run_until(cluster.now + seconds(5));
    const auto reads = cluster.store_reads() - before;
    constexpr std::size_t allowed = 260; // four per instance and second
    cr_assert_leq(reads, allowed, "%zu", reads);
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
}

// A response made before the store went away arrives after its return.
Test(store_restore, late_response_of_the_earlier_era_is_discarded) {
    restored_cluster cluster(13);
    cluster.change_all();
    cluster.slow_down(cluster.first_reader(), seconds(2));
    cluster.edit_routes(30);
    cluster.run_until(cluster.now + milliseconds(300));
    cluster.restore_store();
    cluster.run_until(cluster.now + seconds(4));
    cluster.edit_routes(30);
    cluster.run_until(cluster.now + seconds(4));
    cr_assert_eq(cluster.count_with_newest_routes(), 13);
}

Test(directory_eras, older_row_of_a_copy_does_not_replace_a_newer_one) {
    merging_fixture fixture;
    fixture.receive(make_server_row({1, 30}, true));
    fixture.receive(make_server_row({2, 20}, false));
    cr_assert_not(fixture.is_available());
    cr_assert(fixture.known.has_kept_rows());
}

Test(directory_eras, order_of_arrival_does_not_matter) {
    merging_fixture fixture;
    fixture.receive(make_server_row({2, 20}, false));
    fixture.receive(make_server_row({1, 30}, true));
    cr_assert_not(fixture.is_available());
    merging_fixture removed;
    removed.receive(make_server_row({2, 20}, false));
    removed.receive(make_tombstone({1, 30, all_earlier}));
    cr_assert_not(removed.is_available());
}

Test(directory_eras, row_written_after_the_restore_replaces_any_earlier_one) {
    merging_fixture fixture;
    fixture.receive(make_tombstone({1, 30, all_earlier}));
    fixture.receive(make_server_row({2, 20, 0}, false));
    cr_assert_not(fixture.is_available());
    fixture.receive(make_server_row({2, 22, all_earlier}, false));
    cr_assert(fixture.is_available());
    fixture.receive(make_tombstone({1, 30, all_earlier}));
    cr_assert(fixture.is_available());
}

Test(directory_eras, leaving_or_restarted_server_of_a_copy_is_believed) {
    merging_fixture fixture;
    fixture.receive(make_server_row({1, 30}, false));
    fixture.receive(make_server_row({2, 20}, true));
    cr_assert_not(fixture.is_available());
    merging_fixture restarted;
    restarted.receive(make_server_row({1, 30}, true, "100"));
    restarted.receive(make_server_row({2, 20}, false, "200"));
    cr_assert(restarted.is_available());
}

Test(directory_eras, kept_row_wins_over_the_same_copy_from_a_peer) {
    merging_fixture fixture;
    fixture.receive(make_server_row({1, 30}, true));
    fixture.receive(make_server_row({2, 20}, false));
    fixture.receive(make_server_row({2, 20}, false));
    fixture.receive(make_server_row({3, 20}, false));
    cr_assert_not(fixture.is_available());
    fixture.receive(make_server_row({3, 21, all_earlier}, false));
    cr_assert(fixture.is_available());
}

Test(directory_eras, routes_are_ordered_by_the_operators_number) {
    directory known;
    routing_table newer;
    newer.version = "0000000c";
    routing_table older;
    older.version = "0000000a";
    known.apply(std::vector<raw_row>{make_row(newer, 12)}, start);
    known.apply(std::vector<raw_row>{make_row(older, 10)}, start);
    cr_assert_eq(known.routing()->version, "0000000c");
}

Test(freshness_eras, times_of_an_earlier_era_confirm_nothing) {
    freshness_tracker tracker;
    tracker.on_read_started(store_table::routing, start);
    tracker.on_read_completed(store_table::routing,
                              store_time(seconds(900), 1));
    tracker.on_era(2);
    cr_assert_not(tracker.is_clock_known());
    const auto confirmed_at = tracker.routes_confirmed_at();
    cr_assert(confirmed_at.has_value());
    tracker.on_peer_routes(true, store_time(seconds(990), 1),
                           start + seconds(5));
    cr_assert(tracker.routes_confirmed_at() == confirmed_at);
    tracker.on_read_started(store_table::routing, start + seconds(6));
    tracker.on_read_completed(store_table::routing, store_time(seconds(3), 2));
    cr_assert(tracker.is_clock_known());
    cr_assert_leq((start + seconds(6) - *tracker.routes_confirmed_at()).count(),
                  duration(milliseconds(1)).count());
}
