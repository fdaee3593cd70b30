#ifndef LACEWINGBEAM_REQUEST_ROUTER_HPP
#define LACEWINGBEAM_REQUEST_ROUTER_HPP

#include "budget.hpp"
#include "contention_estimator.hpp"
#include "core.hpp"
#include "directory.hpp"
#include "expected_time.hpp"
#include "load_predictor.hpp"
#include "path_monitor.hpp"
#include "repeat_budget.hpp"
#include "request_quarantine.hpp"
#include "router_actions.hpp"
#include "routing.hpp"
#include "server_limits.hpp"
#include "server_notices.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Routes requests to backend servers. Each request is placed by the current
// load of a few servers, which are probed for it.
namespace lacewingbeam {

// Chooses a server at random.
struct random_placement {};
// Chooses the one of two random servers that has fewer requests of this
// instance in flight.
struct power_of_two_placement {};
// Chooses the server with the lowest cost, which is mainly the expected time.
// Probes the servers with the lowest cost by earlier samples first, and further
// ones if none of the first is nearly optimal. Falls back on earlier samples if
// the probe budget is used up.
struct expected_time_placement {
    unsigned probes = 4;
    unsigned first_probes = 1;
    duration probe_timeout = std::chrono::milliseconds(12);
};
using placement_policy = std::variant<random_placement, power_of_two_placement,
                                      expected_time_placement>;

struct router_options {
    placement_policy policy = expected_time_placement{};
    repeat_limits repeats;
    double probes_per_second = 10; // per server, by all instances together
    double hedge_at = 0.6;         // fraction of the objective; 0: never
    std::string failure_domain;
    std::size_t max_requests = 2000;
    // The number of a service's backend servers that an instance uses while
    // they have free slots. In a large service, requests to a subset reuse
    // connections that would otherwise be idle.
    std::size_t subset_size = 20;
};

class request_router {
public:
    using actions = std::vector<router_action>;

    // The directory must outlive the router.
    request_router(const directory& known, router_options options,
                   std::uint64_t seed);

    // Replaces budgets, policy and limits. Deadlines and objectives of requests
    // in progress and the counts of budgets are kept.
    void reconfigure(router_options options);

    // Sets the number of instances that share the budget of repeats, and
    // whether all of them are known. Until they are, the slack is not used.
    void set_sharing_instances(std::size_t count, bool all_known,
                               time_point now);

    // Sets the number of instances that share probes and connections.
    void set_instances(std::size_t count) { instances_ = count; }

    // Sets the peers that are told of requests that crash servers.
    void set_peers(std::string own, std::vector<std::string> peers) {
        quarantine_.set_instances(std::move(own), std::move(peers));
    }

    // Sets the instances that share the limits that servers name, including
    // those that may be running unseen behind a partition.
    void set_limit_sharers(std::string own, std::vector<std::string> peers) {
        limits_.set_instances(std::move(own), std::move(peers));
    }

    // Sets the instances to which requests may be forwarded.
    void set_forwarding_peers(std::vector<forwarding_peer> peers);

    // Returns the number of services whose servers have no path from here.
    std::size_t lost_paths() const;

    actions on_suspect_report(const std::string& from,
                              const suspect_report& report, time_point now);
    actions on_peer_started(const std::string& peer, time_point now);

    // Ends the quarantine of a request on all instances.
    actions release(request_fingerprint request, time_point now);

    const request_quarantine& quarantine() const { return quarantine_; }

    // A server named a limit in a response, or named none in one to a request.
    // Returns true if that is news.
    bool on_limit(std::string_view server, std::optional<double> per_second,
                  time_point now);

    // A response of the server said that it is leaving, or that it wants no
    // requests for some time. Return true if that is news.
    bool on_server_leaving(std::string_view server, time_point now);
    bool on_server_pause(std::string_view server, duration pause,
                         time_point now);

    // The instance takes no requests from `refuse_from` on, and gives the last
    // answers at `ends_at`. Requests that usually take longer than the time
    // left are refused instead of sent; what runs at the end has no answer.
    void begin_stop(time_point refuse_from, time_point ends_at);

    actions submit(const routed_request& request, time_point now);

    // An empty load means that the server is alive but reports none.
    actions on_probe_answered(probe_id id,
                              const std::optional<server_load_sample>& load,
                              time_point now);
    actions on_probe_failed(probe_id id, probe_failure failure, time_point now);

    actions on_load(std::string_view server, const server_load_sample& load,
                    time_point now);
    actions on_attempt_ended(attempt_id id, const attempt_outcome& result,
                             time_point now);
    actions on_caller_gone(call_id id, time_point now);

    actions on_tick(time_point now);

    // When on_tick must be called next; empty while no request is in progress.
    std::optional<time_point> next_due() const;

    // Must be called when servers were added, changed or removed.
    void on_servers_changed(std::span<const std::string> ids, time_point now);

    std::size_t requests() const { return requests_.size(); }

