#include "lacewingbeam/directory_follower.hpp"

#include <criterion/criterion.h>
#include <cstring>

// Tests of routing tables, the directory and the directory follower.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};

routing_table make_table(const std::string& version) {
    routing_table table;
    table.version = version;
    for (const auto* prefix : {"/a/", "/a/b/"}) {
        route item;
        item.name = std::string("r") + prefix;
        item.host = "host.example";
        item.prefix = prefix;
        item.services = {{"one", 90}, {"two", 10}};
        item.time_limit = milliseconds(1200);
        table.routes.push_back(item);
    }
    table.services["one"] = {"/health", 220};
    return table;
}

registered_server make_server(const std::string& id, bool leaving = false) {
    registered_server server;
    server.id = id;
    server.service = "one";
    server.address = "127.0.0.1:80";
    server.leaving = leaving;
    return server;
}

raw_row make_tombstone(const std::string& id, std::uint64_t revision) {
    return {std::string(server_row_prefix) + id, revision, true, {}};
}

member make_member(std::uint64_t number) {
    random_engine engine(number);
    member value;
    value.id = draw_incarnation(engine);
    value.peer_address = "127.0.0.1:" + std::to_string(number);
    value.caller_address = value.admin_address = value.peer_address;
    return value;
}

store_time to_store_time(time_point time) {
    return store_time(time.time_since_epoch());
}

class follower_fixture {
public:
    explicit follower_fixture(std::uint64_t number = 1)
        : follower(make_options(number), start) {}

    void read_all(std::uint64_t revision, std::vector<raw_row> servers,
                  time_point now) {
        follower.on_tick(now);
        follower.on_page({store_table::routing,
                          true,
                          revision,
                          {make_row(make_table("1"), 1)},
                          to_store_time(now)},
                         now);
        follower.on_page({store_table::servers, true, revision,
                          std::move(servers), to_store_time(now)},
                         now);
    }

    bool knows(const std::string& id) const {
        return follower.view().find(id) != nullptr;
    }

    directory_follower follower;

private:
    static follower_options make_options(std::uint64_t number) {
        follower_options options;
        options.own = make_member(number);
        return options;
    }
};

template <class Action>
std::vector<Action> actions_of(const directory_follower::actions& actions) {
    std::vector<Action> found;
    for (const auto& item : actions) {
        if (const auto* action = std::get_if<Action>(&item)) {
            found.push_back(*action);
        }
    }
    return found;
}

} // namespace

Test(routing, longest_prefix_of_the_host_is_chosen) {
    const auto table = make_table("1");
    cr_assert_eq(table.match("host.example", "/a/b/c")->prefix, "/a/b/");
    cr_assert_eq(table.match("HOST.example:80", "/a/x")->prefix, "/a/");
    cr_assert_null(table.match("host.example", "/b/"));
    cr_assert_null(table.match("other.example", "/a/"));
}

Test(routing, table_round_trips_through_row) {
    const auto table = make_table("0000000c");
    cr_assert(parse_routing(make_row(table, 5)) == table);
}

Test(routing, update_of_a_table_equals_a_new_one) {
    auto table = make_table("1");
    const auto before = make_row(table, 1);
    auto edited = table;
    edited.version = "2";
    edited.routes[0].max_attempts = 5;
    edited.routes.push_back(edited.routes[1]);
    edited.routes.back().name = "another";
    edited.services["two"] = {"/h", 3};
    const auto after = make_row(edited, 2);
    table = parse_routing(before);
    update_routing(table, before, after);
    cr_assert(table == parse_routing(after));
    update_routing(table, after, before);
    cr_assert(table == parse_routing(before));
}

Test(routing, invalid_update_leaves_the_table_as_it_is) {
    const auto before = make_row(make_table("1"), 1);
    auto table = parse_routing(before);
    auto after = make_row(make_table("2"), 2);
    after.cells.push_back({"route x", "host=h prefix"});
    cr_assert_throw(update_routing(table, before, after), table_error);
    cr_assert(table == parse_routing(before));
}

