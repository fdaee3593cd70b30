#include "history.hpp"
#include "lacewingbeam/claim_tracker.hpp"
#include "lacewingbeam/coordinator.hpp"
#include "lacewingbeam/membership.hpp"
#include "lacewingbeam/operation_ledger.hpp"
#include "lacewingbeam/table.hpp"
#include "lacewingbeam/ticket.hpp"

#include <criterion/criterion.h>
#include <map>

// Unit tests of tickets, the operation ledger, claims, membership, the table,
// the coordinator and the history checker in test/support.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};
const std::string key = "sixteen bytes or more";

incarnation make_id(std::uint64_t seed) {
    random_engine engine(seed);
    return draw_incarnation(engine);
}

operation_request make_request(unsigned attempt = 1, std::uint64_t call = 1) {
    return {{"op"},
            9,
            attempt,
            call_id{call},
            start + seconds(60),
            start + seconds(120)};
}

raw_row make_row(const std::string& row_key, std::uint64_t version,
                 std::vector<cell> cells) {
    return {row_key, version, false, std::move(cells)};
}

member make_member(std::uint64_t seed, const std::string& host) {
    member created;
    created.id = make_id(seed);
    created.peer_address = host + ":7000";
    return created;
}

} // namespace

Test(ticket, decode_restores_encoded_ticket) {
    const ticket value{make_id(1), 42, start};
    cr_assert(decode(encode(value, key), key) == value);
}

Test(ticket, decode_rejects_ticket_of_another_key) {
    const auto text = encode({make_id(1), 42, start}, key);
    cr_assert_not(decode(text, "another key, also long").has_value());
}

Test(ticket, decode_rejects_malformed_text) {
    const auto text = encode({make_id(1), 42, start}, key);
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto changed = text;
        changed[i] = changed[i] == '0' ? '1' : '0';
        cr_assert_not(decode(changed, key).has_value());
    }
    cr_assert_not(decode(std::string(text.size(), 'z'), key).has_value());
    cr_assert_not(decode("", key).has_value());
}

Test(ledger, request_while_running_waits_for_result) {
    operation_ledger ledger({});
    cr_assert(
        std::holds_alternative<may_start>(ledger.begin(make_request(), start)));
    cr_assert(std::holds_alternative<wait_for_result>(
        ledger.begin(make_request(1, 2), start)));
    const auto waiters =
        ledger.finish({"op"}, completed{}, recorded_answer{200, {}, "x"});
    cr_assert_eq(waiters.size(), 1);
    const auto again = ledger.begin(make_request(1, 3), start);
    cr_assert_eq(std::get<replay>(again).answer.body, "x");
}

Test(ledger, not_run_operation_starts_only_for_higher_attempt) {
    operation_ledger ledger({});
    ledger.begin(make_request(2), start);
    ledger.finish({"op"}, not_run{not_run_reason::shed}, {});
    for (const unsigned attempt : {1U, 2U}) {
        const auto refused = ledger.begin(make_request(attempt), start);
        cr_assert(certainly_not_run(std::get<answer_now>(refused).outcome));
    }
    cr_assert(std::holds_alternative<may_start>(
        ledger.begin(make_request(3), start)));
}

Test(ledger, may_have_run_operation_never_restarts) {
    operation_ledger ledger({});
    ledger.begin(make_request(), start);
    ledger.finish({"op"}, may_have_run{may_have_run_reason::connection_lost},
                  {});
    const auto again = ledger.begin(make_request(9), start);
    cr_assert_not(certainly_not_run(std::get<answer_now>(again).outcome));
}

Test(ledger, expired_ticket_does_not_start) {
    operation_ledger ledger({});
    const auto late = ledger.begin(make_request(), start + seconds(61));
    cr_assert(std::get<answer_now>(late).outcome ==
              verdict(not_run{not_run_reason::ticket_expired}));
    const auto later = ledger.begin(make_request(), start + seconds(121));
    cr_assert_not(certainly_not_run(std::get<answer_now>(later).outcome));
}

Test(ledger, running_operation_does_not_expire) {
    operation_ledger ledger({});
    ledger.begin(make_request(), start);
    ledger.expire(start + seconds(1000));
    cr_assert_eq(ledger.size(), 1);
    ledger.finish({"op"}, completed{}, {});
    ledger.expire(start + seconds(2000));
    cr_assert_eq(ledger.size(), 0);
}

