#include "request_gateway.hpp"

// The server side of the request gateway: attempts and probes.
namespace lacewingbeam {

namespace {

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr int status_ok = 200;
constexpr int first_redirect = 300;
constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

// Responses are buffered completely before they are forwarded, so that a
// request whose response is truncated can be retried on another backend server.
constexpr std::size_t max_response_bytes = 8U << 20U;

// Servers close idle connections without notice. A request that must not be
// sent twice therefore uses only connections that had a response recently.
constexpr duration max_reuse_age = std::chrono::milliseconds(1000);
constexpr duration max_reuse_age_repeatable = std::chrono::seconds(7);

attempt_outcome to_attempt_outcome(const exchange_failure& failure) {
    if (const auto lost = to_may_have_run_reason(failure)) {
        return attempt_unknown{*lost, failure.problem ==
                                          exchange_problem::connection_lost};
    }
    return attempt_not_run{failure.problem == exchange_problem::pool_exhausted
                               ? not_run_reason::queue_full
                               : not_run_reason::connect_failed};
}

struct outcome_name_visitor {
    std::string_view operator()(const attempt_answered& value) const {
        return value.server_error ? "server_error" : "answered";
    }
    std::string_view operator()(const attempt_not_run& value) const {
        return to_string(value.reason);
    }
    std::string_view operator()(const attempt_unknown& value) const {
        return to_string(value.reason);
    }
};

// Returns true if the status means that the request was not run.
bool implies_not_run(int status) {
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many_requests || status == status_unavailable;
}

} // namespace

void request_gateway::execute(const send_action& action) {
    const auto found = requests_.find(action.call);
    if (found == requests_.end()) {
        return;
    }
    const auto now = loop_.now();
    auto& pending = found->second;
    pending.service = action.service;
    auto request = pending.outgoing;
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(action.time_left);
    request.headers.push_back(
        {platform_.headers.time_left_ms, std::to_string(ms.count())});
    request.headers.push_back(
        {platform_.headers.expected_server, action.server});
    log_.write(event_number::request_placed,
               {{"id", pending.id},
                {"service", action.service},
                {"server", action.server},
                {"hedge", action.hedge ? "yes" : "no"},
                {"expected_ms", decimal_text(action.expected_ms)},
                {"running", std::to_string(action.load.running)},
                {"waiting", std::to_string(action.load.waiting)},
                {"slowness", decimal_text(action.load.slowness)},
                {"load_age_ms", age_text(action.load_age)},
                {"candidates", std::to_string(action.candidates)},
                {"left_ms", std::to_string(ms.count())}},
               now);
    auto& attempt = attempts_[action.attempt];
    attempt.call = action.call;
    attempt.server = action.server;
    attempt.service = action.service;
    attempt.sent_at = now;
    attempt.charge = memory_charge(memory_);
    attempt.pool = &pool_;
    attempt.exchange = pool_.start(
        action.address, request,
        {action.max_connections,
         action.repeatable ? max_reuse_age_repeatable : max_reuse_age},
        make_attempt_events(action.attempt));
}

exchange_events request_gateway::make_attempt_events(attempt_id id) {
    exchange_events events;
    events.head = [this, id](const http_response_head& head) {
        on_head(id, head);
    };
    events.body = [this, id](std::string_view chunk) {
        on_body(id, chunk);
    };
    events.end = [this, id] {
        on_end(id);
    };
    events.failed = [this, id](const exchange_failure& failure) {
        on_failed(id, failure);
    };
    return events;
}

void request_gateway::execute(const cancel_action& action) {
    const auto found = attempts_.find(action.attempt);
    if (found == attempts_.end()) {
        return;
    }
    found->second.pool->cancel(found->second.exchange);
    metrics_.count_attempt(found->second.service, "cancelled");
    attempts_.erase(found);
}

// Returns why the response cannot be the one to this request, or nullopt.
std::optional<std::string>
request_gateway::find_response_error(const pending_request& request,
                                     const http_response_head& head) const {
    const auto echoed_id =
        find_header(head.headers, platform_.headers.request_id);
    if (echoed_id && *echoed_id != request.id) {
        return "response to another request";
    }
    const bool success =
        head.status >= status_ok && head.status < first_redirect;
    if (!success) {
        return std::nullopt;
    }
    if (!echoed_id) {
        return "response without request ID";
    }
    if (!find_header(head.headers, platform_.headers.signature)) {
        return "successful response without signature";
    }
    if (find_header(head.headers, "Content-Encoding")) {
        return "unrequested content encoding";
    }
    return std::nullopt;
}

void request_gateway::on_head(attempt_id id, const http_response_head& head) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto& attempt = found->second;
    const auto request = requests_.find(attempt.call);
    if (request == requests_.end()) {
        return;
    }
    if (const auto response_error =
            find_response_error(request->second, head)) {
        attempt.pool->cancel(attempt.exchange);
        end_attempt(id, attempt_unknown{may_have_run_reason::answer_malformed},
                    *response_error);
        return;
    }
    attempt.head = head;
    if (attempt.forwarded) {
        note_forwarded_notices(head);
        return;
    }
    note_server_notices(attempt.server, head);
    const auto text = find_header(head.headers, platform_.headers.load);
    const auto load = text ? platform_.parse_load(*text)
                           : std::optional<server_load_sample>();
    if (load) {
        attempt.load = load;
    }
    const bool success =
        head.status >= status_ok && head.status < first_redirect;
    note_limit(attempt.server, head, success);
}

