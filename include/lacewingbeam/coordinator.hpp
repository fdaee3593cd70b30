#ifndef LACEWINGBEAM_COORDINATOR_HPP
#define LACEWINGBEAM_COORDINATOR_HPP

#include "claim_tracker.hpp"
#include "core.hpp"
#include "dispatcher.hpp"
#include "membership.hpp"
#include "operation_ledger.hpp"
#include "peer_messages.hpp"
#include "table.hpp"
#include "ticket.hpp"
#include "verdict.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

// Coordinates request handling in one instance. The coordinator performs no
// I/O: the embedding program reports events together with the current time and
// executes the actions that each event handler returns.
namespace lacewingbeam {

// A request received from a caller.
struct arriving_call {
    call_id id{};
    std::string service;
    std::string method;
    std::string path;
    std::string ticket;                // header value; empty if none
    std::string idempotency_key;       // empty if none
    unsigned attempt = 1;              // attempt number set by the caller
    std::uint64_t fingerprint = 0;     // hash of the request content
    std::optional<duration> time_left; // until the caller's deadline
    bool forwarded = false;            // by a peer; must not be forwarded again
};

// Forward the call to the instance that owns its operation, or to one with a
// share of the service's limit, and relay the answer.
struct forward_call {
    call_id call{};
    incarnation owner;
    std::string caller_address;
    duration time_left{};
};

// Answer the call with the answer recorded when its operation ran.
struct replay_answer {
    call_id call{};
    recorded_answer answer;
};

// Insert the claims in one transaction of the platform's table service.
struct write_claims {
    claim_batch batch;
};

// Read the claim row for a key.
struct read_claim {
    std::string key;
};

// The answer of a finished operation, to be stored in the platform's journal.
struct journal_entry {
    operation_id operation;
    recorded_answer answer;
};

// Write the entries in one transaction. A failed write is not reported to the
// coordinator.
struct write_journal {
    std::vector<journal_entry> entries;
};

// Look up an operation's answer in the journal.
struct read_journal {
    call_id call{};
    operation_id operation;
};

// Request a load report from the backend server.
struct probe_server {
    server_key server;
    std::string address;
};

struct send_message {
    std::string peer_address;
    peer_message message;
};

using action =
    std::variant<start_attempt, cancel_attempt, deliver_answer, finish_call,
                 forward_call, replay_answer, write_claims, read_claim,
                 write_journal, read_journal, probe_server, send_message>;

// Outcome of forwarding a call.
struct forward_completed {};   // the owner's answer was relayed
struct forward_unreachable {}; // no byte reached the owner
struct forward_lost {};        // no complete answer was received
struct forward_refused {};     // the address now has another incarnation
using forward_result = std::variant<forward_completed, forward_unreachable,
                                    forward_lost, forward_refused>;

// An entry in the platform's instance list.
struct listed_instance {
    std::string address;
    bool is_peer = false; // an instance of ours; address is its peer address
    bool leaving = false;
};

struct coordinator_options {
    dispatcher_options dispatch;
    membership_options members;
    ledger_limits ledger;
    member own;
    std::string key; // for ticket authentication codes
    duration ticket_lifetime = std::chrono::seconds(60);
    duration retention = std::chrono::seconds(600);
    duration heartbeat_interval = std::chrono::milliseconds(500);
    double writes_per_second = 10;
    std::size_t max_calls = 4096;
    std::uint64_t seed = 1;
};

struct instance_status {
    bool ready = false;
    bool stopping = false;
    bool table_confirmed = false;
    std::uint64_t table_version = 0;
    duration table_age{};
    std::size_t calls = 0;
    std::size_t waiting = 0;
    std::size_t operations = 0;
    std::size_t active_instances = 0;
};

class coordinator {
public:
    using actions = std::vector<action>;

    coordinator(coordinator_options options, time_point now);

    // Events from callers.
    actions on_call(const arriving_call& arriving, time_point now);
    actions on_caller_gone(call_id id, time_point now);

    // Returns a new ticket, or nullopt while the instance is stopping.
    std::optional<std::string> mint_ticket(time_point now);

    // Events of attempts. `server_error` is true if the response head reports
    // a failure of the backend server itself. `answer` is the complete answer
    // if the attempt requested recording and the answer was small enough.
    actions on_head(attempt_id attempt, bool server_error, time_point now);
    actions on_attempt_ended(attempt_id attempt, const attempt_result& result,
                             std::optional<recorded_answer> answer,
                             time_point now);

    // Load reports and probe failures of backend servers. `draining` is
    // signaled by the server itself.
    void on_report(const server_key& server, const load_report& report,
                   bool draining, time_point now);
    void on_probe_failed(const server_key& server, time_point now);

    // Results of forwarded calls and journal reads.
    actions on_forward_ended(call_id id, const forward_result& result,
                             time_point now);
    actions on_journal(call_id id, std::optional<recorded_answer> answer,
                       time_point now);

    // Results of claim writes and reads.
    actions on_claims_committed(std::uint64_t batch, time_point now);
    actions on_claims_conflict(std::uint64_t batch,
                               std::span<const claim> existing, time_point now);
    actions on_claims_unknown(std::uint64_t batch, time_point now);
    actions on_claim_read(const std::string& key,
                          const std::optional<claim>& row, time_point now);
    actions on_claim_read_failed(const std::string& key, time_point now);

    // Applies rows read from the table. `asked_at` is the time at which the
    // read was sent, or nullopt if more rows remain to be read. Returns an
    // error message for each row that could not be parsed.
    std::vector<std::string> on_table(std::span<const raw_row> rows,
                                      std::uint64_t version,
                                      std::optional<time_point> asked_at,
                                      time_point now);
    void on_platform_failed(time_point now);

