#ifndef LACEWINGBEAM_ROUTER_ACTIONS_HPP
#define LACEWINGBEAM_ROUTER_ACTIONS_HPP

#include "core.hpp"
#include "expected_time.hpp"
#include "forwarding_peer.hpp"
#include "request_quarantine.hpp"
#include "verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

// What a request router decides and learns: requests, actions and the outcomes
// of attempts.
namespace lacewingbeam {

enum class probe_id : std::uint64_t {};

enum class probe_failure {
    refused,           // the server reported that it accepts no work
    no_response,       // no response in time
    unreachable,       // no connection
    connection_broken, // the connection was lost; a new one may work
};

// The parts of a caller's request that decisions depend on.
struct routed_request {
    call_id id{};
    std::string host;
    std::string path;
    std::optional<duration> caller_time_left;
    request_fingerprint fingerprint = 0;
    bool forwarded = false; // by another instance, whose caller sent it
    std::optional<unsigned> max_attempts = {}; // if less than the route's
};

// Asks a backend server for its load.
struct probe_action {
    probe_id id{};
    std::string server;
    std::string address;
    std::string path;
    unsigned max_connections = 1; // this instance's share of connections
    duration timeout{};
};

// Sends the request to a backend server. Another process that has taken over
// its address must not run it.
struct send_action {
    call_id call{};
    attempt_id attempt{};
    std::string server;
    std::string service;
    std::string address;
    duration time_left{}; // until the response must be complete
    unsigned max_connections = 1;
    bool repeatable = false;
    bool hedge = false;
    // Inputs of the decision, for the log.
    server_load_sample load;
    std::optional<duration> load_age; // empty: no load is known
    double expected_ms = 0;
    std::size_t candidates = 0;
};

// Forwards the request to another instance, because this one has no path to the
// servers. That instance does not forward it again.
struct forward_action {
    call_id call{};
    attempt_id attempt{};
    std::string service;
    forwarding_peer peer;
    duration time_left{};
    unsigned attempts = 1; // that the peer may make
    bool repeatable = false;
    bool path_lost = false; // otherwise only this request could not be sent
};

// The path to the servers of a service, or of all services, was lost or is
// back.
struct path_action {
    std::string service; // empty: all
    bool lost = false;
    std::size_t silent_servers = 0;
    duration lost_for{};
};

// Closes the connection of an attempt that is no longer needed.
struct cancel_action {
    attempt_id attempt{};
};

// Delivers the attempt's response to the caller.
struct deliver_action {
    call_id call{};
    attempt_id attempt{};
};

// Ends the request without a backend server's response.
struct finish_action {
    call_id call{};
    verdict outcome;
    std::optional<duration> retry_after;
};

// Tells a peer what is known against a request.
struct report_action {
    std::string peer;
    suspect_report report;
};

// A request is refused from now on because it crashed servers, or is not any
// more.
struct quarantine_action {
    request_fingerprint request = 0;
    std::size_t losses = 0; // servers that it is believed to have crashed
    std::optional<duration> refused_for;
};

using router_action =
    std::variant<probe_action, send_action, forward_action, path_action,
                 cancel_action, deliver_action, finish_action, report_action,
                 quarantine_action>;

// Outcomes of an attempt.
struct attempt_answered {
    bool server_error = false; // status code of a failed backend server
    double response_kb = 0;    // size of the response body
};
struct attempt_not_run {
    not_run_reason reason{};
};
struct attempt_unknown {
    may_have_run_reason reason{};
    bool closed_by_server = false; // before any part of a response
};
using attempt_outcome =
    std::variant<attempt_answered, attempt_not_run, attempt_unknown>;

} // namespace lacewingbeam

#endif
