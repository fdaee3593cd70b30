#include "call_gateway.hpp"

#include "../adapters/event_log.hpp"
#include "adapters/header_names.hpp"
#include "answers.hpp"
#include "lacewingbeam/number.hpp"

#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

constexpr duration no_memory_retry_after = std::chrono::seconds(1);

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_misdirected = 421;

constexpr std::string_view tickets_path = "/.lacewingbeam/tickets";
constexpr unsigned max_tickets_per_request = 100;

local_response make_bad_request(const std::string& problem) {
    const verdict outcome = not_run{not_run_reason::bad_request};
    auto answer = make_error_response(outcome, duration::zero());
    auto body = nlohmann::json::parse(answer.body);
    body["detail"] = problem;
    answer.body = body.dump() + "\n";
    return answer;
}

unsigned parse_ticket_count(std::string_view target) {
    constexpr std::string_view parameter = "?count=";
    const auto found = target.find(parameter);
    if (found == std::string_view::npos) {
        return 1;
    }
    return to_number<unsigned>(target.substr(found + parameter.size()))
        .value_or(0);
}

} // namespace

refusal make_no_memory_refusal() {
    const auto answer = make_error_response(not_run{not_run_reason::queue_full},
                                            no_memory_retry_after);
    return {answer.status, answer.headers, answer.body};
}

call_gateway::call_gateway(event_loop& loop, connection_pool& pool,
                           coordinator& coord, metrics& registry,
                           trace_recorder& traces, memory_budget& memory,
                           gateway_options options)
    : loop_(loop), pool_(pool), coordinator_(coord), metrics_(registry),
      traces_(traces), memory_(memory), options_(std::move(options)) {}

void call_gateway::emit_actions(coordinator::actions actions) {
    if (!actions.empty()) {
        actions_ready.emit(actions);
    }
}

void call_gateway::on_request(std::shared_ptr<incoming_request> incoming) {
    if (incoming->target().starts_with(tickets_path)) {
        serve_tickets(*incoming);
        return;
    }
    auto parsed = parse_call_request(*incoming, options_.key);
    if (const auto* invalid = std::get_if<invalid_request>(&parsed)) {
        const auto answer = make_bad_request(invalid->problem);
        incoming->reply(answer.status, answer.headers, answer.body);
        return;
    }
    auto& request = std::get<call_request>(parsed);
    if (request.forwarded_to &&
        *request.forwarded_to != coordinator_.own().id) {
        incoming->reply(status_misdirected,
                        {{std::string(header::wrong_owner), "1"}}, {});
        return;
    }
    begin_call(std::move(incoming), std::move(request));
}

void call_gateway::serve_tickets(incoming_request& incoming) {
    const auto count = parse_ticket_count(incoming.target());
    if (incoming.method() != EVHTTP_REQ_POST || count == 0 ||
        count > max_tickets_per_request) {
        const auto answer = make_bad_request(
            "tickets are requested by POST with count from 1 to " +
            std::to_string(max_tickets_per_request));
        incoming.reply(answer.status, answer.headers, answer.body);
        return;
    }
    auto list = nlohmann::json::array();
    for (unsigned i = 0; i < count; ++i) {
        const auto ticket = coordinator_.mint_ticket(loop_.now());
        if (!ticket) {
            const auto answer =
                make_error_response(not_run{not_run_reason::instance_stopping},
                                    std::chrono::milliseconds(100));
            incoming.reply(status_unavailable, answer.headers, answer.body);
            return;
        }
        list.push_back(*ticket);
    }
    const nlohmann::json body{{"tickets", std::move(list)}};
    incoming.reply(status_ok, {{"Content-Type", "application/json"}},
                   body.dump() + "\n");
}

void call_gateway::begin_call(std::shared_ptr<incoming_request> incoming,
                              call_request request) {
    const auto id = call_id{next_call_++};
    request.arriving.id = id;
    connect_caller_signals(id, *incoming);
    active_call call;
    call.incoming = std::move(incoming);
    call.arrived = loop_.now();
    call.trace = traces_.begin(request.parent);
    call.request = std::move(request);
    call.charge = memory_charge(memory_);
    call.charge.set(call.request.outgoing.body.size());
    const auto arriving = call.request.arriving;
    calls_.emplace(id, std::move(call));
    emit_actions(coordinator_.on_call(arriving, loop_.now()));
}