void request_gateway::on_body(attempt_id id, std::string_view chunk) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto& body = found->second.body;
    if (body.size() + chunk.size() > max_response_bytes) {
        found->second.pool->cancel(found->second.exchange);
        end_attempt(id, attempt_unknown{may_have_run_reason::answer_malformed},
                    "response is too large");
        return;
    }
    body += chunk;
    found->second.charge.set(body.size());
    if (!memory_.make_room(0)) {
        found->second.pool->cancel(found->second.exchange);
        end_attempt(id, attempt_unknown{may_have_run_reason::answer_malformed},
                    "no memory for the response");
    }
}

void request_gateway::on_end(attempt_id id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    if (found->second.forwarded) {
        on_forward_end(id);
        return;
    }
    const auto& head = found->second.head;
    // Without the request's ID, it may be an earlier refusal sent once more.
    const bool is_own =
        find_header(head.headers, platform_.headers.request_id).has_value();
    const bool not_run =
        is_own &&
        (find_header(head.headers, platform_.headers.not_run).has_value() ||
         head.status == status_misdirected);
    if (not_run) {
        const auto reason = head.status == status_misdirected
                                ? not_run_reason::draining
                                : not_run_reason::shed;
        end_attempt(id, attempt_not_run{reason},
                    "status " + std::to_string(head.status));
        return;
    }
    if (implies_not_run(head.status)) {
        // Without the `not_run` header, the request may have run. The status is
        // not forwarded, because it would tell the caller that it did not.
        end_attempt(id, attempt_unknown{may_have_run_reason::connection_lost},
                    "status " + std::to_string(head.status));
        return;
    }
    constexpr double bytes_per_kb = 1000;
    end_attempt(
        id,
        attempt_answered{head.status >= first_server_error,
                         static_cast<double>(found->second.body.size()) /
                             bytes_per_kb},
        "status " + std::to_string(head.status));
}

void request_gateway::on_failed(attempt_id id,
                                const exchange_failure& failure) {
    if (attempts_.contains(id)) {
        end_attempt(id, to_attempt_outcome(failure),
                    failure.bytes_sent ? "sent" : "not sent");
    }
}

