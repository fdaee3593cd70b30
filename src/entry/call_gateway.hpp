#ifndef LACEWINGBEAM_ENTRY_CALL_GATEWAY_HPP
#define LACEWINGBEAM_ENTRY_CALL_GATEWAY_HPP

#include "../adapters/connection_pool.hpp"
#include "../adapters/http_listener.hpp"
#include "../adapters/metrics.hpp"
#include "../adapters/trace_recorder.hpp"
#include "call_request.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <map>
#include <memory>
#include <string>

// Connects HTTP to the coordinator: reports requests from callers and responses
// from backend servers and peers to it, and executes the actions that it
// returns.
namespace lacewingbeam {

struct gateway_options {
    std::string key; // authenticates forward tokens
    std::size_t max_buffered_answer = 262144;
    std::size_t max_recorded_answer = 16384;
    duration proven_alive = std::chrono::seconds(2);
};

// Returns the response to calls that an instance has no memory for.
refusal make_no_memory_refusal();

class call_gateway {
public:
    call_gateway(event_loop& loop, connection_pool& pool, coordinator& coord,
                 metrics& registry, trace_recorder& traces,
                 memory_budget& memory, gateway_options options);

    // Handles a request received on the callers' port.
    void on_request(std::shared_ptr<incoming_request> incoming);

    // Execute the actions of the coordinator that concern calls.
    void execute(const start_attempt& command);
    void execute(const cancel_attempt& command);
    void execute(const deliver_answer& command);
    void execute(const finish_call& command);
    void execute(const forward_call& command);
    void execute(const replay_answer& command);

    // Emitted with the actions returned by the coordinator. The receiver
    // executes them, including those that other components execute.
    sigc::signal<void(coordinator::actions&)> actions_ready;

    std::size_t calls() const { return calls_.size(); }

private:
    struct active_call {
        std::shared_ptr<incoming_request> incoming; // null once disconnected
        call_request request;
        memory_charge charge; // for the body of the request
        time_point arrived;
        trace_context trace;
        std::optional<attempt_id> delivered_attempt;
        std::optional<exchange_id> forward_exchange;
        header_list forward_headers;
        bool forward_refused = false;
    };

    struct active_attempt {
        call_id call{};
        server_key server;
        exchange_id exchange{};
        trace_context trace;
        time_point started;
        http_response_head head;
        std::string buffered_body; // not relayed to the caller yet
        std::string recorded_body;
        bool recording = false;
        bool discarding = false;    // the backend server did not start the work
        bool head_reported = false; // to the coordinator
        bool relaying = false;      // the body is streamed to the caller
        bool ended = false;
    };

    void emit_actions(coordinator::actions actions);
    void serve_tickets(incoming_request& incoming);
    void begin_call(std::shared_ptr<incoming_request> incoming,
                    call_request request);
    void connect_caller_signals(call_id id, incoming_request& incoming);
    void resume_delivery(const active_call& call);
    http_request make_request(const active_call& call,
                              const start_attempt& command,
                              const trace_context& trace) const;
    exchange_events make_events(attempt_id id);
    void on_head(attempt_id id, const http_response_head& head);
    void on_body(attempt_id id, std::string_view piece);
    void on_end(attempt_id id);
    void on_failed(attempt_id id, const exchange_failure& failure);
    void apply_load_report(const active_attempt& attempt);
    void report_head(attempt_id id);
    void end_attempt(attempt_id id, const attempt_result& result);
    void relay_body(active_call& call, exchange_id source,
                    std::string_view piece);
    header_list response_headers(const active_call& call,
                                 const http_response_head& head) const;
    void start_response(active_call& call, const http_response_head& head);
    void finish_completed(active_call& call);
    void finish_with_error(active_call& call, const finish_call& command);
    void on_forward_head(call_id id, const http_response_head& head);
    void on_forward_end(call_id id, const forward_result& result);
    void record_span(const active_call& call, const verdict& outcome);
    void record_span(const active_attempt& attempt, std::string outcome);

    event_loop& loop_;
    connection_pool& pool_;
    coordinator& coordinator_;
    metrics& metrics_;
    trace_recorder& traces_;
    memory_budget& memory_;
    gateway_options options_;
    std::uint64_t next_call_ = 1;
    std::map<call_id, active_call> calls_;
    std::map<attempt_id, active_attempt> attempts_;
};

} // namespace lacewingbeam

#endif
