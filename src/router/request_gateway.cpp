#include "request_gateway.hpp"

#include "adapters/header_names.hpp"
#include "lacewingbeam/number.hpp"

// The caller side of the request gateway: requests and responses, and execution
// of the router's decisions.
namespace lacewingbeam {

namespace {

constexpr std::size_t max_header_bytes = 65536;

constexpr duration no_memory_retry_after = std::chrono::seconds(1);

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

pool_options make_pool_options(const std::string& source_ip,
                               memory_budget& memory) {
    pool_options options;
    options.memory = &memory;
    options.source_ip = source_ip;
    // A lost SYN packet is sent again only after a second. Trying another
    // backend server is faster.
    options.connect_timeout = std::chrono::milliseconds(150);
    // Stalled responses are ended by the deadline of the request.
    options.stall_timeout = std::chrono::hours(1);
    // Backend servers close idle connections after about 10 s.
    options.idle_timeout = std::chrono::seconds(7);
    options.max_header_bytes = max_header_bytes;
    options.allow_close_delimited = true;
    return options;
}

std::optional<duration> parse_time_left(std::optional<std::string_view> text) {
    const auto ms = text ? to_number<std::int64_t>(*text) : std::nullopt;
    if (!ms || *ms < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*ms);
}

int to_http_status(const verdict& outcome) {
    if (const auto* refused = std::get_if<not_run>(&outcome)) {
        return refused->reason == not_run_reason::unknown_service
                   ? status_not_found
                   : status_unavailable;
    }
    const auto* unknown = std::get_if<may_have_run>(&outcome);
    return unknown != nullptr &&
                   unknown->reason == may_have_run_reason::answer_timeout
               ? status_gateway_timeout
               : status_bad_gateway;
}

// Callers give each attempt another id, so the id is not part of it.
request_fingerprint fingerprint_of(const http_request& request,
                                   std::string_view host) {
    std::string text(method_name(request.method));
    text += ' ';
    text += host;
    text += ' ' + request.target + ' ' +
            std::to_string(hash(request.body.pieces()));
    return hash(text);
}

std::string seconds_text(duration value) {
    constexpr double ms_per_second = 1000;
    return std::to_string(to_ms(value) / ms_per_second);
}

} // namespace

refusal make_no_memory_refusal() {
    return {status_unavailable,
            {{"Retry-After", seconds_text(no_memory_retry_after)},
             {std::string(header::verdict),
              to_string(not_run{not_run_reason::queue_full})}},
            {}};
}

request_gateway::request_gateway(event_loop& loop,
                                 const platform_binding& platform,
                                 request_router& router, metrics& registry,
                                 memory_budget& memory, gateway_options options)
    : loop_(loop), platform_(platform), router_(router), metrics_(registry),
      memory_(memory), log_(loop.now()),
      pool_(loop, make_pool_options(options.source_ip, memory)),
      peer_pool_(loop, make_pool_options(options.source_ip, memory)),
      peer_key_(std::move(options.peer_key)) {
    timer_ =
        loop.make_timer([this] { execute_all(router_.on_tick(loop_.now())); });
}

void request_gateway::begin_stop(time_point refuse_from, time_point ends_at) {
    stopping_ = true;
    router_.begin_stop(refuse_from, ends_at);
    schedule();
    pool_.disable_keep_alive();
    peer_pool_.disable_keep_alive();
}

void request_gateway::on_directory_confirmed() {
    if (router_.waits_for_directory()) {
        execute_all(router_.on_tick(loop_.now()));
    }
}

void request_gateway::schedule() {
    const auto due = router_.next_due();
    if (due) {
        event_loop::schedule(timer_, *due - loop_.now());
    }
}

http_request request_gateway::make_outgoing(incoming_request& incoming) const {
    http_request request;
    request.method = incoming.method();
    request.target = std::string(incoming.target());
    const auto headers = incoming.headers();
    const auto connection_header = find_header(headers, "Connection");
    for (const auto& field : headers) {
        const bool set_by_router =
            equal_ignoring_case(field.name, platform_.headers.time_left_ms) ||
            equal_ignoring_case(field.name,
                                platform_.headers.expected_server) ||
            equal_ignoring_case(field.name, header::forwarded) ||
            equal_ignoring_case(field.name, header::attempts);
        const bool connection_specific =
            is_hop_by_hop(field.name) ||
            (connection_header &&
             equal_ignoring_case(*connection_header, field.name));
        if (!set_by_router && !connection_specific) {
            request.headers.push_back(field);
        }
    }
    if (const auto host = find_header(headers, "Host")) {
        request.headers.push_back({"Host", std::string(*host)});
    }
    request.body = incoming.take_body();
    if (!request.body.empty()) {
        request.headers.push_back(
            {"Content-Length", std::to_string(request.body.size())});
    }
    return request;
}

void request_gateway::on_request(
    const std::shared_ptr<incoming_request>& incoming) {
    const auto id = call_id{next_call_++};
    const auto now = loop_.now();
    const auto headers = incoming->headers();
    auto& pending = requests_[id];
    pending.incoming = incoming;
    pending.arrived = now;
    pending.id =
        find_header(headers, platform_.headers.request_id).value_or("");
    pending.outgoing = make_outgoing(*incoming);
    pending.charge = memory_charge(memory_);
    pending.charge.set(pending.outgoing.body.size());
    incoming->disconnected.connect([this, id] {
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
            return;
        }
        log_.write(event_number::caller_gone,
                   {{"id", found->second.id},
                    {"after_ms", ms_text(loop_.now() - found->second.arrived)}},
                   loop_.now());
        remove(found);
        execute_all(router_.on_caller_gone(id, loop_.now()));
    });
    routed_request request;
    request.id = id;
    request.host = find_header(headers, "Host").value_or("");
    const auto target = incoming->target();
    request.path = target.substr(0, target.find('?'));
    request.caller_time_left =
        parse_time_left(find_header(headers, platform_.headers.time_left_ms));
    request.fingerprint = fingerprint_of(pending.outgoing, request.host);
    pending.fingerprint = request.fingerprint;
    pending.forwarded = is_forwarded_by_peer(*incoming, headers);
    if (pending.forwarded) {
        request.forwarded = true;
        const auto attempts = find_header(headers, header::attempts);
        request.max_attempts =
            attempts ? to_number<unsigned>(*attempts) : std::nullopt;
    }
    execute_all(router_.submit(request, now));
}