void request_gateway::end_attempt(attempt_id id, const attempt_outcome& result,
                                  std::string_view detail) {
    const auto& attempt = attempts_.at(id);
    const auto name = std::visit(outcome_name_visitor{}, result);
    const auto now = loop_.now();
    const bool success = std::holds_alternative<attempt_answered>(result) &&
                         attempt.head.status < first_client_error;
    metrics_.count_attempt(attempt.service, name);
    const auto request = requests_.find(attempt.call);
    if (!success && request != requests_.end()) {
        log_.write(
            event_number::attempt_failed,
            {{"id", request->second.id},
             {"server", attempt.server},
             {"result", std::string(name)},
             {"detail", std::string(detail)},
             {"fingerprint", fingerprint_text(request->second.fingerprint)},
             {"losses", std::to_string(router_.quarantine().losses(
                            request->second.fingerprint))},
             {"ms", ms_text(now - attempt.sent_at)}},
            now);
    }
    const auto server = attempt.server;
    const auto load = attempt.load;
    execute_all(router_.on_attempt_ended(id, result, now));
    attempts_.erase(id);
    if (load) {
        execute_all(router_.on_load(server, *load, now));
    }
}

void request_gateway::execute(const probe_action& action) {
    const auto id = action.id;
    metrics_.count_probe("all");
    auto& probe = probes_[id];
    probe.server = action.server;
    probe.request_id =
        "probe-" + std::to_string(static_cast<std::uint64_t>(id));
    http_request request;
    request.target = action.path;
    request.headers.push_back({platform_.headers.request_id, probe.request_id});
    exchange_events events;
    events.head = [this, id](const http_response_head& head) {
        on_probe_head(id, head);
    };
    events.body = [](std::string_view) {
    };
    events.end = [this, id] {
        end_probe(id);
    };
    events.failed = [this, id](const exchange_failure& failure) {
        const auto found = probes_.find(id);
        if (found != probes_.end() && failure.bytes_sent) {
            found->second.failure = probe_failure::connection_broken;
        } else if (found != probes_.end() &&
                   failure.problem != exchange_problem::pool_exhausted) {
            found->second.failure = probe_failure::unreachable;
        }
        end_probe(id);
    };
    probe.timeout = loop_.make_timer([this, id] {
        const auto found = probes_.find(id);
        if (found != probes_.end()) {
            pool_.cancel(found->second.exchange);
            end_probe(id);
        }
    });
    event_loop::schedule(probe.timeout, action.timeout);
    probe.exchange = pool_.start(
        action.address, request,
        {action.max_connections, max_reuse_age_repeatable}, std::move(events));
}

void request_gateway::on_probe_head(probe_id id,
                                    const http_response_head& head) {
    const auto found = probes_.find(id);
    if (found == probes_.end()) {
        return;
    }
    auto& probe = found->second;
    const auto server = find_header(head.headers, platform_.headers.server_id);
    const auto echoed_id =
        find_header(head.headers, platform_.headers.request_id);
    const bool own_response = !echoed_id || *echoed_id == probe.request_id;
    if (own_response && server && *server != probe.server) {
        log_event(event_number::server_replaced,
                  {{"server", probe.server}, {"told", std::string(*server)}});
    }
    if (!own_response || !server || *server != probe.server) {
        pool_.cancel(probe.exchange);
        loop_.defer([this, id] { end_probe(id); });
        return;
    }
    note_limit(probe.server, head, false);
    note_server_notices(probe.server, head);
    if (head.status != status_ok) {
        probe.failure = probe_failure::refused;
        return;
    }
    probe.alive = true;
    const auto text = find_header(head.headers, platform_.headers.load);
    if (text) {
        probe.load = platform_.parse_load(*text);
    }
}

void request_gateway::end_probe(probe_id id) {
    const auto found = probes_.find(id);
    if (found == probes_.end()) {
        return;
    }
    const auto load = found->second.load;
    const auto failure = found->second.failure;
    const bool alive = found->second.alive;
    // Deferred because the timer's callback may be running.
    loop_.defer(
        [kept = std::make_shared<pending_probe>(std::move(found->second))] {});
    probes_.erase(found);
    if (alive) {
        execute_all(router_.on_probe_answered(id, load, loop_.now()));
    } else {
        execute_all(router_.on_probe_failed(id, failure, loop_.now()));
    }
}

} // namespace lacewingbeam