Test(routing, invalid_row_is_rejected_naming_the_cell) {
    auto row = make_row(make_table("1"), 1);
    row.cells.push_back({"route x", "host=h prefix"});
    try {
        parse_routing(row);
        cr_assert_fail("no error");
    } catch (const table_error& problem) {
        cr_assert_not_null(strstr(problem.what(), "route x"));
    }
}

Test(directory, lower_revision_never_reverts_a_row) {
    directory known;
    known.apply(std::vector{make_row(make_server("s", true), 9)}, start);
    known.apply(std::vector{make_row(make_server("s"), 8)}, start);
    cr_assert(known.available("one").empty());
    known.apply(std::vector{make_row(make_table("2"), 12)}, start);
    known.apply(std::vector{make_row(make_table("1"), 11)}, start);
    cr_assert_eq(known.routing()->version, "2");
}

Test(directory, removed_server_comes_back_only_with_a_newer_row) {
    directory known;
    known.apply(
        std::vector{make_row(make_server("s"), 3), make_tombstone("s", 5)},
        start);
    known.apply(std::vector{make_row(make_server("s"), 4)}, start);
    cr_assert(known.available("one").empty());
    known.apply(std::vector{make_row(make_server("s"), 6)}, start);
    cr_assert_eq(known.available("one").size(), 1);
}

Test(directory, invalid_server_row_is_rejected_and_not_available) {
    directory known;
    auto row = make_row(make_server("s"), 3);
    known.apply(std::vector{row}, start);
    row.version = 4;
    row.cells[3].value = "many"; // slots
    const auto change = known.apply(std::vector{row}, start);
    cr_assert_eq(change.rejected.size(), 1);
    cr_assert(known.available("one").empty());
}

Test(directory, digest_depends_on_content_not_on_order) {
    directory a;
    directory b;
    const auto one = make_row(make_server("s"), 3);
    const auto two = make_row(make_server("t"), 4);
    a.apply(std::vector{one, two}, start);
    b.apply(std::vector{two}, start);
    cr_assert_neq(a.digest(), b.digest());
    b.apply(std::vector{one}, start);
    cr_assert_eq(a.digest(), b.digest());
    a.apply(std::vector{make_tombstone("t", 8)}, start);
    b.apply(std::vector{make_tombstone("t", 8)}, start);
    cr_assert_eq(a.digest(), b.digest());
}

Test(follower, start_reads_both_tables) {
    follower_fixture fixture;
    const auto out = fixture.follower.on_tick(start);
    cr_assert_eq(actions_of<read_snapshot>(out).size(), store_table_count);
}

Test(follower, server_missing_from_snapshot_is_removed) {
    follower_fixture fixture;
    fixture.read_all(
        5, {make_row(make_server("s"), 2), make_row(make_server("t"), 3)},
        start);
    fixture.follower.on_failed(store_table::servers,
                               store_failure::history_compacted, start);
    fixture.follower.on_page(
        {store_table::servers, true, 9, {make_row(make_server("s"), 2)}},
        start + seconds(1));
    cr_assert(fixture.knows("s"));
    cr_assert_not(fixture.knows("t"));
}

Test(follower, removals_after_an_outage_are_deferred) {
    follower_fixture fixture;
    fixture.read_all(
        5, {make_row(make_server("s"), 2), make_row(make_server("t"), 3)},
        start);
    auto now = start;
    for (; now < start + seconds(5); now += milliseconds(500)) {
        fixture.follower.on_failed(store_table::servers,
                                   store_failure::unreachable, now);
    }
    fixture.follower.on_page(
        {store_table::servers,
         false,
         20,
         {make_tombstone("s", 15), make_tombstone("t", 16)}},
        now);
    cr_assert(fixture.knows("s"));
    fixture.follower.on_page(
        {store_table::servers, false, 22, {make_row(make_server("s"), 21)}},
        now + seconds(1));
    fixture.follower.on_tick(now + milliseconds(2300));
    cr_assert(fixture.knows("s"), "the server registered again");
    cr_assert_not(fixture.knows("t"),
                  "the server is still missing, so it is removed");
}

