#include "adapters/header_names.hpp"
#include "answers.hpp"
#include "call_gateway.hpp"
#include "load_report.hpp"

// Attempts of call_gateway at backend servers.
namespace lacewingbeam {

namespace {

constexpr int min_server_error_status = 500;

// Responses up to this size are buffered and relayed only when complete. If the
// connection breaks before, the call can still be retried on another backend
// server, because the caller has received nothing yet.
constexpr std::size_t buffer_limit_bytes = 16384;

attempt_result to_attempt_result(const exchange_failure& failure) {
    if (const auto lost = to_may_have_run_reason(failure)) {
        return attempt_lost{*lost};
    }
    return attempt_refused{not_run_reason::connect_failed};
}

std::string_view result_name(const attempt_result& result) {
    if (std::holds_alternative<attempt_completed>(result)) {
        return "completed";
    }
    return std::holds_alternative<attempt_refused>(result) ? "refused" : "lost";
}

// Returns the reason if the response states that the backend server did not
// start the work.
std::optional<not_run_reason>
parse_not_run_reason(const http_response_head& head) {
    const auto text = find_header(head.headers, header::not_run);
    if (!text) {
        return std::nullopt;
    }
    if (*text == "shed") {
        return not_run_reason::shed;
    }
    if (*text == "draining") {
        return not_run_reason::draining;
    }
    if (*text == "cancelled") {
        return not_run_reason::cancelled_before_start;
    }
    return std::nullopt;
}

} // namespace

void call_gateway::on_head(attempt_id id, const http_response_head& head) {
    auto& attempt = attempts_.at(id);
    attempt.head = head;
    apply_load_report(attempt);
    const auto refusal = parse_not_run_reason(head);
    if (refusal) {
        attempt.discarding = true;
        end_attempt(id, attempt_refused{*refusal});
        return;
    }
    const auto& call = calls_.at(attempt.call);
    const auto* service =
        coordinator_.table().find_service(call.request.arriving.service);
    const bool is_long =
        service != nullptr && service->length_of(call.request.arriving.method,
                                                 call.request.arriving.path) ==
                                  work_length::long_work;
    const bool large =
        head.content_length && *head.content_length > buffer_limit_bytes;
    if (is_long || large) {
        report_head(id);
    }
}

void call_gateway::on_body(attempt_id id, std::string_view piece) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || found->second.discarding) {
        return;
    }
    auto& attempt = found->second;
    if (attempt.recording) {
        const bool fits = attempt.recorded_body.size() + piece.size() <=
                          options_.max_recorded_answer;
        attempt.recording = fits;
        attempt.recorded_body += fits ? piece : std::string_view();
    }
    if (attempt.relaying) {
        const auto call = calls_.find(attempt.call);
        if (call != calls_.end()) {
            relay_body(call->second, attempt.exchange, piece);
        }
        return;
    }
    attempt.buffered_body += piece;
    if (attempt.buffered_body.size() > buffer_limit_bytes &&
        !attempt.head_reported) {
        report_head(id);
    }
}

void call_gateway::on_end(attempt_id id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    found->second.ended = true;
    if (found->second.discarding) {
        attempts_.erase(found);
        return;
    }
    if (!found->second.head_reported) {
        report_head(id);
    }
    end_attempt(id, attempt_completed{});
}

void call_gateway::on_failed(attempt_id id, const exchange_failure& failure) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    if (found->second.discarding) {
        attempts_.erase(found);
        return;
    }
    found->second.ended = true;
    end_attempt(id, to_attempt_result(failure));
}

void call_gateway::report_head(attempt_id id) {
    auto& attempt = attempts_.at(id);
    attempt.head_reported = true;
    const bool server_error = attempt.head.status >= min_server_error_status;
    emit_actions(coordinator_.on_head(id, server_error, loop_.now()));
}

void call_gateway::end_attempt(attempt_id id, const attempt_result& result) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return; // cancelled while the head was being reported
    }
    auto& attempt = found->second;
    metrics_.count_attempt(attempt.server.service, result_name(result));
    record_span(attempt, std::string(result_name(result)));
    std::optional<recorded_answer> answer;
    const bool complete = std::holds_alternative<attempt_completed>(result);
    if (complete && attempt.recording) {
        answer =
            recorded_answer{attempt.head.status, {}, attempt.recorded_body};
        for (const auto& field : attempt.head.headers) {
            if (!is_internal_field(field.name)) {
                answer->headers.push_back(field);
            }
        }
    }
    emit_actions(coordinator_.on_attempt_ended(id, result, std::move(answer),
                                               loop_.now()));
    const auto remaining = attempts_.find(id);
    if (remaining != attempts_.end() && !remaining->second.discarding) {
        attempts_.erase(remaining);
    }
}

void call_gateway::apply_load_report(const active_attempt& attempt) {
    const auto text = find_header(attempt.head.headers, header::load_metrics);
    const auto report =
        text ? parse_load_header(*text) : std::optional<load_report>();
    const bool draining =
        find_header(attempt.head.headers, header::draining).has_value();
    if (report || draining) {
        coordinator_.on_report(attempt.server, report.value_or(load_report{}),
                               draining, loop_.now());
    }
}

exchange_events call_gateway::make_events(attempt_id id) {
    exchange_events events;
    events.head = [this, id](const http_response_head& head) {
        on_head(id, head);
    };
    events.body = [this, id](std::string_view piece) {
        on_body(id, piece);
    };
    events.end = [this, id] {
        on_end(id);
    };
    events.failed = [this, id](const exchange_failure& failure) {
        on_failed(id, failure);
    };
    return events;
}

} // namespace lacewingbeam
