#include "lacewingbeam/request_router.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

// Forwarding of requests to another instance, which has a path to the servers.
namespace lacewingbeam {

namespace {

using std::chrono::milliseconds;

// Instances that one request is offered to, one after the other.
constexpr std::size_t max_tried_peers = 3;

// An instance that cannot take requests is left alone for this long.
constexpr duration peer_pause = std::chrono::seconds(1);

// An instance through which servers responded so recently is asked first.
constexpr duration worked_recently = std::chrono::seconds(3);

// If no instance reaches the servers, requests are sent to servers for so long.
constexpr duration useless_peers_pause = std::chrono::seconds(1);

// Less time is not enough for a server to respond through another instance.
constexpr duration min_forwarding_time = milliseconds(20);

// Reasons that concern the instance and not the request, which has not been
// sent to any server.
bool is_peer_unavailable(not_run_reason reason) {
    return reason == not_run_reason::no_path ||
           reason == not_run_reason::connect_failed ||
           reason == not_run_reason::instance_stopping ||
           reason == not_run_reason::table_unconfirmed;
}

} // namespace

void request_router::set_forwarding_peers(std::vector<forwarding_peer> peers) {
    forwarding_peers_ = std::move(peers);
    std::erase_if(peer_states_, [&](const auto& item) {
        return std::none_of(forwarding_peers_.begin(), forwarding_peers_.end(),
                            [&](const forwarding_peer& peer) {
                                return peer.address == item.first;
                            });
    });
}

// Prefers peers through which requests were served lately. Of the others, the
// first one is in the own failure domain, since it is nearer, and the next ones
// are not, since a whole failure domain may be affected.
const forwarding_peer* request_router::pick_peer(const request_entry& request,
                                                 time_point now) {
    std::vector<const forwarding_peer*> usable;
    for (const auto& peer : forwarding_peers_) {
        const bool tried =
            std::find(request.tried_peers.begin(), request.tried_peers.end(),
                      peer.address) != request.tried_peers.end();
        if (!tried && now >= peer_states_[peer.address].avoided_until) {
            usable.push_back(&peer);
        }
    }
    const auto worked = [&](const forwarding_peer* peer) {
        const auto& at = peer_states_[peer->address].worked_at;
        return at && now - *at <= worked_recently;
    };
    const bool prefers_own = request.tried_peers.empty();
    const auto is_near = [&](const forwarding_peer* peer) {
        return (peer->failure_domain == options_.failure_domain) == prefers_own;
    };
    auto preferred = std::partition(usable.begin(), usable.end(), worked);
    if (preferred == usable.begin()) {
        preferred = std::partition(usable.begin(), usable.end(), is_near);
    }
    const auto count = static_cast<std::size_t>(preferred - usable.begin());
    const auto end = count > 0 ? count : usable.size();
    if (end == 0) {
        return nullptr;
    }
    boost::random::uniform_int_distribution<std::size_t> draw(0, end - 1);
    return usable[draw(engine_)];
}

// Gives all attempts that are left to the other instance.
bool request_router::try_forward(request_entry& request, time_point now,
                                 actions& out) {
    const bool may_run_elsewhere =
        !request.running_attempts.empty() || request.lost_reason;
    if (request.forwarded || request.tried_peers.size() >= max_tried_peers ||
        request.may_have_arrived >= request.max_attempts ||
        request.deadline - now < min_forwarding_time ||
        now < entry_of_service(request.service).peers_useless_until ||
        (may_run_elsewhere && request.retry == retry_policy::at_most_once)) {
        return false;
    }
    const auto* peer = pick_peer(request, now);
    if (peer == nullptr || !take_reserved_repeat(request)) {
        return false;
    }
    const auto id = attempt_id{next_attempt_++};
    const auto attempts = request.max_attempts - request.may_have_arrived;
    auto& attempt = attempts_[id];
    attempt.call = request.id;
    attempt.sent_at = now;
    attempt.peer = peer->address;
    attempt.forwarded_attempts = attempts;
    request.waiting = false;
    request.recheck_at.reset();
    request.decide_at.reset();
    request.pending_probes.clear();
    request.running_attempts.push_back(id);
    request.tried_peers.push_back(peer->address);
    request.may_have_arrived += attempts;
    out.emplace_back(forward_action{request.id, id, request.service, *peer,
                                    request.deadline - now, attempts,
                                    request.retry == retry_policy::retryable,
                                    is_path_lost(request.service)});
    return true;
}

// The other instance has done what can be done, unless it could not take the
// request at all.
void request_router::on_forward_ended(request_entry& request,
                                      const attempt_entry& attempt,
                                      attempt_id id,
                                      const attempt_outcome& result,
                                      time_point now, actions& out) {
    auto& peer = peer_states_[attempt.peer];
    if (std::holds_alternative<attempt_answered>(result)) {
        peer.worked_at = now;
        out.emplace_back(deliver_action{request.id, id});
        remove_request(request.id, id, out);
        return;
    }
    if (const auto* unknown = std::get_if<attempt_unknown>(&result)) {
        request.lost_reason = unknown->reason;
        if (request.running_attempts.empty() && !request.decide_at) {
            finish(request, may_have_run{unknown->reason}, std::nullopt, out);
        }
        return;
    }
    const auto reason = std::get<attempt_not_run>(result).reason;
    request.refused_reason = reason;
    if (is_peer_unavailable(reason)) {
        peer = {now + peer_pause, std::nullopt};
        request.may_have_arrived -= attempt.forwarded_attempts;
    }
    if (!request.running_attempts.empty() || request.decide_at) {
        return;
    }
    if (is_peer_unavailable(reason)) {
        forward_again_or_finish(request, now, out);
    } else {
        refuse(request, reason, now, out);
    }
}

void request_router::forward_again_or_finish(request_entry& request,
                                             time_point now, actions& out) {
    const bool may_send = try_reserve_repeat(request, now);
    if (may_send && try_forward(request, now, out)) {
        return;
    }
    const bool was_path_lost = is_path_lost(request.service);
    if (may_send && was_path_lost && request.attempts == 0) {
        entry_of_service(request.service).peers_useless_until =
            now + useless_peers_pause;
        start_placement(request, now, out);
        return;
    }
    refuse(request, not_run_reason::no_path, now, out);
}

} // namespace lacewingbeam