Test(follower, outage_does_not_hold_back_a_drain) {
    follower_fixture fixture;
    fixture.read_all(5, {make_row(make_server("s"), 2)}, start);
    fixture.follower.on_failed(store_table::servers, store_failure::unreachable,
                               start + seconds(1));
    fixture.follower.on_page({store_table::servers,
                              false,
                              20,
                              {make_row(make_server("s", true), 15)}},
                             start + seconds(5));
    cr_assert(fixture.follower.view().available("one").empty());
}

Test(follower, removal_without_an_outage_is_applied_at_once) {
    follower_fixture fixture;
    fixture.read_all(5, {make_row(make_server("s"), 2)}, start);
    fixture.follower.on_page(
        {store_table::servers, false, 7, {make_tombstone("s", 7)}},
        start + milliseconds(700));
    cr_assert_not(fixture.knows("s"));
}

Test(follower, instance_that_receives_updates_does_not_read) {
    // Exactly one of the two instances is the reader and updates the other.
    follower_fixture a(1);
    follower_fixture b(2);
    const std::vector<raw_row> servers{make_row(make_server("s"), 2)};
    for (auto* fixture : {&a, &b}) {
        fixture->read_all(5, servers, start);
        heartbeat beat;
        beat.sender = fixture == &a ? b.follower.members().own()
                                    : a.follower.members().own();
        beat.sequence = 1;
        fixture->follower.on_message(beat.sender.peer_address, beat, start);
        table_rows update;
        update.digest = fixture->follower.view().digest();
        update.as_of = to_store_time(start);
        fixture->follower.on_message(beat.sender.peer_address, update, start);
    }
    const auto now = start + milliseconds(800);
    a.follower.on_tick(now);
    b.follower.on_tick(now);
    cr_assert_neq(a.follower.is_reading(), b.follower.is_reading());
    // Without updates, both read the store.
    const auto later = start + milliseconds(2500);
    a.follower.on_tick(later);
    b.follower.on_tick(later);
    cr_assert(a.follower.is_reading() && b.follower.is_reading());
}

Test(follower, lost_message_is_recovered) {
    follower_fixture reader(1);
    follower_fixture other(2);
    const std::vector<raw_row> servers{make_row(make_server("s"), 2)};
    reader.read_all(5, servers, start);
    other.read_all(5, servers, start);
    heartbeat beat;
    beat.sender = other.follower.members().own();
    beat.sequence = 1;
    reader.follower.on_message("127.0.0.1:2", beat, start);
    // Drops the first message, which holds the server's leaving state.
    reader.follower.on_page(
        {store_table::servers, false, 9, {make_row(make_server("s", true), 9)}},
        start + milliseconds(100));
    directory_follower::actions requests;
    for (int round = 0; round < 3 && requests.empty(); ++round) {
        const auto now = start + milliseconds(800) * (round + 1);
        const auto sent = actions_of<send_to_peer>(reader.follower.on_page(
            {store_table::servers, false, 10, {}}, now));
        cr_assert_eq(sent.size(), 1);
        requests =
            other.follower.on_message("127.0.0.1:1", sent[0].message, now);
    }
    cr_assert_eq(actions_of<send_to_peer>(requests).size(), 1);
    const auto answer = actions_of<send_to_peer>(reader.follower.on_message(
        "127.0.0.1:2", actions_of<send_to_peer>(requests)[0].message, start));
    other.follower.on_message("127.0.0.1:1", answer[0].message, start);
    cr_assert(other.follower.view().available("one").empty());
}

// Regression test: the age that peers were told was that of the servers table,
// while the routes were still being read.
Test(follower, update_is_as_old_as_the_oldest_table_in_it) {
    follower_fixture reader(1);
    reader.read_all(5, {make_row(make_server("s"), 2)}, start);
    heartbeat beat;
    beat.sender = make_member(2);
    beat.sequence = 1;
    reader.follower.on_message("127.0.0.1:2", beat, start);
    // Starts the long poll of the routes.
    reader.follower.on_tick(start + milliseconds(600));
    const auto now = start + seconds(3);
    reader.follower.on_tick(now);
    const auto sent = actions_of<send_to_peer>(reader.follower.on_page(
        {store_table::servers, false, 9, {}, to_store_time(now)}, now));
    cr_assert_eq(sent.size(), 1);
    cr_assert(std::get<table_rows>(sent[0].message).as_of ==
              to_store_time(start));
}

