#include "lacewingbeam/coordinator.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

// Periodic work of the coordinator and updates of its state: table, membership,
// load, probes, journal and shutdown.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A gap between two events longer than this counts as a pause of the process.
constexpr duration pause_threshold = seconds(2);

// Maximum age of a trusted table after a pause or while the instance is cut off
// from its peers.
constexpr duration max_table_age = seconds(3);

// Age reported for a table that was never confirmed, and the highest age
// reported for any table.
constexpr duration unconfirmed_table_age = std::chrono::hours(1);

constexpr duration housekeeping_interval = milliseconds(100);

// Interval between scans for backend servers to probe.
constexpr duration probe_interval = seconds(1);

// A backend server that is not leaving is probed only if nothing was received
// from it for this long.
constexpr duration probe_after_silence = seconds(2);

constexpr std::size_t members_per_heartbeat = 2;
constexpr std::size_t leaving_per_heartbeat = 16;
constexpr std::size_t loads_per_heartbeat = 64;
constexpr std::size_t entries_per_journal_write = 50;

// The platform's load balancer may still send calls for this long after the
// readiness check starts to fail.
constexpr duration readiness_propagation_delay = seconds(2);

// Longest time that a stopping instance waits to write its remaining journal
// entries.
constexpr duration max_journal_wait = seconds(10);

// Interval between table requests to peers after a pause.
constexpr duration confirmation_interval = milliseconds(200);
constexpr std::size_t max_table_requests = 64;
constexpr std::size_t rows_per_message = 1000;

// In a failure domain with at most max_domain_readers instances all of them
// poll the platform; in a larger one only chosen_domain_readers do.
constexpr std::size_t max_domain_readers = 8;
constexpr std::size_t chosen_domain_readers = 4;

constexpr duration overdue_grace = milliseconds(100);
constexpr duration still_running_retry_after = milliseconds(500);

} // namespace

void coordinator::detect_pause(time_point now) {
    if (now - last_event_ > pause_threshold) {
        resumed_unconfirmed_ = true;
        dispatcher_.set_paused(true);
    }
    last_event_ = std::max(last_event_, now);
}

duration coordinator::table_age(time_point now) const {
    return confirmed_at_ ? std::min(now - *confirmed_at_, unconfirmed_table_age)
                         : unconfirmed_table_age;
}

bool coordinator::is_table_unconfirmed(time_point now) const {
    if (!confirmed_at_) {
        return true;
    }
    return table_age(now) > max_table_age &&
           (resumed_unconfirmed_ || membership_.is_partitioned(now));
}

void coordinator::confirm_table(time_point confirmed_at) {
    if (!confirmed_at_ || *confirmed_at_ < confirmed_at) {
        confirmed_at_ = confirmed_at;
    }
    if (last_event_ - confirmed_at <= max_table_age) {
        resumed_unconfirmed_ = false;
        dispatcher_.set_paused(false);
    }
}

std::vector<std::string>
coordinator::on_table(std::span<const raw_row> rows, std::uint64_t version,
                      std::optional<time_point> asked_at, time_point now) {
    detect_pause(now);
    if (version < table_.version()) {
        return {};
    }
    auto result = table_.apply(rows, version);
    if (!result.changed.empty()) {
        on_services_changed(result.changed, now);
    }
    if (asked_at) {
        confirm_table(*asked_at);
    }
    return std::move(result.rejected);
}

void coordinator::on_services_changed(
    const std::set<std::string, std::less<>>& services, time_point now) {
    for (const auto& name : services) {
        dispatcher_.apply_service(table_, name, now);
        for (const auto& row : table_.servers_of(name)) {
            servers_by_hash_[load_hash(row.key)] = row.key;
        }
    }
    next_heartbeat_ = std::min(next_heartbeat_, now);
}

void coordinator::on_platform_failed(time_point now) {
    detect_pause(now);
    // Without peers no other instance can have a newer table.
    if (resumed_unconfirmed_ && membership_.members(now).empty()) {
        resumed_unconfirmed_ = false;
        dispatcher_.set_paused(false);
    }
}

bool coordinator::reads_platform(time_point now) const {
    return table_age(now) > max_table_age ||
           membership_.domain_count(now) <= max_domain_readers ||
           membership_.domain_rank(now) < chosen_domain_readers;
}

void coordinator::on_instance_list(std::span<const listed_instance> list,
                                   time_point now) {
    detect_pause(now);
    std::vector<std::string> peers;
    std::unordered_set<std::string_view> leaving;
    for (const auto& item : list) {
        if (item.is_peer) {
            peers.push_back(item.address);
        } else if (item.leaving) {
            leaving.insert(item.address);
        }
    }
    membership_.set_discovered(peers);
    if (leaving.empty()) {
        return;
    }
    dispatcher_.for_each_server([&](server_state& state) {
        if (leaving.contains(state.row().address)) {
            state.mark_leaving(now);
        }
    });
}