    // Returns true if on_tick must be called when the directory was changed or
    // confirmed.
    bool waits_for_directory() const { return !early_requests_.empty(); }

private:
    struct server_entry {
        std::optional<server_load_sample> load;
        time_point load_at;
        unsigned in_flight = 0;
        unsigned sent_since = 0; // requests sent after the sample
        double failure_score = 0;
        time_point failure_score_at;
        time_point next_probe_at;
        std::unique_ptr<token_bucket> probe_budget;
    };

    struct service_entry {
        std::unique_ptr<repeat_budget> repeats;
        std::map<std::string, double> base_latency_ms; // by route
        std::map<std::string, double> response_kb;     // by route
        contention_estimator contention;
        load_predictor predictor;
        std::set<std::string> subset; // empty: not selected yet
        path_monitor path{silent_servers_of_service};
        time_point next_path_check;
        // Requests are sent to servers rather than peers until then.
        time_point peers_useless_until;
    };

    struct attempt_entry {
        call_id call{};
        std::string server;
        time_point sent_at;
        server_load_sample load; // at placement
        server_fingerprint server_run = 0;
        std::string peer; // address, if it was forwarded; then no server
        unsigned forwarded_attempts = 0; // that the peer may make
    };

    struct request_entry {
        call_id id{};
        request_fingerprint fingerprint = 0;
        std::string route;
        std::string service;
        std::string health_path;
        retry_policy retry = retry_policy::at_most_once;
        unsigned max_attempts = 1;
        unsigned max_connections = 1;
        duration objective{};
        time_point arrived;
        time_point deadline;
        unsigned attempts = 0;
        unsigned may_have_arrived = 0; // attempts, at a server
        bool forwarded = false;        // by another instance
        std::vector<std::string> tried_peers;
        unsigned priority = 0;
        bool hedged = false;
        bool repeat_reserved = false; // for the next attempt
        bool waiting = false;         // for a slot
        unsigned probed = 0;          // servers probed for this placement
        std::vector<std::string> tried;
        std::vector<probe_id> pending_probes;
        std::vector<attempt_id> running_attempts;
        std::optional<time_point> decide_at;   // probe timeout
        std::optional<time_point> recheck_at;  // next try while waiting
        std::optional<time_point> too_late_at; // to be sent before the stop
        std::optional<may_have_run_reason> lost_reason;
        std::optional<not_run_reason> refused_reason;
    };

    // Retries reach another instance, so callers may retry soon.
    static constexpr duration stopping_retry_after =
        std::chrono::milliseconds(20);

    // Silent servers without a response between them that show a lost path.
    static constexpr std::size_t silent_servers_of_service = 3;
    static constexpr std::size_t silent_servers_of_all = 4;

    struct scored_server {
        std::string id;
        double expected_ms = 0;
        double cost_ms = 0;
        bool eligible = false;
        bool fresh = false; // sampled within max_fresh_sample_age
    };

