#include "lacewingbeam/freshness.hpp"
#include "lacewingbeam/peer_messages.hpp"

#include <criterion/criterion.h>

// Tests of what is known about the age of rows.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};

struct freshness_fixture {
    freshness_tracker tracker;

    void read(store_table table, time_point started_at) {
        tracker.on_read_started(table, false, started_at);
        tracker.on_read_completed(table);
    }
};

} // namespace

Test(freshness, read_that_is_processed_late_confirms_its_start) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, start);
    cr_assert(fixture.tracker.routes_as_of() == start);
    cr_assert_not(fixture.tracker.own_reads_as_of().has_value());
    fixture.read(store_table::servers, start + seconds(1));
    cr_assert(fixture.tracker.own_reads_as_of() == start);
}

Test(freshness, unanswered_long_poll_lets_other_reads_confirm_routes) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, start);
    fixture.tracker.on_read_started(store_table::routing, true, start);
    fixture.read(store_table::servers, start + seconds(1));
    cr_assert(fixture.tracker.routes_as_of() == start + seconds(1));
}

Test(freshness, answered_long_poll_confirms_nothing_before_its_end) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, start);
    fixture.tracker.on_read_started(store_table::routing, true, start);
    fixture.tracker.on_response_started(store_table::routing);
    fixture.read(store_table::servers, start + seconds(1));
    cr_assert(fixture.tracker.routes_as_of() == start);
}

Test(freshness, unanswered_snapshot_confirms_nothing) {
    freshness_fixture fixture;
    fixture.tracker.on_read_started(store_table::routing, false, start);
    fixture.read(store_table::servers, start + seconds(1));
    cr_assert_not(fixture.tracker.routes_as_of().has_value());
}

Test(freshness, peer_with_newer_routes_shows_only_that_the_store_answers) {
    freshness_fixture fixture;
    fixture.read(store_table::routing, start);
    fixture.tracker.on_peer_routes(false, start + seconds(2));
    cr_assert(fixture.tracker.routes_as_of() == start);
    cr_assert(fixture.tracker.store_answered_at() == start + seconds(2));
}

// Regression test: an update that waited in a socket was as young as when it
// had been sent.
Test(freshness, ages_in_a_message_grow_with_its_delay) {
    table_rows rows;
    rows.age = milliseconds(10);
    rows.routes_age = milliseconds(20);
    peer_message message = rows;
    add_delay(message, seconds(1));
    cr_assert_eq(std::get<table_rows>(message).age, milliseconds(1010));
    cr_assert_eq(std::get<table_rows>(message).routes_age, milliseconds(1020));
    rows.age = duration::max() / 2;
    message = rows;
    add_delay(message, duration::max() / 2);
    cr_assert_gt(std::get<table_rows>(message).age, seconds(3600));
}