Test(ledger, operation_with_evicted_answer_may_have_run) {
    operation_ledger ledger({1000, 100});
    for (int i = 0; i < 5; ++i) {
        auto request = make_request();
        request.operation.text = "op" + std::to_string(i);
        ledger.begin(request, start);
        ledger.finish(request.operation, completed{},
                      recorded_answer{200, {}, std::string(40, 'x')});
    }
    cr_assert_leq(ledger.answer_bytes(), 100);
    auto oldest = make_request();
    oldest.operation.text = "op0";
    const auto again = ledger.begin(oldest, start);
    cr_assert(std::get<answer_now>(again).outcome ==
              verdict(may_have_run{may_have_run_reason::answer_not_kept}));
}

Test(ledger, full_ledger_refuses_new_operations) {
    operation_ledger ledger({1, 100});
    ledger.begin(make_request(), start);
    auto other = make_request();
    other.operation.text = "other";
    const auto refused = ledger.begin(other, start);
    cr_assert_not(certainly_not_run(std::get<answer_now>(refused).outcome));
}

Test(claims, unknown_write_is_resolved_by_read) {
    claim_tracker tracker(make_id(1), 64);
    random_engine engine(5);
    tracker.request("k", start, engine);
    const auto batch = tracker.next_batch();
    cr_assert_eq(batch->claims.size(), 1);
    tracker.on_unknown(batch->number);
    cr_assert_eq(tracker.next_reads().size(), 1);
    const auto events = tracker.on_read("k", batch->claims[0]);
    cr_assert(std::holds_alternative<claim_won>(events.at(0)));
}

Test(claims, conflicting_row_of_another_instance_is_taken) {
    claim_tracker tracker(make_id(1), 64);
    random_engine engine(5);
    tracker.request("k", start, engine);
    tracker.request("other", start, engine);
    const auto batch = tracker.next_batch();
    const std::vector<claim> existing{{"k", make_id(2), "n"}};
    const auto events = tracker.on_conflict(batch->number, existing);
    cr_assert_eq(events.size(), 1);
    cr_assert(std::get<claim_taken>(events[0]).claimant == make_id(2));
    cr_assert_eq(tracker.next_batch()->claims.at(0).key, "other");
}

Test(claims, abandoned_claim_keeps_nonce_for_next_request) {
    claim_tracker tracker(make_id(1), 64);
    random_engine engine(5);
    tracker.request("k", start, engine);
    const auto first = tracker.next_batch();
    cr_assert(
        std::holds_alternative<claim_abandoned>(tracker.expire(start).at(0)));
    tracker.on_unknown(first->number);
    tracker.request("k", start + seconds(1), engine);
    const auto second = tracker.next_batch();
    cr_assert_eq(second->claims.at(0).nonce, first->claims.at(0).nonce);
    const auto events = tracker.on_conflict(second->number, first->claims);
    cr_assert(std::holds_alternative<claim_won>(events.at(0)));
}

Test(claims, own_row_with_another_nonce_is_taken) {
    claim_tracker tracker(make_id(1), 64);
    random_engine engine(5);
    tracker.request("k", start, engine);
    const auto batch = tracker.next_batch();
    const std::vector<claim> existing{{"k", make_id(1), "older nonce"}};
    const auto events = tracker.on_conflict(batch->number, existing);
    cr_assert(std::holds_alternative<claim_taken>(events.at(0)));
}

Test(membership, silent_peer_is_suspected_then_removed) {
    membership view(make_member(1, "10.0.0.1"), {});
    cr_assert(view.on_heartbeat(make_member(2, "10.0.0.2"), 1, start));
    cr_assert_eq(view.active_count(start), 2);
    cr_assert_eq(view.active_count(start + seconds(4)), 1);
    cr_assert(view.find(make_id(2), start + seconds(4))->state ==
              member_state::suspected);
    view.expire(start + seconds(16));
    cr_assert_not(view.find(make_id(2), start + seconds(16)).has_value());
}

Test(membership, old_heartbeat_is_ignored) {
    membership view(make_member(1, "10.0.0.1"), {});
    view.on_heartbeat(make_member(2, "10.0.0.2"), 5, start);
    cr_assert_not(view.on_heartbeat(make_member(2, "10.0.0.2"), 4, start));
}

Test(membership, new_incarnation_at_an_address_replaces_the_old_one) {
    membership view(make_member(1, "10.0.0.1"), {});
    view.on_heartbeat(make_member(2, "10.0.0.2"), 5, start);
    view.on_heartbeat(make_member(3, "10.0.0.2"), 1, start);
    cr_assert_not(view.find(make_id(2), start).has_value());
    cr_assert_eq(view.active_count(start), 2);
}