    // True if this instance should poll the platform. In a failure domain with
    // many instances only a few poll it while the table is also received from
    // peers.
    bool reads_platform(time_point now) const;
    void on_instance_list(std::span<const listed_instance> list,
                          time_point now);

    // Events from peers.
    actions on_message(const std::string& from, const peer_message& message,
                       time_point now);
    void set_seeds(std::span<const std::string> peer_addresses);

    // Runs all timers that are due. Must be called every few milliseconds.
    actions on_tick(time_point now);

    // Begins a graceful shutdown: no more tickets are minted and peers are
    // notified that the instance is leaving. Calls are still served.
    void begin_stop(time_point now);

    // True once no work is pending and all tickets minted here have expired.
    bool may_exit(time_point now) const;

    instance_status status(time_point now) const;
    const table_view& table() const { return table_; }
    dispatcher& servers() { return dispatcher_; }
    const dispatcher& servers() const { return dispatcher_; }
    std::vector<member> peers(time_point now) const;
    const member& own() const { return membership_.own(); }

private:
    // A call with a ticket or an idempotency key.
    struct operation_call {
        operation_id operation;
        call dispatch;
        bool owner = false; // this call runs the operation, others wait for it
        bool forwarded = false;
    };

    void detect_pause(time_point now);
    bool is_table_unconfirmed(time_point now) const;
    void confirm_table(time_point confirmed_at);
    void apply_dispatcher_actions(
        dispatcher::actions decided, actions& out,
        std::optional<recorded_answer> answer = std::nullopt);
    void finish_waiter(call_id id, const verdict& outcome,
                       const std::optional<recorded_answer>& answer,
                       duration retry_after, actions& out);
    void finish_operation(const operation_id& operation, const verdict& outcome,
                          std::optional<recorded_answer> answer,
                          duration retry_after, actions& out);
    void begin_ticketed(const arriving_call& arriving, const call& dispatch,
                        time_point now, actions& out);
    void begin_keyed(const arriving_call& arriving, const call& dispatch,
                     time_point now, actions& out);
    std::optional<may_start> begin_operation(const arriving_call& arriving,
                                             const call& dispatch,
                                             const operation_request& request,
                                             time_point now, actions& out);
    void forward_or_look_up(const operation_call& waiting,
                            const incarnation& owner, time_point now,
                            actions& out);
    bool forward_to_instance_with_share(const arriving_call& arriving,
                                        const call& dispatch, time_point now,
                                        actions& out);
    void process_claim_events(const std::vector<claim_event>& events,
                              time_point now, actions& out);
    void on_claim_event(const claim_event& event, time_point now, actions& out);
    void issue_claim_actions(time_point now, actions& out);
    void flush_journal(time_point now, actions& out);
    void issue_probes(time_point now, actions& out);
    void expire_overdue_calls(time_point now, actions& out);
    void send_heartbeats(time_point now, actions& out);
    heartbeat make_heartbeat(time_point now);
    void on_heartbeat(const std::string& from, const heartbeat& beat,
                      time_point now, actions& out);
    void update_peer_loads(const heartbeat& beat, time_point now);
    void remove_peer_loads(const incarnation& peer);
    std::optional<not_run_reason>
    find_refusal_reason(const arriving_call& arriving, time_point now) const;
    void refuse_before_dispatch(const arriving_call& arriving,
                                not_run_reason reason, time_point now,
                                actions& out);
    call make_call(const arriving_call& arriving, time_point now) const;
    void on_services_changed(const std::set<std::string, std::less<>>& services,
                             time_point now);
    void request_table(const std::string& peer_address, time_point now,
                       actions& out);
    void on_table_rows(const std::string& from, const table_rows& rows,
                       time_point now, actions& out);
    table_rows make_table_rows(const table_request& request,
                               time_point now) const;
    void confirm_after_pause(time_point now, actions& out);
    duration table_age(time_point now) const;

    coordinator_options options_;
    random_engine engine_;
    table_view table_;
    dispatcher dispatcher_;
    membership membership_;
    operation_ledger ledger_;
    claim_tracker claims_;
    ticket_mint mint_;
    token_bucket write_budget_;

    struct forwarded_call {
        operation_id operation;
        time_point deadline;
        // Reported to the caller if the journal has no answer.
        may_have_run_reason fallback_reason =
            may_have_run_reason::minter_unreachable;
    };

    std::map<call_id, operation_call> operations_;
    std::map<call_id, forwarded_call> forwarded_;
    std::map<std::string, call_id> claiming_calls_; // by idempotency key
    std::deque<journal_entry> journal_;
    std::map<incarnation, std::vector<server_load>> peer_loads_;
    std::unordered_map<std::uint32_t, peer_load> load_sums_;
    std::unordered_map<std::uint32_t, server_key> servers_by_hash_;
    std::uint64_t heartbeat_sequence_ = 0;
    time_point next_heartbeat_;
    time_point next_housekeeping_;
    time_point next_probes_;
    time_point last_event_;
    std::optional<time_point> confirmed_at_;
    std::optional<time_point> stopping_since_;
    // A table request that has not been answered yet.
    struct pending_table_request {
        std::uint64_t number = 0;
        std::string peer_address;
        time_point sent_at;
    };

    std::deque<pending_table_request> table_requests_;
    std::uint64_t next_request_number_ = 1;
    time_point next_confirmation_;
    bool resumed_unconfirmed_ = false; // table not confirmed since a pause
};

} // namespace lacewingbeam

#endif
