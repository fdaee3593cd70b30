#ifndef LACEWINGBEAM_DISPATCHER_HPP
#define LACEWINGBEAM_DISPATCHER_HPP

#include "budget.hpp"
#include "choice.hpp"
#include "core.hpp"
#include "deadline_queue.hpp"
#include "server_state.hpp"
#include "table.hpp"
#include "verdict.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

// Sends calls to backend servers: admission, choice, retries, hedging and
// cancellation. Events go in with the time; actions come back.
namespace lacewingbeam {

// A caller's request as far as decisions need it.
struct call {
    call_id id{};
    std::string service;
    bool idempotent = false;
    work_length length = work_length::short_work;
    time_point deadline;        // for the head of the answer
    bool record_answer = false; // keep the answer for resends
};

// Send the call to this backend server. The answer's head must be there
// after `time_left`; the embedding program enforces nothing, a
// cancel_attempt follows when the time is over.
struct start_attempt {
    call_id call{};
    attempt_id attempt{};
    server_key server;
    std::string address;
    duration time_left{};
    unsigned connections = 1; // this instance's share of connections
    bool idempotent = false;
    bool record_answer = false;
};

// Nobody waits for the attempt any more; close its connection.
struct cancel_attempt {
    attempt_id attempt{};
};

// Pass this attempt's answer on to the caller.
struct deliver_answer {
    call_id call{};
    attempt_id attempt{};
};

// The call is over. If its answer was being delivered and the outcome is
// not completed, the caller's connection must be broken off.
struct finish_call {
    call_id call{};
    verdict outcome;
    duration retry_after{};
};

using dispatch_action =
    std::variant<start_attempt, cancel_attempt, deliver_answer, finish_call>;

// How an attempt ended.
struct attempt_completed {};
struct attempt_refused {
    not_run_reason reason;
};
struct attempt_lost {
    may_have_run_reason reason;
};
using attempt_result =
    std::variant<attempt_completed, attempt_refused, attempt_lost>;

struct dispatcher_options {
    choice_policy policy = load_aware{};
    double retry_percent = 10;
    double hedge_percent = 3;
    unsigned max_attempts = 4;
    std::string failure_domain;
};

// The part of the aggregate limits that this instance may use.
struct instance_share {
    std::size_t instances = 1;
    std::size_t rank = 0;
};

// One look at a choice, for operators.
struct choice_record {
    time_point at;
    server_key chosen;
    std::vector<candidate> candidates;
};

class dispatcher {
public:
    dispatcher(dispatcher_options options, std::uint64_t seed);

    using actions = std::vector<dispatch_action>;

    // The table changed; takes over every service.
    void apply_table(const table_view& table, time_point now);

    // One service of the table changed or went away.
    void apply_service(const table_view& table, std::string_view name,
                       time_point now);

    void set_share(instance_share share) { share_ = share; }

    // While paused, no attempt is started; calls wait.
    void set_paused(bool paused) { paused_ = paused; }

    // A call arrived.
    actions submit(const call& arriving, time_point now);

    // The head of an attempt's answer is there (or, for a short answer, all
    // of it). `server_error`: it says that the backend server itself failed.
    actions on_head(attempt_id attempt, bool server_error, time_point now);

    // An attempt ended.
    actions on_ended(attempt_id attempt, const attempt_result& result,
                     time_point now);

    // The caller went away.
    actions cancel(call_id id, time_point now);

    // Work that is due: expiry, hedging, placing of waiting calls.
    actions tick(time_point now);

    // Every waiting call ends at once with this reason.
    actions refuse_waiting(not_run_reason reason);

    // Null if the backend server is unknown.
    server_state* find_server(const server_key& key);

    // Every backend server's state, by service.
    template <class Visitor>
    void for_each_server(Visitor&& visit) {
        for (auto& [name, entry] : services_) {
            for (auto& state : entry.servers) {
                visit(state);
            }
        }
    }

    // The latest choices for a service, newest last.
    std::vector<choice_record> recent_choices(std::string_view service) const;

    std::size_t calls() const { return calls_.size(); }
    std::size_t waiting() const;

private:
    struct attempt_entry {
        call_id call{};
        server_key server;
        time_point sent_at;
        bool hedge = false;
    };

    struct call_entry {
        call info;
        std::vector<attempt_id> running_attempts;
        std::vector<std::string> tried_servers;
        unsigned attempts = 0;
        bool queued = false;
        bool delivering = false;
        bool hedged = false;
        time_point timer_at;              // when to look at it next
        std::optional<may_have_run> lost; // an earlier attempt may have run
    };

    struct service_entry {
        service_row row;
        std::vector<server_state> servers;
        deadline_queue queue{0};
        attempt_budget retries{0, 0};
        attempt_budget hedges{0, 0};
        double latency_ms = 0;
        double deviation_ms = 0;
        unsigned running_calls = 0; // calls with an attempt
        std::vector<choice_record> choices;
    };

    void update_servers(service_entry& entry, const table_view& table,
                        time_point now);
    unsigned limit_share(const service_entry& entry) const;
    duration expected_wait(const service_entry& entry) const;
    std::vector<candidate> candidates_for(service_entry& entry,
                                          const call_entry& pending,
                                          bool ignore_tried, time_point now);
    bool has_capacity(const server_state& state, const call& info,
                      time_point now) const;
    server_state* choose_server(service_entry& entry, call_entry& pending,
                                time_point now);
    bool place(service_entry& entry, call_entry& pending, bool hedge,
               time_point now, actions& out);
    void place_queued_calls(service_entry& entry, time_point now, actions& out);
    void place_or_queue(service_entry& entry, call_entry& pending,
                        time_point now, actions& out);
    void end_call(call_id id, const verdict& outcome, duration retry_after,
                  actions& out);
    void drop_attempt(call_entry& pending, attempt_id attempt);
    void release_attempt(attempt_id attempt, const attempt_entry& entry);
    void cancel_others(call_entry& pending, attempt_id keep, actions& out);
    void record_server_result(const attempt_entry& entry,
                              const attempt_result& result, time_point now);
    void retry_or_finish(call_entry& pending, const verdict& outcome,
                         time_point now, actions& out);
    void update_latency(service_entry& entry, double latency_ms);
    void set_timer(call_entry& pending, time_point at);
    void on_timer(call_id id, time_point now, actions& out);
    void expire_call(call_entry& pending, time_point now, actions& out);
    bool try_hedge(service_entry& entry, call_entry& pending, time_point now,
                   actions& out);
    time_point next_timer(const service_entry& entry, const call_entry& pending,
                          time_point now) const;

    dispatcher_options options_;
    random_engine engine_;
    instance_share share_;
    std::map<std::string, service_entry, std::less<>> services_;
    // Services that may have waiting calls.
    std::set<std::string> queued_services_;
    std::map<call_id, call_entry> calls_;
    std::map<attempt_id, attempt_entry> attempts_;
    std::set<std::pair<time_point, call_id>> timers_;
    std::uint64_t next_attempt_ = 1;
    bool paused_ = false;
};

} // namespace lacewingbeam

#endif
