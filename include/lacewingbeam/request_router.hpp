#ifndef LACEWINGBEAM_REQUEST_ROUTER_HPP
#define LACEWINGBEAM_REQUEST_ROUTER_HPP

#include "budget.hpp"
#include "core.hpp"
#include "crowding.hpp"
#include "directory.hpp"
#include "expected_time.hpp"
#include "load_memory.hpp"
#include "repeat_budget.hpp"
#include "routing.hpp"
#include "verdict.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Sends routed requests to backend servers: each is placed by what a few
// servers say of their load at this very moment.
namespace lacewingbeam {

enum class probe_id : std::uint64_t {};

enum class probe_failure {
    refused, // the server said that it takes no work
    silent,  // no answer in time, or no connection
    broken,  // the connection broke; another may work
};

// A caller's request as far as decisions need it.
struct routed_request {
    call_id id{};
    std::string host;
    std::string path;
    std::optional<duration> caller_time_left;
};

// Ask a backend server for its load.
struct probe_order {
    probe_id id{};
    std::string server;
    std::string address;
    std::string path;
    unsigned connections = 1; // this instance's share of connections
    duration timeout{};
};

// Send the request to this backend server and no other life at its address.
struct send_order {
    call_id call{};
    attempt_id attempt{};
    std::string server;
    std::string service;
    std::string address;
    duration time_left{}; // for the whole answer
    unsigned connections = 1;
    bool repeatable = false;
    bool hedge = false;
    // What decided it, for the log.
    server_load_sample load;
    std::optional<duration> load_age; // nothing: the server told none
    double expected_ms = 0;
    std::size_t candidates = 0;
};

// Nobody waits for the attempt any more; close its connection.
struct cancel_order {
    attempt_id attempt{};
};

// Give this attempt's answer to the caller.
struct deliver_order {
    call_id call{};
    attempt_id attempt{};
};

// The request is over without an answer of a backend server.
struct finish_order {
    call_id call{};
    verdict outcome;
    std::optional<duration> retry_after;
};

using router_action = std::variant<probe_order, send_order, cancel_order,
                                   deliver_order, finish_order>;

// How an attempt ended.
struct attempt_answered {
    bool server_error = false; // says that the backend server itself failed
    double answer_kb = 0;      // size of the answer's body
};
struct attempt_not_run {
    not_run_reason reason{};
};
struct attempt_unknown {
    may_have_run_reason reason{};
};
using attempt_end =
    std::variant<attempt_answered, attempt_not_run, attempt_unknown>;

// Any server at random.
struct place_at_random {};
// The better of two random servers by own requests in flight.
struct place_by_two_choices {};
// The server with the lowest cost, expected time most of all. The most
// promising by what they told before are asked for their load; if the first
// answers are not about as good as can be, more are asked. Where the probe
// budget allows none, older samples decide.
struct place_by_expected_time {
    unsigned probes = 4;
    unsigned first_probes = 1;
    duration probe_timeout = std::chrono::milliseconds(12);
};
using placing_policy =
    std::variant<place_at_random, place_by_two_choices, place_by_expected_time>;

struct router_options {
    placing_policy policy = place_by_expected_time{};
    repeat_terms repeats;
    double probes_per_second = 10; // of one server, by all instances
    double hedge_at = 0.6;         // part of the objective; 0: never
    std::string failure_domain;
    std::size_t max_requests = 2000;
    // Backend servers of one service that an instance uses as long as they
    // have room; a large service is split, so that connections are reused.
    std::size_t subset = 20;
};

class request_router {
public:
    using actions = std::vector<router_action>;

    // The directory must outlive the router.
    request_router(const directory& known, router_options options,
                   std::uint64_t seed);

    // Other budgets, policy and limits; requests under way keep theirs. What
    // budgets have counted so far is kept.
    void reconfigure(router_options options);

    // Instances that share the budgets.
    void set_instances(std::size_t count) { instances_ = count; }

    // From now on every arriving request is refused: the instance ends before
    // an answer could be there.
    void refuse_arrivals() { stopping_ = true; }

    actions submit(const routed_request& request, time_point now);

    // No load: the server is alive, but tells none.
    actions on_probe_answered(probe_id id,
                              const std::optional<server_load_sample>& load,
                              time_point now);
    actions on_probe_failed(probe_id id, probe_failure failure, time_point now);

    actions on_load(std::string_view server, const server_load_sample& load,
                    time_point now);
    actions on_attempt_ended(attempt_id id, const attempt_end& result,
                             time_point now);
    actions on_caller_gone(call_id id, time_point now);

    actions on_tick(time_point now);

    // When on_tick has something to do; nothing while nothing is under way.
    std::optional<time_point> next_due() const;

    // Servers came, changed or went.
    void on_servers_changed(std::span<const std::string> ids, time_point now);

    std::size_t requests() const { return requests_.size(); }

private:
    struct server_entry {
        std::optional<server_load_sample> load;
        time_point load_at;
        unsigned in_flight = 0;
        unsigned sent_since = 0; // own sends after the sample
        double distrust = 0;
        time_point distrust_at;
        time_point silent_until;
        std::unique_ptr<token_bucket> probes;
    };