void coordinator::on_report(const server_key& server, const load_report& report,
                            bool draining, time_point now) {
    auto* state = dispatcher_.find_server(server);
    if (state == nullptr) {
        return;
    }
    state->on_report(report, now);
    if (draining) {
        state->mark_leaving(now);
    }
}

void coordinator::on_probe_failed(const server_key& server, time_point now) {
    if (auto* state = dispatcher_.find_server(server)) {
        state->on_failure(now);
    }
}

void coordinator::set_seeds(std::span<const std::string> peer_addresses) {
    membership_.set_seeds(peer_addresses);
}

std::vector<member> coordinator::peers(time_point now) const {
    return membership_.members(now);
}

coordinator::actions coordinator::on_message(const std::string& from,
                                             const peer_message& message,
                                             time_point now) {
    detect_pause(now);
    actions out;
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        on_heartbeat(from, *beat, now, out);
    } else if (const auto* request = std::get_if<table_request>(&message)) {
        // An instance whose own table is unconfirmed does not answer: a newly
        // started requester would take the table for the current one.
        if (is_table_unconfirmed(now)) {
            return out;
        }
        out.emplace_back(send_message{from, make_table_rows(*request, now)});
    } else if (const auto* rows = std::get_if<table_rows>(&message)) {
        on_table_rows(from, *rows, now, out);
    }
    return out;
}

table_rows coordinator::make_table_rows(const table_request& request,
                                        time_point now) const {
    table_rows answer;
    answer.request_number = request.number;
    answer.age = table_age(now);
    answer.rows =
        table_.rows_after(request.have_version.revision, rows_per_message);
    answer.has_more = answer.rows.size() == rows_per_message;
    answer.table_version =
        answer.has_more ? answer.rows.back().version : table_.version();
    return answer;
}

void coordinator::request_table(const std::string& peer_address, time_point now,
                                actions& out) {
    if (table_requests_.size() >= max_table_requests) {
        table_requests_.pop_front();
    }
    table_requests_.push_back({next_request_number_, peer_address, now});
    out.emplace_back(send_message{
        peer_address, table_request{table_.version(), next_request_number_++}});
}

// The table's age is counted from the time of the request, since the answer may
// have waited in a buffer while this process was paused.
void coordinator::on_table_rows(const std::string& from, const table_rows& rows,
                                time_point now, actions& out) {
    const auto request = std::find_if(
        table_requests_.begin(), table_requests_.end(),
        [&](const auto& item) { return item.number == rows.request_number; });
    if (request == table_requests_.end()) {
        return;
    }
    const auto answered = *request;
    table_requests_.erase(request);
    if (rows.has_more) {
        on_table(rows.rows, rows.table_version.revision, std::nullopt, now);
        request_table(from.empty() ? answered.peer_address : from, now, out);
        return;
    }
    on_table(rows.rows, rows.table_version.revision,
             answered.sent_at - rows.age, now);
}

void coordinator::confirm_after_pause(time_point now, actions& out) {
    if (now < next_confirmation_) {
        return;
    }
    next_confirmation_ = now + confirmation_interval;
    for (const auto& address : membership_.heartbeat_targets(now)) {
        request_table(address, now, out);
    }
}

void coordinator::on_heartbeat(const std::string& from, const heartbeat& beat,
                               time_point now, actions& out) {
    if (!membership_.on_heartbeat(beat.sender, beat.sequence, now)) {
        return;
    }
    membership_.on_gossip(beat.members, now);
    update_peer_loads(beat, now);
    for (const auto& item : beat.leaving) {
        if (auto* state = dispatcher_.find_server(item.key)) {
            state->mark_leaving(now - item.age);
        }
    }
    if (beat.table_version > table_.version()) {
        request_table(from, now, out);
    } else if (beat.table_version == table_.version() &&
               beat.table_version > 0 && !resumed_unconfirmed_) {
        confirm_table(now - beat.table_age);
    }
}

void coordinator::remove_peer_loads(const incarnation& peer) {
    const auto found = peer_loads_.find(peer);
    if (found == peer_loads_.end()) {
        return;
    }
    for (const auto& load : found->second) {
        auto& sum = load_sums_[load.server_hash];
        sum.in_flight -= load.in_flight;
        sum.long_in_flight -= load.long_in_flight;
    }
    peer_loads_.erase(found);
}

void coordinator::update_peer_loads(const heartbeat& beat, time_point now) {
    remove_peer_loads(beat.sender.id);
    for (const auto& load : beat.loads) {
        auto& sum = load_sums_[load.server_hash];
        sum.in_flight += load.in_flight;
        sum.long_in_flight += load.long_in_flight;
        const auto known = servers_by_hash_.find(load.server_hash);
        if (known == servers_by_hash_.end()) {
            continue;
        }
        if (auto* state = dispatcher_.find_server(known->second)) {
            state->set_peer_load(sum, now);
        }
    }
    peer_loads_[beat.sender.id] = beat.loads;
}

