#include "call_gateway.hpp"

#include "../adapters/event_log.hpp"
#include "answers.hpp"
#include "header_names.hpp"
#include "lacewingbeam/number.hpp"

#include <nlohmann/json.hpp>

namespace lacewingbeam {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_misdirected = 421;

constexpr std::string_view tickets_path = "/.lacewingbeam/tickets";
constexpr unsigned max_tickets = 100;

own_answer make_bad_request(const std::string& problem) {
    const verdict outcome = not_run{not_run_reason::bad_request};
    auto answer = make_error(outcome, duration::zero());
    auto body = nlohmann::json::parse(answer.body);
    body["detail"] = problem;
    answer.body = body.dump() + "\n";
    return answer;
}

unsigned read_ticket_count(std::string_view target) {
    constexpr std::string_view parameter = "?count=";
    const auto found = target.find(parameter);
    if (found == std::string_view::npos) {
        return 1;
    }
    return to_number<unsigned>(target.substr(found + parameter.size()))
        .value_or(0);
}

} // namespace

call_gateway::call_gateway(event_loop& loop, connection_pool& pool,
                           coordinator& decisions, metrics& counts,
                           trace_recorder& traces, gateway_options options)
    : loop_(loop), pool_(pool), decisions_(decisions), counts_(counts),
      traces_(traces), options_(std::move(options)) {}

void call_gateway::decide(coordinator::actions actions) {
    if (!actions.empty()) {
        decided.emit(actions);
    }
}

void call_gateway::on_request(std::shared_ptr<incoming_request> incoming) {
    if (incoming->target().starts_with(tickets_path)) {
        answer_tickets(*incoming);
        return;
    }
    auto read = read_call_request(*incoming, options_.key);
    if (const auto* bad = std::get_if<bad_call>(&read)) {
        const auto answer = make_bad_request(bad->problem);
        incoming->reply(answer.status, answer.headers, answer.body);
        return;
    }
    auto& request = std::get<call_request>(read);
    if (request.forwarded_to && *request.forwarded_to != decisions_.own().id) {
        incoming->reply(status_misdirected,
                        {{std::string(header::wrong_owner), "1"}}, {});
        return;
    }
    begin_call(std::move(incoming), std::move(request));
}