Test(membership, gossip_does_not_make_a_member_alive) {
    membership view(make_member(1, "10.0.0.1"), {});
    const std::vector<member> reported{make_member(2, "10.0.0.2")};
    view.on_gossip(reported, start);
    cr_assert_eq(view.active_count(start), 1);
    cr_assert_eq(view.heartbeat_targets(start).at(0), "10.0.0.2:7000");
}

Test(membership, number_of_heartbeat_targets_is_bounded) {
    membership view(make_member(1, "10.0.0.1"), {});
    for (std::uint64_t i = 2; i < 200; ++i) {
        view.on_heartbeat(make_member(i, "10.0.1." + std::to_string(i)), 1,
                          start);
    }
    cr_assert_eq(view.heartbeat_targets(start).size(), 6);
}

// A peer suspects this instance after 3 s without a heartbeat, which is six
// rounds. Each must get two in that time.
Test(membership, each_of_17_peers_gets_two_heartbeats_in_six_rounds) {
    membership view(make_member(1, "10.0.0.1"), {});
    for (std::uint64_t i = 2; i < 19; ++i) {
        view.on_heartbeat(make_member(i, "10.0.1." + std::to_string(i)), 1,
                          start);
    }
    std::map<std::string, int> reached;
    for (int round = 0; round < 6; ++round) {
        for (const auto& address : view.heartbeat_targets(start)) {
            ++reached[address];
        }
    }
    cr_assert_eq(reached.size(), 17);
    for (const auto& [address, count] : reached) {
        cr_assert_geq(count, 2, "%s", address.c_str());
    }
}

Test(membership, age_reported_by_a_peer_keeps_a_known_member_alive) {
    membership view(make_member(1, "10.0.0.1"), {});
    auto other = make_member(2, "10.0.0.2");
    view.on_heartbeat(other, 1, start);
    other.age = milliseconds(500);
    view.on_gossip(std::vector<member>{other}, start + seconds(4));
    cr_assert_eq(view.active_count(start + seconds(5)), 2);
    other.age = seconds(10);
    view.on_gossip(std::vector<member>{other}, start + seconds(9));
    cr_assert_eq(view.active_count(start + seconds(9)), 1);
}

Test(table_view, older_version_is_ignored) {
    table_view table;
    const std::vector<raw_row> fresh{
        make_row("svc", 5, {{"deadline_ms", "100"}})};
    const std::vector<raw_row> stale{
        make_row("svc", 3, {{"deadline_ms", "900"}})};
    table.apply(fresh, 5);
    table.apply(stale, 4);
    table.apply(stale, 6);
    cr_assert(table.find_service("svc")->deadline == milliseconds(100));
    cr_assert_eq(table.version(), 6);
}

Test(table_view, invalid_row_keeps_last_valid_state_and_is_reported) {
    table_view table;
    const std::vector<raw_row> good{
        make_row("svc", 1, {{"deadline_ms", "100"}})};
    const std::vector<raw_row> bad{make_row("svc", 2, {{"deadline_ms", "x"}})};
    table.apply(good, 1);
    const auto result = table.apply(bad, 2);
    cr_assert_eq(result.rejected.size(), 1);
    cr_assert_neq(result.rejected[0].find("deadline_ms"), std::string::npos);
    cr_assert(table.find_service("svc")->deadline == milliseconds(100));
}

Test(table_view, removed_server_leaves_a_tombstone_for_peers) {
    table_view table;
    const std::vector<raw_row> rows{
        make_row("svc", 1, {}),
        make_row("svc/a", 2, {{"address", "127.0.0.1:1"}})};
    table.apply(rows, 2);
    const std::vector<raw_row> removal{{"svc/a", 3, true, {}}};
    table.apply(removal, 3);
    cr_assert(table.servers_of("svc").empty());
    cr_assert_eq(table.rows_after(2, 10).size(), 1);
}

Test(service_row, method_decides_idempotence_unless_the_table_does) {
    auto row = parse_service_row(make_row("svc", 1, {}));
    cr_assert_not(row.is_idempotent("POST", "/x"));
    cr_assert(row.is_idempotent("GET", "/x"));
    row = parse_service_row(
        make_row("svc", 1, {{"non_idempotent", "GET /draw; * /order"}}));
    cr_assert(row.is_idempotent("POST", "/x"));
    cr_assert_not(row.is_idempotent("GET", "/draw/1"));
    cr_assert_not(row.is_idempotent("PUT", "/order"));
}

