#include "lacewingbeam/freshness.hpp"

#include <criterion/criterion.h>

// Tests of what is known about the age of rows.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};
const store_time store_start{seconds(5000)};

struct freshness_fixture {
    freshness_tracker tracker;

    // A read that takes this long, and is answered at its end or start.
    void read(store_table table, duration sent_after, duration answered_after) {
        tracker.on_read_started(table, start + sent_after);
        tracker.on_read_completed(table, store_start + answered_after);
    }
};

} // namespace

Test(freshness, nothing_is_confirmed_before_the_first_read) {
    freshness_fixture fixture;
    cr_assert_not(fixture.tracker.routes_as_of().has_value());
    fixture.tracker.on_peer_routes(true, store_start, start);
    cr_assert_not(
        fixture.tracker.age(fixture.tracker.routes_as_of(), start).has_value());
}

// Regression test: a directory was as new as the last read of any table.
Test(freshness, own_reads_are_as_old_as_the_older_table) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, {}, {});
    cr_assert_not(fixture.tracker.own_reads_as_of().has_value());
    fixture.read(store_table::servers, seconds(1), seconds(1));
    cr_assert(fixture.tracker.own_reads_as_of() == store_start);
}

// Regression test: a response that was processed late counted as new.
Test(freshness, age_counts_from_the_answer_whenever_it_is_processed) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, {}, milliseconds(10));
    const auto age =
        fixture.tracker.age(fixture.tracker.routes_as_of(), start + seconds(3));
    cr_assert_geq(age->count(), duration(milliseconds(2990)).count());
    cr_assert_leq(age->count(), duration(milliseconds(3001)).count());
}

// Regression test: news from peers was as old as when it had been sent.
Test(freshness, news_of_a_peer_has_the_age_of_the_answer_it_is_about) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, {}, {});
    fixture.tracker.on_peer_routes(true, store_start + seconds(1),
                                   start + seconds(5));
    const auto age =
        fixture.tracker.age(fixture.tracker.routes_as_of(), start + seconds(5));
    cr_assert_eq(age->count(), duration(milliseconds(4001)).count());
}

Test(freshness, peer_with_newer_routes_shows_only_that_the_store_answers) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, {}, {});
    fixture.tracker.on_peer_routes(false, store_start + seconds(2),
                                   start + seconds(2));
    cr_assert(fixture.tracker.routes_as_of() == store_start);
    cr_assert(fixture.tracker.store_answered_at() == store_start + seconds(2));
}

// A suspended machine's steady clock stands still.
Test(freshness, clock_is_unknown_after_the_local_one_stood_still) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, {}, {});
    fixture.tracker.on_peer_routes(true, store_start + seconds(9),
                                   start + seconds(1));
    cr_assert_not(fixture.tracker.is_clock_known());
    fixture.read(store_table::routing, seconds(2), seconds(10));
    cr_assert(fixture.tracker.is_clock_known());
}