void request_gateway::execute_all(const request_router::actions& actions) {
    for (const auto& item : actions) {
        std::visit([this](const auto& action) { execute(action); }, item);
    }
    schedule();
}

void request_gateway::execute(const deliver_action& action) {
    const auto found = requests_.find(action.call);
    const auto attempt = attempts_.find(action.attempt);
    if (found == requests_.end() || attempt == attempts_.end()) {
        return;
    }
    auto delivered = std::move(attempt->second);
    attempts_.erase(attempt);
    header_list headers;
    for (const auto& field : delivered.head.headers) {
        if (!is_hop_by_hop(field.name) &&
            !equal_ignoring_case(field.name, platform_.headers.load) &&
            !equal_ignoring_case(field.name, header::verdict) &&
            !equal_ignoring_case(field.name, header::server)) {
            headers.push_back(field);
        }
    }
    const auto now = loop_.now();
    found->second.served_by = delivered.server;
    metrics_.count_call(delivered.service, completed{},
                        now - found->second.arrived);
    log_.write(event_number::request_finished,
               {{"id", found->second.id},
                {"status", std::to_string(delivered.head.status)},
                {"server", delivered.server},
                {"bytes", std::to_string(delivered.body.size())},
                {"ms", ms_text(now - found->second.arrived)}},
               now);
    reply(found->second, completed{}, delivered.head.status, std::move(headers),
          delivered.body);
    remove(found);
}

void request_gateway::execute(const finish_action& action) {
    const auto found = requests_.find(action.call);
    if (found == requests_.end()) {
        return;
    }
    const auto now = loop_.now();
    const int status = to_http_status(action.outcome);
    header_list headers;
    if (action.retry_after) {
        headers.push_back({"Retry-After", seconds_text(*action.retry_after)});
    }
    const auto& service = found->second.service;
    metrics_.count_call(service.empty() ? "unknown" : service, action.outcome,
                        now - found->second.arrived);
    log_.write(event_number::request_finished,
               {{"id", found->second.id},
                {"status", std::to_string(status)},
                {"reason", std::string(reason_name(action.outcome))},
                {"retry_after_ms",
                 action.retry_after ? ms_text(*action.retry_after) : "-"},
                {"ms", ms_text(now - found->second.arrived)}},
               now);
    reply(found->second, action.outcome, status, std::move(headers), "");
    remove(found);
}

void request_gateway::execute(const report_action& action) {
    report.emit(action.peer, action.report);
}

void request_gateway::execute(const quarantine_action& action) {
    const auto number = action.refused_for ? event_number::request_quarantined
                                           : event_number::request_released;
    log_event(number,
              {{"fingerprint", fingerprint_text(action.request)},
               {"losses", std::to_string(action.losses)},
               {"for_ms", action.refused_for ? ms_text(*action.refused_for)
                                             : std::string("-")}});
}

void request_gateway::on_suspect_report(const std::string& from,
                                        const suspect_report& received) {
    execute_all(router_.on_suspect_report(from, received, loop_.now()));
}

void request_gateway::on_peer_started(const std::string& peer) {
    execute_all(router_.on_peer_started(peer, loop_.now()));
}

void request_gateway::release(request_fingerprint request) {
    execute_all(router_.release(request, loop_.now()));
}

void request_gateway::reply(pending_request& request, const verdict& outcome,
                            int status, header_list headers,
                            std::string_view body) {
    if (request.forwarded) {
        headers.push_back({std::string(header::verdict), to_string(outcome)});
        headers.push_back({std::string(header::server), request.served_by});
    }
    if (stopping_) {
        headers.push_back({"Connection", "close"});
    }
    request.incoming->reply(status, headers, body);
}

void request_gateway::remove(
    std::map<call_id, pending_request>::iterator request) {
    // Deferred because a callback of the incoming request may be running.
    loop_.defer([kept = request->second.incoming] {});
    requests_.erase(request);
    last_finished_at_ = loop_.now();
}

} // namespace lacewingbeam