void call_gateway::answer_tickets(incoming_request& incoming) {
    const auto count = read_ticket_count(incoming.target());
    if (incoming.method() != EVHTTP_REQ_POST || count == 0 ||
        count > max_tickets) {
        const auto answer =
            make_bad_request("tickets are had by POST with count from 1 to " +
                             std::to_string(max_tickets));
        incoming.reply(answer.status, answer.headers, answer.body);
        return;
    }
    auto list = nlohmann::json::array();
    for (unsigned i = 0; i < count; ++i) {
        const auto ticket = decisions_.mint_ticket(loop_.now());
        if (!ticket) {
            const auto answer =
                make_error(not_run{not_run_reason::instance_stopping},
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
    watch_caller(id, *incoming);
    active_call call;
    call.incoming = std::move(incoming);
    call.arrived = loop_.now();
    call.trace = traces_.begin(request.parent);
    call.request = std::move(request);
    const auto arriving = call.request.arriving;
    calls_.emplace(id, std::move(call));
    decide(decisions_.on_call(arriving, loop_.now()));
}

void call_gateway::watch_caller(call_id id, incoming_request& incoming) {
    incoming.disconnected.connect([this, id] {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        // The object is inside its own signal; it goes a little later.
        const auto leaving = std::move(found->second.incoming);
        loop_.defer([leaving] {});
        found->second.incoming.reset();
        resume_delivery(found->second);
        decide(decisions_.on_caller_gone(id, loop_.now()));
    });
    incoming.drained.connect([this, id] {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        if (found->second.forward) {
            pool_.resume(*found->second.forward);
        } else {
            resume_delivery(found->second);
        }
    });
}

void call_gateway::resume_delivery(const active_call& call) {
    if (!call.delivering) {
        return;
    }
    const auto attempt = attempts_.find(*call.delivering);
    if (attempt != attempts_.end()) {
        pool_.resume(attempt->second.exchange);
    }
}

http_request call_gateway::make_request(const active_call& call,
                                        const start_attempt& order,
                                        const trace_context& trace) const {
    auto request = call.request.outgoing;
    const auto ms =
        std::chrono::ceil<std::chrono::milliseconds>(order.time_left).count();
    request.headers.push_back(
        {std::string(header::timeout_ms), std::to_string(ms)});
    request.headers.push_back(
        {std::string(header::traceparent), to_traceparent(trace)});
    return request;
}

void call_gateway::run(const start_attempt& order) {
    const auto found = calls_.find(order.call);
    if (found == calls_.end()) {
        return;
    }
    active_attempt attempt;
    attempt.call = order.call;
    attempt.server = order.server;
    attempt.trace = traces_.begin(found->second.trace);
    attempt.started = loop_.now();
    attempt.recording = order.record_answer;
    const auto request = make_request(found->second, order, attempt.trace);
    const exchange_limits limits{order.connections,
                                 order.idempotent ? duration::max()
                                                  : options_.proven_alive};
    auto& kept = attempts_[order.attempt];
    kept = std::move(attempt);
    kept.exchange =
        pool_.start(order.address, request, limits, make_events(order.attempt));
}

void call_gateway::run(const cancel_attempt& order) {
    const auto found = attempts_.find(order.attempt);
    if (found == attempts_.end()) {
        return;
    }
    if (!found->second.ended) {
        pool_.cancel(found->second.exchange);
        counts_.count_attempt(found->second.server.service, "cancelled");
    }
    attempts_.erase(found);
}

void call_gateway::run(const deliver_answer& order) {
    const auto found = calls_.find(order.call);
    const auto attempt = attempts_.find(order.attempt);
    if (found == calls_.end() || attempt == attempts_.end()) {
        return;
    }
    auto& call = found->second;
    call.delivering = order.attempt;
    if (attempt->second.ended) {
        return; // sent at once when the call completes
    }
    attempt->second.passing = true;
    start_passing(call, attempt->second.head);
    const auto spooled = std::move(attempt->second.spooled);
    attempt->second.spooled.clear();
    pass_on(call, attempt->second.exchange, spooled);
}

header_list call_gateway::answer_headers(const active_call& call,
                                         const http_response_head& head) const {
    header_list headers;
    for (const auto& field : head.headers) {
        if (!is_inner_field(field.name)) {
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
        const auto ticket = decisions_.mint_ticket(loop_.now());
        if (ticket) {
            headers.push_back({std::string(header::next_ticket), *ticket});
        }
    }
    return headers;
}

void call_gateway::start_passing(active_call& call,
                                 const http_response_head& head) {
    if (!call.incoming) {
        return;
    }
    auto headers = answer_headers(call, head);
    if (head.content_length &&
        call.request.outgoing.method != EVHTTP_REQ_HEAD) {
        headers.push_back(
            {"Content-Length", std::to_string(*head.content_length)});
    }
    call.incoming->start(head.status, headers);
}

void call_gateway::pass_on(active_call& call, exchange_id source,
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
    const auto attempt =
        call.delivering ? attempts_.find(*call.delivering) : attempts_.end();
    if (attempt == attempts_.end()) {
        call.incoming->abort();
        return;
    }
    call.incoming->reply(attempt->second.head.status,
                         answer_headers(call, attempt->second.head),
                         attempt->second.spooled);
}

void call_gateway::finish_with_error(active_call& call,
                                     const finish_call& order) {
    if (call.incoming->is_started()) {
        log_event(event_number::answer_broken_off,
                  {{"service", call.request.arriving.service},
                   {"reason", std::string(reason_name(order.outcome))}});
        call.incoming->abort();
        return;
    }
    auto answer = make_error(order.outcome, order.retry_after);
    if (call.request.wants_ticket) {
        const auto ticket = decisions_.mint_ticket(loop_.now());
        if (ticket) {
            answer.headers.push_back(
                {std::string(header::next_ticket), *ticket});
        }
    }
    call.incoming->reply(answer.status, answer.headers, answer.body);
}

void call_gateway::run(const finish_call& order) {
    const auto found = calls_.find(order.call);
    if (found == calls_.end()) {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    if (call.forward) {
        pool_.cancel(*call.forward);
    }
    const auto& service = call.request.arriving.service;
    const bool known = decisions_.table().find_service(service) != nullptr;
    counts_.count_call(known ? service : "unknown", order.outcome,
                       loop_.now() - call.arrived);
    record_span(call, order.outcome);
    if (std::holds_alternative<may_have_run>(order.outcome)) {
        log_event(event_number::call_may_have_run,
                  {{"service", service},
                   {"reason", std::string(reason_name(order.outcome))},
                   {"trace", call.trace.trace_id}});
    }
    if (!call.incoming) {
        return;
    }
    if (std::holds_alternative<completed>(order.outcome)) {
        finish_completed(call);
    } else {
        finish_with_error(call, order);
    }
    loop_.defer([kept = call.incoming] {});
}

void call_gateway::run(const replay_answer& order) {
    const auto found = calls_.find(order.call);
    if (found == calls_.end()) {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    counts_.count_call(call.request.arriving.service, completed{},
                       loop_.now() - call.arrived);
    record_span(call, completed{});
    if (!call.incoming) {
        return;
    }
    http_response_head head;
    head.status = order.answer.status;
    head.headers = order.answer.headers;
    call.incoming->reply(head.status, answer_headers(call, head),
                         order.answer.body);
    loop_.defer([kept = call.incoming] {});
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