void call_gateway::connect_caller_signals(call_id id,
                                          incoming_request& incoming) {
    incoming.disconnected.connect([this, id] {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        // The request object is emitting this signal, so its release is
        // deferred until the emission has finished.
        const auto closed_request = std::move(found->second.incoming);
        loop_.defer([closed_request] {});
        found->second.incoming.reset();
        resume_delivery(found->second);
        emit_actions(coordinator_.on_caller_gone(id, loop_.now()));
    });
    incoming.drained.connect([this, id] {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        if (found->second.forward_exchange) {
            pool_.resume(*found->second.forward_exchange);
        } else {
            resume_delivery(found->second);
        }
    });
}

void call_gateway::resume_delivery(const active_call& call) {
    if (!call.delivered_attempt) {
        return;
    }
    const auto attempt = attempts_.find(*call.delivered_attempt);
    if (attempt != attempts_.end()) {
        pool_.resume(attempt->second.exchange);
    }
}

http_request call_gateway::make_request(const active_call& call,
                                        const start_attempt& command,
                                        const trace_context& trace) const {
    auto request = call.request.outgoing;
    const auto ms =
        std::chrono::ceil<std::chrono::milliseconds>(command.time_left).count();
    request.headers.push_back(
        {std::string(header::timeout_ms), std::to_string(ms)});
    request.headers.push_back(
        {std::string(header::traceparent), to_traceparent(trace)});
    return request;
}

void call_gateway::execute(const start_attempt& command) {
    const auto found = calls_.find(command.call);
    if (found == calls_.end()) {
        return;
    }
    active_attempt attempt;
    attempt.call = command.call;
    attempt.server = command.server;
    attempt.trace = traces_.begin(found->second.trace);
    attempt.started = loop_.now();
    attempt.recording = command.record_answer;
    const auto request = make_request(found->second, command, attempt.trace);
    const exchange_limits limits{command.connections,
                                 command.idempotent ? duration::max()
                                                    : options_.proven_alive};
    auto& stored = attempts_[command.attempt];
    stored = std::move(attempt);
    stored.exchange = pool_.start(command.address, request, limits,
                                  make_events(command.attempt));
}

void call_gateway::execute(const cancel_attempt& command) {
    const auto found = attempts_.find(command.attempt);
    if (found == attempts_.end()) {
        return;
    }
    if (!found->second.ended) {
        pool_.cancel(found->second.exchange);
        metrics_.count_attempt(found->second.server.service, "cancelled");
    }
    attempts_.erase(found);
}

void call_gateway::execute(const deliver_answer& command) {
    const auto found = calls_.find(command.call);
    const auto attempt = attempts_.find(command.attempt);
    if (found == calls_.end() || attempt == attempts_.end()) {
        return;
    }
    auto& call = found->second;
    call.delivered_attempt = command.attempt;
    if (attempt->second.ended) {
        return; // finish_completed sends the buffered response
    }
    attempt->second.relaying = true;
    start_response(call, attempt->second.head);
    const auto buffered_body = std::move(attempt->second.buffered_body);
    attempt->second.buffered_body.clear();
    relay_body(call, attempt->second.exchange, buffered_body);
}

header_list
call_gateway::response_headers(const active_call& call,
                               const http_response_head& head) const {
    header_list headers;
    for (const auto& field : head.headers) {
        if (!is_internal_field(field.name)) {
            headers.push_back(field);
        }
    }
    const bool is_head = call.request.outgoing.method == EVHTTP_REQ_HEAD;
    const auto length = find_header(head.headers, "Content-Length");
    if (is_head && length) {
        headers.push_back({"Content-Length", std::string(*length)});
    }
    headers.push_back({std::string(header::verdict), "completed"});
    if (call.request.wants_ticket) {
        const auto ticket = coordinator_.mint_ticket(loop_.now());
        if (ticket) {
            headers.push_back({std::string(header::next_ticket), *ticket});
        }
    }
    return headers;
}