Test(server_row, invalid_cell_is_named_in_the_error) {
    for (const auto& bad : std::vector<cell>{{"weight", "-1"},
                                             {"weight", "1e9"},
                                             {"slots", "0"},
                                             {"slots", "3.5"},
                                             {"state", "asleep"},
                                             {"address", "host:80"},
                                             {"colour", "red"}}) {
        std::vector<cell> cells{{"address", "127.0.0.1:80"}};
        if (bad.name == "address") {
            cells.clear();
        }
        cells.push_back(bad);
        try {
            parse_server_row(make_row("svc/a", 1, cells));
            cr_assert_fail("%s was accepted", bad.name.c_str());
        } catch (const table_error& problem) {
            cr_assert_neq(std::string(problem.what()).find(bad.name),
                          std::string::npos);
        }
    }
}

Test(history, duplicate_run_is_found) {
    fake::history history;
    history.sent({start, 1, 1, "op", true, true, ""});
    history.ran({start, "op", "a", 1});
    cr_assert(history.violations(1, seconds(5)).empty());
    history.ran({start, "op", "b", 1});
    cr_assert_eq(history.violations(1, seconds(5)).size(), 1);
}

Test(history, false_not_run_is_found_before_and_after) {
    for (const auto ran_at : {start, start + seconds(9)}) {
        fake::history history;
        history.sent({start, 1, 1, "op", true, true, ""});
        history.ran({ran_at, "op", "a", 1});
        history.answered({start + seconds(1),
                          "op",
                          not_run{not_run_reason::shed},
                          {},
                          1,
                          start + seconds(1)});
        cr_assert_eq(history.violations(1, seconds(5)).size(), 1);
    }
}

Test(history, answer_of_another_operation_is_found) {
    fake::history history;
    history.sent({start, 1, 1, "op", true, true, ""});
    history.answered({start, "op", completed{}, "other", 1, start});
    cr_assert_eq(history.violations(1, seconds(5)).size(), 1);
}

Test(history, version_decrease_excess_probes_and_late_work_are_found) {
    fake::history history;
    history.observed_version("a", 2);
    history.observed_version("a", 1);
    for (int i = 0; i < 61; ++i) {
        history.probed({start, "a"});
    }
    history.left("a", start);
    history.ran({start + seconds(6), "read", "a", 1});
    cr_assert_eq(history.violations(1, seconds(5)).size(), 3);
}

Test(coordinator, large_failure_domain_has_few_platform_readers) {
    unsigned readers = 0;
    for (std::uint64_t own = 1; own <= 37; ++own) {
        coordinator_options options;
        options.key = key;
        options.own = make_member(own, "10.0.0." + std::to_string(own));
        coordinator subject(options, start);
        cr_assert(subject.reads_platform(start),
                  "an instance without peers must read the platform");
        subject.on_table({}, 1, start, start);
        for (std::uint64_t peer = 1; peer <= 37; ++peer) {
            heartbeat beat;
            beat.sender = make_member(peer, "10.0.0." + std::to_string(peer));
            beat.sequence = 1;
            subject.on_message("", beat, start);
        }
        readers += subject.reads_platform(start) ? 1 : 0;
        cr_assert(subject.reads_platform(start + seconds(4)));
    }
    cr_assert_eq(readers, 4);
}

Test(coordinator, large_table_is_fetched_from_a_peer_in_parts) {
    coordinator_options options;
    options.key = key;
    options.own = make_member(1, "10.0.0.1");
    coordinator source(options, start);
    std::vector<raw_row> rows;
    for (std::uint64_t i = 1; i <= 2500; ++i) {
        rows.push_back(make_row("svc" + std::to_string(i), i, {}));
    }
    source.on_table(rows, rows.size(), start, start);
    options.own = make_member(2, "10.0.0.2");
    coordinator fresh(options, start);
    heartbeat beat;
    beat.sender = make_member(1, "10.0.0.1");
    beat.sequence = 1;
    beat.table_version = rows.size();
    auto requests = fresh.on_message("10.0.0.1:7000", beat, start);
    int parts = 0;
    while (!requests.empty()) {
        cr_assert_not(fresh.status(start).ready);
        const auto& request = std::get<send_message>(requests.at(0)).message;
        const auto answer = source.on_message("10.0.0.2:7000", request, start);
        const auto& part = std::get<send_message>(answer.at(0)).message;
        requests = fresh.on_message("10.0.0.1:7000", part, start);
        ++parts;
    }
    cr_assert_eq(parts, 3);
    cr_assert(fresh.status(start).ready);
    cr_assert_eq(fresh.table().version(), 2500);
}