// Regression test: an instance that peers had told of newer routes went on to
// decide requests by its own.
Test(follower, routes_expire_while_peers_have_newer_ones) {
    follower_fixture fixture;
    fixture.read_all(5, {make_row(make_server("s"), 2)}, start);
    const auto& known = fixture.follower.view();
    cr_assert(known.routes_valid_at(start + milliseconds(1999)));
    for (auto now = start; now <= start + seconds(3);
         now += milliseconds(500)) {
        heartbeat beat;
        beat.sender = make_member(2);
        beat.sequence =
            static_cast<std::uint64_t>(now.time_since_epoch().count());
        beat.table_version = 9;
        beat.routes_as_of = to_store_time(now);
        fixture.follower.on_message("127.0.0.1:2", beat, now);
        fixture.follower.on_tick(now);
        fixture.follower.on_failed(store_table::servers,
                                   store_failure::unreachable, now);
    }
    cr_assert_not(known.routes_valid_at(start + milliseconds(2001)));
}

Test(follower, peer_with_the_same_routes_confirms_them) {
    follower_fixture fixture;
    fixture.read_all(5, {make_row(make_server("s"), 2)}, start);
    heartbeat beat;
    beat.sender = make_member(2);
    beat.sequence = 1;
    beat.table_version = 1;
    beat.routes_as_of = to_store_time(start + milliseconds(1700));
    fixture.follower.on_message("127.0.0.1:2", beat, start + seconds(2));
    const auto& known = fixture.follower.view();
    // The store's clock is known to a millisecond.
    cr_assert(known.routes_valid_at(start + milliseconds(3699)));
    cr_assert_not(known.routes_valid_at(start + milliseconds(3700)));
}

Test(follower, routes_stay_in_force_while_the_store_answers_nobody) {
    follower_fixture fixture;
    fixture.read_all(5, {make_row(make_server("s"), 2)}, start);
    for (auto now = start + milliseconds(600); now <= start + seconds(20);
         now += milliseconds(100)) {
        fixture.follower.on_tick(now);
        fixture.follower.on_failed(store_table::servers,
                                   store_failure::unreachable, now);
        cr_assert(fixture.follower.view().routes_valid_at(now));
    }
}

Test(follower, unchanged_registrations_are_not_reported) {
    follower_fixture fixture;
    fixture.read_all(5, {make_row(make_server("s"), 2)}, start);
    fixture.follower.take_changes();
    fixture.follower.on_page(
        {store_table::servers, false, 8, {make_row(make_server("s"), 8)}},
        start + milliseconds(700));
    cr_assert(fixture.follower.take_changes().servers.empty());
}

Test(follower, new_instance_does_not_take_the_whole_shared_budget) {
    follower_fixture fixture;
    cr_assert_geq(fixture.follower.estimated_instance_count(start), 10);
    cr_assert_eq(fixture.follower.estimated_instance_count(start + seconds(5)),
                 1);
}

Test(follower, failed_reads_back_off) {
    follower_fixture fixture;
    fixture.follower.on_tick(start);
    unsigned reads = 0;
    for (auto now = start; now < start + seconds(4); now += milliseconds(10)) {
        fixture.follower.on_failed(store_table::servers,
                                   store_failure::unreachable, now);
        const auto next = fixture.follower.next_due();
        cr_assert_geq(next.time_since_epoch().count(), 0);
        for (const auto& action :
             actions_of<read_snapshot>(fixture.follower.on_tick(now))) {
            reads += action.table == store_table::servers ? 1 : 0;
        }
    }
    cr_assert_leq(reads, 60);
}

// Regression test: a wrong age, in one case a whole day, was reported before
// the first read of the store.
Test(follower, store_that_was_never_read_has_no_age) {
    follower_fixture fixture;
    cr_assert_not(fixture.follower.age(start).has_value());
    fixture.read_all(10, {}, start);
    // The store's clock is known to a millisecond.
    cr_assert_eq(*fixture.follower.age(start + seconds(2)), milliseconds(2001));
}