coordinator::actions coordinator::on_tick(time_point now) {
    detect_pause(now);
    actions out;
    dispatcher_.set_share(
        {membership_.active_count(now), membership_.own_rank(now)});
    if (resumed_unconfirmed_) {
        confirm_after_pause(now, out);
    }
    if (resumed_unconfirmed_ && is_table_unconfirmed(now)) {
        apply_dispatcher_actions(
            dispatcher_.refuse_waiting(not_run_reason::table_unconfirmed), out);
    }
    apply_dispatcher_actions(dispatcher_.tick(now), out);
    process_claim_events(claims_.expire(now), now, out);
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + options_.heartbeat_interval;
        send_heartbeats(now, out);
    }
    if (now >= next_housekeeping_) {
        next_housekeeping_ = now + housekeeping_interval;
        ledger_.expire(now);
        expire_overdue_calls(now, out);
        flush_journal(now, out);
    }
    if (now >= next_probes_) {
        next_probes_ = now + probe_interval;
        issue_probes(now, out);
    }
    return out;
}

void coordinator::expire_overdue_calls(time_point now, actions& out) {
    std::vector<call_id> overdue_waiters;
    for (const auto& [id, entry] : operations_) {
        if (!entry.owner && now >= entry.dispatch.deadline) {
            overdue_waiters.push_back(id);
        }
    }
    for (const auto id : overdue_waiters) {
        ledger_.remove_waiter(operations_.at(id).operation, id);
        operations_.erase(id);
        out.emplace_back(
            finish_call{id, may_have_run{may_have_run_reason::still_running},
                        still_running_retry_after});
    }
    std::vector<call_id> overdue_forwarded;
    for (const auto& [id, entry] : forwarded_) {
        if (now >= entry.deadline + overdue_grace) {
            overdue_forwarded.push_back(id);
        }
    }
    for (const auto id : overdue_forwarded) {
        forwarded_.erase(id);
        out.emplace_back(finish_call{
            id, may_have_run{may_have_run_reason::minter_unreachable},
            still_running_retry_after});
    }
}

void coordinator::issue_probes(time_point now, actions& out) {
    dispatcher_.for_each_server([&](server_state& state) {
        const bool probe_due = state.silent_for(probe_after_silence, now) ||
                               state.leaving_age(now).has_value();
        if (probe_due && state.probe_budget().try_take(now)) {
            out.emplace_back(
                probe_server{state.row().key, state.row().address});
        }
    });
}

void coordinator::flush_journal(time_point now, actions& out) {
    if (journal_.empty() || !write_budget_.try_take(now)) {
        return;
    }
    write_journal write;
    while (!journal_.empty() &&
           write.entries.size() < entries_per_journal_write) {
        write.entries.push_back(std::move(journal_.front()));
        journal_.pop_front();
    }
    out.emplace_back(std::move(write));
}

void coordinator::send_heartbeats(time_point now, actions& out) {
    const auto targets = membership_.heartbeat_targets(now);
    if (targets.empty()) {
        return;
    }
    std::vector<incarnation> gone;
    for (const auto& [id, loads] : peer_loads_) {
        if (!membership_.find(id, now)) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        remove_peer_loads(id);
    }
    const auto beat = make_heartbeat(now);
    for (const auto& address : targets) {
        out.emplace_back(send_message{address, beat});
    }
}

heartbeat coordinator::make_heartbeat(time_point now) {
    heartbeat beat;
    beat.sender = membership_.own();
    beat.sequence = ++heartbeat_sequence_;
    beat.table_version = table_.version();
    beat.table_age = table_age(now);
    beat.members = membership_.sample(members_per_heartbeat, engine_, now);
    dispatcher_.for_each_server([&](server_state& state) {
        if (state.in_flight() > 0 && beat.loads.size() < loads_per_heartbeat) {
            beat.loads.push_back({load_hash(state.row().key), state.in_flight(),
                                  state.long_in_flight()});
        }
        const auto age = state.leaving_age(now);
        if (age && beat.leaving.size() < leaving_per_heartbeat) {
            beat.leaving.push_back({state.row().key, *age});
        }
    });
    return beat;
}

void coordinator::begin_stop(time_point now) {
    if (!stopping_since_) {
        stopping_since_ = now;
        membership_.set_leaving();
        next_heartbeat_ = now;
    }
}

bool coordinator::may_exit(time_point now) const {
    if (!stopping_since_ ||
        now < *stopping_since_ + readiness_propagation_delay) {
        return false;
    }
    const bool journal_done =
        journal_.empty() || now > *stopping_since_ + max_journal_wait;
    return dispatcher_.calls() == 0 && operations_.empty() &&
           forwarded_.empty() && journal_done && now >= mint_.last_expiry();
}

instance_status coordinator::status(time_point now) const {
    instance_status value;
    value.table_confirmed = !is_table_unconfirmed(now);
    value.stopping = stopping_since_.has_value();
    value.ready = value.table_confirmed && !value.stopping;
    value.table_version = table_.version();
    value.table_age = table_age(now);
    value.calls = dispatcher_.calls() + forwarded_.size();
    value.waiting = dispatcher_.waiting();
    value.operations = ledger_.size();
    value.active_instances = membership_.active_count(now);
    return value;
}

} // namespace lacewingbeam