    struct service_entry {
        std::unique_ptr<repeat_budget> repeats;
        std::map<std::string, double> work_ms;   // by route
        std::map<std::string, double> answer_kb; // by route
        crowding_estimate crowding;
        load_memory memory;
        std::set<std::string> subset; // empty: to be drawn
    };

    struct attempt_entry {
        call_id call{};
        std::string server;
        time_point sent_at;
        server_load_sample load; // when it was placed
    };

    struct request_entry {
        call_id id{};
        std::string route;
        std::string service;
        std::string health_path;
        retry_policy repeats = retry_policy::at_most_once;
        unsigned max_attempts = 1;
        unsigned max_connections = 1;
        duration objective{};
        time_point arrived;
        time_point limit_at;
        unsigned attempts = 0;
        unsigned priority = 0;
        bool hedged = false;
        bool waiting = false; // for a slot
        unsigned probed = 0;  // servers asked in this round
        std::vector<std::string> tried;
        std::vector<probe_id> pending;
        std::vector<attempt_id> running;
        std::optional<time_point> decide_at; // a round of probes ends
        std::optional<time_point> retry_at;  // while waiting: look again
        std::optional<may_have_run_reason> lost;
        std::optional<not_run_reason> refused;
    };

    struct scored_server {
        std::string id;
        double expected_ms = 0;
        double cost_ms = 0;
        bool useful_slot = false;
        bool told = false; // has a fresh sample
    };

    static const std::string& pick_service(const route& chosen,
                                           random_engine& engine);
    server_entry& entry_of(const std::string& id);
    service_entry& entry_of_service(const std::string& name);
    token_bucket& probes_of(server_entry& entry, time_point now);
    double distrust_of(const server_entry& entry, time_point now) const;
    void note_outcome(const std::string& server, bool good, double weight,
                      time_point now);
    static std::optional<told_load> told_by(const server_entry& entry,
                                            time_point now);
    placement_view view_of(const request_entry& request,
                           const known_server& server, time_point now);
    double work_of(const request_entry& request);
    std::vector<const known_server*> candidates(const request_entry& request);
    const std::set<std::string>& subset_of(const std::string& service);
    void take_load(const std::string& server,
                   const std::optional<server_load_sample>& load,
                   time_point now);
    void place_waiting(const std::string& id, time_point now, actions& out);
    bool may_use(const request_entry& request, const placement_view& view,
                 time_point now) const;
    bool finds_room(const request_entry& request, time_point now);
    bool goes_before(const request_entry& a, const request_entry& b,
                     time_point now);
    void wait(request_entry& request, time_point now, actions& out);
    void begin_round(request_entry& request, time_point now, actions& out);
    std::vector<const known_server*>
    servers_to_probe(const request_entry& request,
                     const place_by_expected_time& policy, time_point now);
    void send_probes(request_entry& request,
                     const place_by_expected_time& policy, time_point now,
                     actions& out);
    void probe_more_or_decide(request_entry& request, time_point now,
                              actions& out);
    void probe_settled(probe_id id, time_point now, actions& out);
    bool good_enough(const request_entry& request, const std::string& server,
                     time_point now);
    const scored_server&
    choose_untold(const std::vector<scored_server>& scored);
    void decide(request_entry& request, time_point now, actions& out);
    std::vector<scored_server> score(const request_entry& request,
                                     time_point now);
    unsigned connection_share(const request_entry& request) const;
    void place(request_entry& request, const scored_server& chosen,
               std::size_t count, time_point now, actions& out);
    void send_again_or_finish(request_entry& request, time_point now,
                              actions& out);
    void submit_early(time_point now, actions& out);
    void learn(const request_entry& request, const attempt_entry& attempt,
               double answer_kb, time_point now);
    bool may_repeat(request_entry& request, time_point now);
    void refuse(request_entry& request, not_run_reason reason, time_point now,
                actions& out);
    void finish(request_entry& request, const verdict& outcome,
                std::optional<duration> retry_after, actions& out);
    void drop(call_id id, std::optional<attempt_id> keep, actions& out);
    duration retry_time(const request_entry& request, double wait_ms,
                        time_point now);
    void try_hedge(request_entry& request, time_point now, actions& out);
    std::optional<time_point> hedge_due(const request_entry& request) const;
    time_point due_of(const request_entry& request) const;

    // A request that came before the directory was known.
    struct early_request {
        routed_request request;
        time_point arrived;
        time_point give_up_at;
    };

    const directory& directory_;
    std::uint64_t own_hash_; // draws the subsets
    router_options options_;
    random_engine engine_;
    std::size_t instances_ = 1;
    std::map<std::string, server_entry> servers_;
    std::map<std::string, service_entry> services_;
    std::map<call_id, request_entry> requests_;
    std::map<call_id, early_request> early_;
    std::map<attempt_id, attempt_entry> attempts_;

    struct sent_probe {
        call_id call{};
        std::string server;
    };
    std::map<probe_id, sent_probe> probes_;
    std::uint64_t next_attempt_ = 1;
    std::uint64_t next_probe_ = 1;
    bool stopping_ = false;
};

} // namespace lacewingbeam

#endif