    bool can_decide(time_point now) const;
    static const std::string& pick_service(const route& chosen,
                                           random_engine& engine);
    server_entry& entry_of(const std::string& id);
    service_entry& entry_of_service(const std::string& name);
    repeat_budget& repeats_of(const std::string& service, time_point now);
    token_bucket& probe_budget_of(server_entry& entry, time_point now);
    double failure_score_of(const server_entry& entry, time_point now) const;
    void record_outcome(const std::string& server, bool good, double weight,
                        time_point now);
    static std::optional<load_observation>
    last_observation(const server_entry& entry, time_point now);
    placement_inputs placement_inputs_for(const request_entry& request,
                                          const known_server& server,
                                          time_point now);
    double base_latency_of(const request_entry& request);
    std::vector<const known_server*> candidates(const request_entry& request,
                                                time_point now);
    bool may_send_to(const std::string& server, time_point now);
    std::optional<time_point> resume_time(const std::string& service,
                                          time_point now) const;
    void wait_for_limited_server(request_entry& request, time_point now,
                                 actions& out);
    const std::set<std::string>& subset_of(const std::string& service);
    void record_load(const std::string& server,
                     const std::optional<server_load_sample>& load,
                     time_point now);
    void place_waiting(const std::string& id, time_point now, actions& out);
    bool is_eligible(const request_entry& request,
                     const placement_inputs& inputs, time_point now) const;
    bool has_free_server(const request_entry& request, time_point now);
    bool has_priority_over(const request_entry& a, const request_entry& b,
                           time_point now);
    void wait_for_slot(request_entry& request, time_point now, actions& out);
    void start_placement(request_entry& request, time_point now, actions& out);
    std::vector<const known_server*>
    servers_to_probe(const request_entry& request,
                     const expected_time_placement& policy, time_point now);
    void send_probes(request_entry& request,
                     const expected_time_placement& policy, time_point now,
                     actions& out);
    void probe_more_or_decide(request_entry& request, time_point now,
                              actions& out);
    void probe_settled(probe_id id, time_point now, actions& out);
    bool is_good_enough(const request_entry& request, const std::string& server,
                        time_point now);
    const scored_server&
    choose_without_probes(const std::vector<scored_server>& scored);
    void decide(request_entry& request, time_point now, actions& out);
    std::vector<scored_server> score(const request_entry& request,
                                     time_point now);
    unsigned connection_share(unsigned max_connections) const;
    void place(request_entry& request, const scored_server& chosen,
               std::size_t count, time_point now, actions& out);
    void retry_or_finish(request_entry& request, time_point now, actions& out);
    void submit_early(time_point now, actions& out);
    void update_estimates(const request_entry& request,
                          const attempt_entry& attempt, double response_kb,
                          time_point now);
    bool try_reserve_repeat(request_entry& request, time_point now);
    bool take_reserved_repeat(request_entry& request);
    void release_repeat(request_entry& request);
    void refuse(request_entry& request, not_run_reason reason, time_point now,
                actions& out);
    std::optional<duration> refusal_of(request_fingerprint fingerprint,
                                       time_point now);
    bool refuse_if_quarantined(request_entry& request, time_point now,
                               actions& out);
    server_fingerprint current_run_of(const std::string& server) const;
    void tell_peers(request_quarantine::reports reports, time_point now,
                    actions& out);
    void note_server_alive(const std::string& server, time_point sent_at,
                           time_point now, actions& out);
    bool is_path_lost(const std::string& service);
    void note_response(const std::string& server, time_point now, actions& out);
    void note_doubt(const std::string& server, time_point now);
    void note_silence(const std::string& server, time_point now, actions& out);
    void note_outcome(const std::string& server, const attempt_outcome& result,
                      time_point now, actions& out);
    void on_path_lost(const std::string& service, std::size_t silent,
                      time_point now, actions& out);
    void place_unsent_again(time_point now, actions& out);
    void limit_by_stop(request_entry& request);
    bool end_if_too_late(request_entry& request, time_point now, actions& out);
    void on_server_attempt_ended(request_entry& request,
                                 const attempt_entry& attempt, attempt_id id,
                                 const attempt_outcome& result, time_point now,
                                 actions& out);
    void check_paths(time_point now, actions& out);
    void send_path_check(const std::string& service, time_point now,
                         actions& out);
    std::optional<time_point> path_check_due() const;
    const forwarding_peer* pick_peer(const request_entry& request,
                                     time_point now);
    bool try_forward(request_entry& request, time_point now, actions& out);
    void on_forward_ended(request_entry& request, const attempt_entry& attempt,
                          attempt_id id, const attempt_outcome& result,
                          time_point now, actions& out);
    void forward_again_or_finish(request_entry& request, time_point now,
                                 actions& out);
    void finish(request_entry& request, const verdict& outcome,
                std::optional<duration> retry_after, actions& out);
    void remove_request(call_id id, std::optional<attempt_id> keep,
                        actions& out);
    duration retry_delay(const request_entry& request, double wait_ms,
                         time_point now);
    void try_hedge(request_entry& request, time_point now, actions& out);
    std::optional<time_point> hedge_due(const request_entry& request) const;
    time_point due_of(const request_entry& request) const;

    // A request that arrived before the directory was loaded, or while its
    // routes may be outdated.
    struct early_request {
        routed_request request;
        time_point arrived;
        time_point give_up_at;
    };

    const directory& directory_;
    std::uint64_t subset_seed_; // selects the subsets
    router_options options_;
    random_engine engine_;
    std::size_t instances_ = 1;
    std::optional<std::size_t> sharing_instances_ = 1; // nullopt: unknown
    server_limits limits_;
    server_notices notices_;
    request_quarantine quarantine_;
    std::set<request_fingerprint> quarantined_; // as last told by an action
    std::map<std::string, server_entry> servers_;
    std::map<std::string, service_entry> services_;
    std::map<call_id, request_entry> requests_;
    std::map<call_id, early_request> early_requests_;
    // Requests that were not sent when their path was lost.
    std::set<call_id> unsent_without_path_;
    std::map<attempt_id, attempt_entry> attempts_;

    struct sent_probe {
        std::optional<call_id> call; // nullopt: checks the path
        std::string server;
        time_point sent_at;
    };
    std::map<probe_id, sent_probe> probes_;
    path_monitor all_paths_{silent_servers_of_all};
    std::vector<forwarding_peer> forwarding_peers_;
    struct peer_state {
        time_point avoided_until;
        std::optional<time_point> worked_at; // last response of a server
    };
    std::map<std::string, peer_state> peer_states_; // by address
    std::uint64_t next_attempt_ = 1;
    std::uint64_t next_probe_ = 1;
    struct stop_times {
        time_point refuse_from;
        time_point ends_at;
    };
    std::optional<stop_times> stop_;
};

} // namespace lacewingbeam

#endif