void call_gateway::start_response(active_call& call,
                                  const http_response_head& head) {
    if (!call.incoming) {
        return;
    }
    auto headers = response_headers(call, head);
    if (head.content_length &&
        call.request.outgoing.method != EVHTTP_REQ_HEAD) {
        headers.push_back(
            {"Content-Length", std::to_string(*head.content_length)});
    }
    call.incoming->start(head.status, headers);
}

void call_gateway::relay_body(active_call& call, exchange_id source,
                              std::string_view piece) {
    if (!call.incoming) {
        return;
    }
    call.incoming->send(piece);
    if (call.incoming->unsent_bytes() > options_.max_buffered_answer) {
        pool_.pause(source);
    }
}

void call_gateway::finish_completed(active_call& call) {
    if (call.incoming->is_started()) {
        call.incoming->finish();
        return;
    }
    const auto attempt = call.delivered_attempt
                             ? attempts_.find(*call.delivered_attempt)
                             : attempts_.end();
    if (attempt == attempts_.end()) {
        call.incoming->abort();
        return;
    }
    call.incoming->reply(attempt->second.head.status,
                         response_headers(call, attempt->second.head),
                         attempt->second.buffered_body);
}

void call_gateway::finish_with_error(active_call& call,
                                     const finish_call& command) {
    if (call.incoming->is_started()) {
        log_event(event_number::answer_broken_off,
                  {{"service", call.request.arriving.service},
                   {"reason", std::string(reason_name(command.outcome))}});
        call.incoming->abort();
        return;
    }
    auto answer = make_error_response(command.outcome, command.retry_after);
    if (call.request.wants_ticket) {
        const auto ticket = coordinator_.mint_ticket(loop_.now());
        if (ticket) {
            answer.headers.push_back(
                {std::string(header::next_ticket), *ticket});
        }
    }
    call.incoming->reply(answer.status, answer.headers, answer.body);
}

void call_gateway::execute(const finish_call& command) {
    const auto found = calls_.find(command.call);
    if (found == calls_.end()) {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    if (call.forward_exchange) {
        pool_.cancel(*call.forward_exchange);
    }
    const auto& service = call.request.arriving.service;
    const bool known = coordinator_.table().find_service(service) != nullptr;
    metrics_.count_call(known ? service : "unknown", command.outcome,
                        loop_.now() - call.arrived);
    record_span(call, command.outcome);
    if (std::holds_alternative<may_have_run>(command.outcome)) {
        log_event(event_number::call_may_have_run,
                  {{"service", service},
                   {"reason", std::string(reason_name(command.outcome))},
                   {"trace", call.trace.trace_id}});
    }
    if (!call.incoming) {
        return;
    }
    if (std::holds_alternative<completed>(command.outcome)) {
        finish_completed(call);
    } else {
        finish_with_error(call, command);
    }
    // Deferred because a callback of the incoming request may be running.
    loop_.defer([stored = call.incoming] {});
}

void call_gateway::execute(const replay_answer& command) {
    const auto found = calls_.find(command.call);
    if (found == calls_.end()) {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    metrics_.count_call(call.request.arriving.service, completed{},
                        loop_.now() - call.arrived);
    record_span(call, completed{});
    if (!call.incoming) {
        return;
    }
    http_response_head head;
    head.status = command.answer.status;
    head.headers = command.answer.headers;
    call.incoming->reply(head.status, response_headers(call, head),
                         command.answer.body);
    // Deferred because a callback of the incoming request may be running.
    loop_.defer([stored = call.incoming] {});
}

void call_gateway::record_span(const active_call& call,
                               const verdict& outcome) {
    if (!call.trace.sampled) {
        return;
    }
    const auto& parent = call.request.parent;
    traces_.record({call.trace, parent ? parent->span_id : "", "call",
                    call.arrived, loop_.now() - call.arrived,
                    call.request.arriving.service, "", to_string(outcome)});
}

void call_gateway::record_span(const active_attempt& attempt,
                               std::string outcome) {
    if (!attempt.trace.sampled) {
        return;
    }
    const auto call = calls_.find(attempt.call);
    const auto parent =
        call == calls_.end() ? std::string() : call->second.trace.span_id;
    traces_.record({attempt.trace, parent, "attempt", attempt.started,
                    loop_.now() - attempt.started, attempt.server.service,
                    attempt.server.backend_server, std::move(outcome)});
}

} // namespace lacewingbeam
