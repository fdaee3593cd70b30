#include "request_gateway.hpp"

// The backend servers' side: attempts and probes.
namespace lacewingbeam {

namespace {

constexpr int first_failure = 400;
constexpr int first_server_error = 500;
constexpr int status_ok = 200;
constexpr int first_redirect = 300;
constexpr int status_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

// Answers are handed on whole, so that one that breaks off can be fetched
// from another backend server.
constexpr std::size_t max_answer_bytes = 8U << 20U;

// A request that must not be sent twice goes only over connections that have
// answered lately: servers close idle ones without notice.
constexpr duration proven_alive = std::chrono::milliseconds(1000);
constexpr duration proven_alive_repeatable = std::chrono::seconds(7);

attempt_outcome result_of(const exchange_failure& failure) {
    if (const auto lost = to_may_have_run_reason(failure)) {
        return attempt_unknown{*lost};
    }
    return attempt_not_run{not_run_reason::connect_failed};
}

struct detail_visitor {
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

// Statuses that promise that a request did not run.
bool is_promise(int status) {
    return status == status_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

} // namespace

void request_gateway::run(const send_action& order) {
    const auto found = requests_.find(order.call);
    if (found == requests_.end()) {
        return;
    }
    const auto now = loop_.now();
    auto& held = found->second;
    held.service = order.service;
    auto request = held.outgoing;
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(order.time_left);
    request.headers.push_back(
        {platform_.headers.time_left_ms, std::to_string(ms.count())});
    request.headers.push_back(
        {platform_.headers.expected_server, order.server});
    log_.write(event_number::request_placed,
               {{"id", held.id},
                {"service", order.service},
                {"server", order.server},
                {"hedge", order.hedge ? "yes" : "no"},
                {"expected_ms", decimal_text(order.expected_ms)},
                {"running", std::to_string(order.load.running)},
                {"waiting", std::to_string(order.load.waiting)},
                {"slowness", decimal_text(order.load.slowness)},
                {"load_age_ms", age_text(order.load_age)},
                {"candidates", std::to_string(order.candidates)},
                {"left_ms", std::to_string(ms.count())}},
               now);
    auto& attempt = attempts_[order.attempt];
    attempt.call = order.call;
    attempt.server = order.server;
    attempt.service = order.service;
    attempt.sent_at = now;
    const auto id = order.attempt;
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
    attempt.exchange =
        pool_.start(order.address, request,
                    {order.max_connections,
                     order.repeatable ? proven_alive_repeatable : proven_alive},
                    std::move(events));
}

void request_gateway::run(const cancel_action& order) {
    const auto found = attempts_.find(order.attempt);
    if (found == attempts_.end()) {
        return;
    }
    pool_.cancel(found->second.exchange);
    counts_.count_attempt(found->second.service, "cancelled");
    attempts_.erase(found);
}

// What shows that the bytes are not this request's answer.
std::optional<std::string>
request_gateway::find_fault(const held_request& request,
                            const http_response_head& head) const {
    const auto echoed = find_header(head.headers, platform_.headers.request_id);
    if (echoed && *echoed != request.id) {
        return "answer to another request";
    }
    const bool good = head.status >= status_ok && head.status < first_redirect;
    if (!good) {
        return std::nullopt;
    }
    if (!echoed) {
        return "answer without request id";
    }
    if (!find_header(head.headers, platform_.headers.signature)) {
        return "success without signature";
    }
    if (find_header(head.headers, "Content-Encoding")) {
        return "body in an encoding nobody asked for";
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
    if (const auto fault = find_fault(request->second, head)) {
        pool_.cancel(attempt.exchange);
        end_attempt(id, attempt_unknown{may_have_run_reason::answer_malformed},
                    *fault);
        return;
    }
    attempt.head = head;
    const auto text = find_header(head.headers, platform_.headers.load);
    const auto load =
        text ? platform_.read_load(*text) : std::optional<server_load_sample>();
    if (load) {
        attempt.load = load;
    }
}

void request_gateway::on_body(attempt_id id, std::string_view piece) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto& body = found->second.body;
    if (body.size() + piece.size() > max_answer_bytes) {
        pool_.cancel(found->second.exchange);
        end_attempt(id, attempt_unknown{may_have_run_reason::answer_malformed},
                    "answer is too large");
        return;
    }
    body += piece;
}

void request_gateway::on_end(attempt_id id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const auto& head = found->second.head;
    const bool not_run =
        find_header(head.headers, platform_.headers.not_run).has_value() ||
        head.status == status_misdirected;
    if (not_run) {
        const auto reason = head.status == status_misdirected
                                ? not_run_reason::draining
                                : not_run_reason::shed;
        end_attempt(id, attempt_not_run{reason},
                    "status " + std::to_string(head.status));
        return;
    }
    if (is_promise(head.status)) {
        // It ran, so the status must not reach the caller.
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
        end_attempt(id, result_of(failure),
                    failure.bytes_sent ? "sent" : "not sent");
    }
}

void request_gateway::end_attempt(attempt_id id, const attempt_outcome& result,
                                  std::string_view detail) {
    const auto& attempt = attempts_.at(id);
    const auto name = std::visit(detail_visitor{}, result);
    const auto now = loop_.now();
    const bool good = std::holds_alternative<attempt_answered>(result) &&
                      attempt.head.status < first_failure;
    counts_.count_attempt(attempt.service, name);
    const auto request = requests_.find(attempt.call);
    if (!good && request != requests_.end()) {
        log_.write(event_number::attempt_failed,
                   {{"id", request->second.id},
                    {"server", attempt.server},
                    {"result", std::string(name)},
                    {"detail", std::string(detail)},
                    {"ms", ms_text(now - attempt.sent_at)}},
                   now);
    }
    const auto server = attempt.server;
    const auto load = attempt.load;
    carry_out(router_.on_attempt_ended(id, result, now));
    attempts_.erase(id);
    if (load) {
        carry_out(router_.on_load(server, *load, now));
    }
}

void request_gateway::run(const probe_action& order) {
    const auto id = order.id;
    counts_.count_probe("all");
    auto& probe = probes_[id];
    probe.server = order.server;
    probe.request_id =
        "probe-" + std::to_string(static_cast<std::uint64_t>(id));
    http_request request;
    request.target = order.path;
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
    event_loop::schedule(probe.timeout, order.timeout);
    probe.exchange = pool_.start(
        order.address, request,
        {order.max_connections, proven_alive_repeatable}, std::move(events));
}

void request_gateway::on_probe_head(probe_id id,
                                    const http_response_head& head) {
    const auto found = probes_.find(id);
    if (found == probes_.end()) {
        return;
    }
    auto& probe = found->second;
    const auto server = find_header(head.headers, platform_.headers.server_id);
    const auto echoed = find_header(head.headers, platform_.headers.request_id);
    const bool own_answer = !echoed || *echoed == probe.request_id;
    if (own_answer && server && *server != probe.server) {
        log_event(event_number::server_replaced,
                  {{"server", probe.server}, {"told", std::string(*server)}});
    }
    if (!own_answer || !server || *server != probe.server) {
        pool_.cancel(probe.exchange);
        loop_.defer([this, id] { end_probe(id); });
        return;
    }
    if (head.status != status_ok) {
        probe.failure = probe_failure::refused;
        return;
    }
    probe.alive = true;
    const auto text = find_header(head.headers, platform_.headers.load);
    if (text) {
        probe.load = platform_.read_load(*text);
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
    // The timer's own callback may be running.
    loop_.defer(
        [kept = std::make_shared<held_probe>(std::move(found->second))] {});
    probes_.erase(found);
    if (alive) {
        carry_out(router_.on_probe_answered(id, load, loop_.now()));
    } else {
        carry_out(router_.on_probe_failed(id, failure, loop_.now()));
    }
}

} // namespace lacewingbeam
