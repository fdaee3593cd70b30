#ifndef LACEWINGBEAM_ROUTER_REQUEST_GATEWAY_HPP
#define LACEWINGBEAM_ROUTER_REQUEST_GATEWAY_HPP

#include "adapters/connection_pool.hpp"
#include "adapters/event_loop.hpp"
#include "adapters/http_listener.hpp"
#include "adapters/metrics.hpp"
#include "lacewingbeam/request_router.hpp"
#include "platform_binding.hpp"
#include "request_log.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

// Forwards requests from callers to backend servers, and responses back, as the
// request router decides.
namespace lacewingbeam {

struct gateway_options {
    std::string source_ip; // of connections; empty: chosen by the system
    std::string peer_key;  // authenticates requests that peers forward
};

// Returns the response to requests that a router has no memory for.
refusal make_no_memory_refusal();

class request_gateway {
public:
    request_gateway(event_loop& loop, const platform_binding& platform,
                    request_router& router, metrics& registry,
                    memory_budget& memory, gateway_options options);

    void on_request(const std::shared_ptr<incoming_request>& incoming);

    // Makes every later response close its connection, and stops keeping
    // connections to backend servers open. The times are those of
    // request_router::begin_stop.
    void begin_stop(time_point refuse_from, time_point ends_at);

    // Decides requests that waited for the directory.
    void on_directory_confirmed();

    // Messages of peers about requests that crash servers, and to peers.
    void on_suspect_report(const std::string& from,
                           const suspect_report& received);
    void on_peer_started(const std::string& peer);
    sigc::signal<void(const std::string& peer, const suspect_report&)> report;

    // Ends the quarantine of a request on all instances.
    void release(request_fingerprint request);

    std::size_t request_count() const { return requests_.size(); }
    time_point last_finished_at() const { return last_finished_at_; }

private:
    struct pending_request {
        std::shared_ptr<incoming_request> incoming;
        http_request outgoing; // without the headers set per attempt
        memory_charge charge;  // for its body
        std::string id;        // request ID set by the caller
        request_fingerprint fingerprint = 0;
        std::string service;
        time_point arrived;
        bool forwarded = false; // by another instance
        std::string served_by;  // server, once its response is delivered
    };

    struct pending_attempt {
        call_id call{};
        std::string server;
        std::string service;
        connection_pool* pool = nullptr; // that the exchange belongs to
        exchange_id exchange{};
        http_response_head head;
        std::string body;
        memory_charge charge; // for the body
        std::optional<server_load_sample> load;
        time_point sent_at;
        bool forwarded = false; // to another instance, named by `server`
    };

    struct pending_probe {
        std::string server;
        std::string request_id;
        exchange_id exchange{};
        std::optional<server_load_sample> load;
        bool alive = false;
        probe_failure failure = probe_failure::no_response;
        scoped_event timeout;
    };

    void execute_all(const request_router::actions& actions);
    void execute(const probe_action& action);
    void execute(const send_action& action);
    void execute(const forward_action& action);
    void execute(const path_action& action);
    void execute(const cancel_action& action);
    void execute(const deliver_action& action);
    void execute(const finish_action& action);
    void execute(const report_action& action);
    void execute(const quarantine_action& action);
    void schedule();

    http_request make_outgoing(incoming_request& incoming) const;
    std::optional<std::string>
    find_response_error(const pending_request& request,
                        const http_response_head& head) const;
    void note_limit(const std::string& server, const http_response_head& head,
                    bool lifts_if_missing);
    void note_server_notices(const std::string& server,
                             const http_response_head& head);
    void note_forwarded_notices(const http_response_head& head);
    void note_leaving(const std::string& server, std::string_view told_by);
    void on_head(attempt_id id, const http_response_head& head);
    void on_body(attempt_id id, std::string_view chunk);
    exchange_events make_attempt_events(attempt_id id);
    bool is_forwarded_by_peer(const incoming_request& incoming,
                              const header_list& headers) const;
    void on_forward_end(attempt_id id);
    void on_end(attempt_id id);
    void on_failed(attempt_id id, const exchange_failure& failure);
    void end_attempt(attempt_id id, const attempt_outcome& result,
                     std::string_view detail);
    void on_probe_head(probe_id id, const http_response_head& head);
    void end_probe(probe_id id);
    void reply(pending_request& request, const verdict& outcome, int status,
               header_list headers, std::string_view body);
    void remove(std::map<call_id, pending_request>::iterator request);

    event_loop& loop_;
    const platform_binding& platform_;
    request_router& router_;
    metrics& metrics_;
    memory_budget& memory_;
    request_log log_;
    connection_pool pool_;
    connection_pool peer_pool_;
    std::string peer_key_;
    std::map<call_id, pending_request> requests_;
    std::map<attempt_id, pending_attempt> attempts_;
    std::map<probe_id, pending_probe> probes_;
    scoped_event timer_;
    time_point last_finished_at_;
    std::uint64_t next_call_ = 1;
    bool stopping_ = false;
};

} // namespace lacewingbeam

#endif
