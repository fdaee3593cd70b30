#include "adapters/event_log.hpp"
#include "adapters/forward_token.hpp"
#include "adapters/header_names.hpp"
#include "request_gateway.hpp"

// Requests forwarded to and by other instances.
namespace lacewingbeam {

namespace {

// Connections to one peer.
constexpr std::size_t max_peer_connections = 64;

constexpr duration max_reuse_age = std::chrono::milliseconds(1000);
constexpr duration max_reuse_age_repeatable = std::chrono::seconds(7);

// What a forwarding token authenticates.
std::string token_content(std::string_view request_id,
                          std::string_view target) {
    return std::string(request_id) + " " + std::string(target);
}

} // namespace

bool request_gateway::is_forwarded_by_peer(const incoming_request& incoming,
                                           const header_list& headers) const {
    const auto token = find_header(headers, header::forwarded);
    const auto id = find_header(headers, platform_.headers.request_id);
    return token &&
           verify_forward_token(
               *token, token_content(id.value_or(""), incoming.target()),
               peer_key_);
}

void request_gateway::execute(const forward_action& action) {
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
        {std::string(header::attempts), std::to_string(action.attempts)});
    request.headers.push_back(
        {std::string(header::forwarded),
         make_forward_token(action.peer.id,
                            token_content(pending.id, request.target),
                            peer_key_)});
    log_.write(event_number::request_forwarded,
               {{"id", pending.id},
                {"service", action.service},
                {"peer", action.peer.address},
                {"failure_domain", action.peer.failure_domain},
                {"path_lost", action.path_lost ? "yes" : "no"},
                {"left_ms", std::to_string(ms.count())}},
               now);
    auto& attempt = attempts_[action.attempt];
    attempt.call = action.call;
    attempt.server = action.peer.address;
    attempt.service = action.service;
    attempt.sent_at = now;
    attempt.forwarded = true;
    attempt.charge = memory_charge(memory_);
    attempt.pool = &peer_pool_;
    attempt.exchange = peer_pool_.start(
        action.peer.address, request,
        {max_peer_connections,
         action.repeatable ? max_reuse_age_repeatable : max_reuse_age},
        make_attempt_events(action.attempt));
}

// Without a verdict, the response is not one of an instance.
void request_gateway::on_forward_end(attempt_id id) {
    struct outcome_visitor {
        attempt_outcome operator()(const completed&) const {
            return attempt_answered{};
        }
        attempt_outcome operator()(const not_run& value) const {
            return attempt_not_run{value.reason};
        }
        attempt_outcome operator()(const may_have_run& value) const {
            return attempt_unknown{value.reason};
        }
    };
    const auto& attempt = attempts_.at(id);
    const auto text = find_header(attempt.head.headers, header::verdict);
    const auto outcome = text ? parse_verdict(*text) : std::nullopt;
    const attempt_outcome result =
        outcome ? std::visit(outcome_visitor{}, *outcome)
                : attempt_unknown{may_have_run_reason::answer_malformed};
    end_attempt(id, result, "from a peer");
}

void request_gateway::execute(const path_action& action) {
    const std::string service = action.service.empty() ? "all" : action.service;
    if (action.lost) {
        log_event(event_number::path_lost,
                  {{"service", service},
                   {"silent_servers", std::to_string(action.silent_servers)},
                   {"requests", std::to_string(requests_.size())}});
    } else {
        log_event(
            event_number::path_restored,
            {{"service", service}, {"lost_for_ms", ms_text(action.lost_for)}});
    }
}

} // namespace lacewingbeam
