#include "adapters/forward_token.hpp"
#include "adapters/header_names.hpp"
#include "call_gateway.hpp"

// Forwarding of calls to other instances by call_gateway.
namespace lacewingbeam {

namespace {

// Connections to one peer. Few calls are forwarded at a time.
constexpr std::size_t max_peer_connections = 64;

} // namespace

void call_gateway::execute(const forward_call& command) {
    const auto found = calls_.find(command.call);
    if (found == calls_.end()) {
        return;
    }
    auto& call = found->second;
    http_request request;
    request.method = call.request.outgoing.method;
    request.target = call.request.target;
    request.body = call.request.outgoing.body;
    for (const auto& field : call.request.headers) {
        if (!is_hop_by_hop(field.name) &&
            !equal_ignoring_case(field.name, header::traceparent) &&
            !equal_ignoring_case(field.name, header::timeout_ms)) {
            request.headers.push_back(field);
        }
    }
    const auto ms =
        std::chrono::ceil<std::chrono::milliseconds>(command.time_left).count();
    request.headers.push_back(
        {std::string(header::timeout_ms), std::to_string(ms)});
    request.headers.push_back(
        {std::string(header::traceparent), to_traceparent(call.trace)});
    request.headers.push_back(
        {std::string(header::forwarded),
         make_forward_token(command.owner, call.request.target, options_.key)});
    const auto id = command.call;
    exchange_events events;
    events.head = [this, id](const http_response_head& head) {
        on_forward_head(id, head);
    };
    events.body = [this, id](std::string_view piece) {
        const auto active = calls_.find(id);
        if (active != calls_.end() && !active->second.forward_refused) {
            relay_body(active->second, *active->second.forward_exchange, piece);
        }
    };
    events.end = [this, id] {
        on_forward_end(id, forward_completed{});
    };
    events.failed = [this, id](const exchange_failure& failure) {
        if (failure.bytes_sent) {
            on_forward_end(id, forward_lost{});
        } else {
            on_forward_end(id, forward_unreachable{});
        }
    };
    const exchange_limits limits{max_peer_connections, options_.proven_alive};
    call.forward_exchange =
        pool_.start(command.caller_address, request, limits, std::move(events));
}

void call_gateway::on_forward_head(call_id id, const http_response_head& head) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    auto& call = found->second;
    if (find_header(head.headers, header::wrong_owner)) {
        call.forward_refused = true;
        return;
    }
    if (!call.incoming) {
        return;
    }
    // The owner's response is relayed unchanged, including its verdict and
    // ticket.
    header_list headers;
    for (const auto& field : head.headers) {
        if (!is_hop_by_hop(field.name)) {
            headers.push_back(field);
        }
    }
    if (head.content_length &&
        call.request.outgoing.method != EVHTTP_REQ_HEAD) {
        headers.push_back(
            {"Content-Length", std::to_string(*head.content_length)});
    }
    call.incoming->start(head.status, headers);
}

void call_gateway::on_forward_end(call_id id, const forward_result& result) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    found->second.forward_exchange.reset();
    const forward_result effective_result =
        found->second.forward_refused ? forward_result{forward_refused{}}
                                      : result;
    emit_actions(
        coordinator_.on_forward_ended(id, effective_result, loop_.now()));
}

} // namespace lacewingbeam
