#include "lacewingbeam/membership.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

namespace lacewingbeam {

namespace {

constexpr std::size_t max_unconfirmed_members = 64;
constexpr std::size_t max_members = 4096;

} // namespace

membership::membership(member own, membership_options options)
    : own_(std::move(own)), options_(options), last_target_(own_.id) {}

void membership::set_seeds(std::span<const std::string> peer_addresses) {
    seeds_.assign(peer_addresses.begin(), peer_addresses.end());
}

void membership::set_discovered(std::span<const std::string> peer_addresses) {
    discovered_.assign(peer_addresses.begin(), peer_addresses.end());
}

bool membership::on_heartbeat(const member& sender, std::uint64_t sequence,
                              time_point now) {
    if (sender.id == own_.id) {
        return false;
    }
    note_sharer(sender, now);
    const auto known = records_.find(sender.id);
    if (known == records_.end()) {
        if (records_.size() >= max_members) {
            return false;
        }
        // A new incarnation at an address replaces the previous one.
        std::erase_if(records_, [&](const auto& item) {
            return item.second.info.peer_address == sender.peer_address;
        });
        records_.emplace(sender.id, record{sender, sequence, now});
        return true;
    }
    if (sequence <= known->second.sequence) {
        return false;
    }
    known->second = record{sender, sequence, now};
    return true;
}

void membership::on_gossip(std::span<const member> members, time_point now) {
    for (const auto& reported : members) {
        note_sharer(reported, now - reported.age);
        const auto heard = records_.find(reported.id);
        if (heard != records_.end()) {
            heard->second.last_heard_at =
                std::max(heard->second.last_heard_at, now - reported.age);
            continue;
        }
        const bool known = reported.id == own_.id ||
                           reported.peer_address == own_.peer_address;
        const bool fresh = reported.age <= options_.gone_after;
        if (known || !fresh || unconfirmed_.size() >= max_unconfirmed_members) {
            continue;
        }
        unconfirmed_[reported.id] = record{reported, 0, now - reported.age};
    }
}

bool membership::address_known(const std::string& peer_address) const {
    return std::any_of(records_.begin(), records_.end(), [&](const auto& item) {
        return item.second.info.peer_address == peer_address;
    });
}

void membership::expire(time_point now) {
    const auto is_gone = [&](const auto& item) {
        return now - item.second.last_heard_at > options_.gone_after;
    };
    std::erase_if(records_, is_gone);
    std::erase_if(sharers_, [&](const auto& item) {
        return !is_sharing(item.second, now);
    });
    std::erase_if(unconfirmed_, [&](const auto& item) {
        return is_gone(item) || records_.contains(item.first);
    });
}

std::vector<std::string> membership::unknown_addresses() const {
    std::vector<std::string> addresses = seeds_;
    addresses.insert(addresses.end(), discovered_.begin(), discovered_.end());
    for (const auto& [id, item] : unconfirmed_) {
        addresses.push_back(item.info.peer_address);
    }
    std::erase_if(addresses, [&](const std::string& address) {
        return address == own_.peer_address || address_known(address);
    });
    return addresses;
}

std::size_t membership::targets_per_round() const {
    const auto reach_within = options_.suspect_after / 2;
    const auto wanted =
        (records_.size() *
             static_cast<std::size_t>(options_.heartbeat_interval.count()) +
         static_cast<std::size_t>(reach_within.count()) - 1) /
        static_cast<std::size_t>(reach_within.count());
    const auto count =
        std::clamp(wanted, options_.fan_out,
                   std::max(options_.fan_out, options_.max_fan_out));
    return std::min(count, records_.size());
}

std::vector<std::string> membership::heartbeat_targets(time_point now) {
    expire(now);
    std::vector<std::string> targets;
    const auto count = targets_per_round();
    auto next = records_.upper_bound(last_target_);
    while (targets.size() < count) {
        if (next == records_.end()) {
            next = records_.begin();
        }
        last_target_ = next->first;
        targets.push_back(next->second.info.peer_address);
        ++next;
    }
    const auto unknown = unknown_addresses();
    const auto contacts = std::min(options_.fan_out, unknown.size());
    for (std::size_t i = 0; i < contacts; ++i) {
        targets.push_back(unknown[next_contact_++ % unknown.size()]);
    }
    return targets;
}

member membership::to_member(const record& value, time_point now) const {
    member info = value.info;
    info.age = now - value.last_heard_at;
    if (info.state == member_state::alive &&
        info.age > options_.suspect_after) {
        info.state = member_state::suspected;
    }
    return info;
}

bool membership::is_active(const record& value, time_point now) const {
    return to_member(value, now).state == member_state::alive;
}

std::vector<member> membership::sample(std::size_t limit, random_engine& engine,
                                       time_point now) const {
    auto known = members(now);
    const auto count = std::min(limit, known.size());
    for (std::size_t i = 0; i < count; ++i) {
        boost::random::uniform_int_distribution<std::size_t> pick(
            i, known.size() - 1);
        std::swap(known[i], known[pick(engine)]);
    }
    known.resize(count);
    return known;
}

std::optional<member> membership::find(const incarnation& id,
                                       time_point now) const {
    const auto found = records_.find(id);
    if (found != records_.end()) {
        return to_member(found->second, now);
    }
    const auto unconfirmed = unconfirmed_.find(id);
    if (unconfirmed == unconfirmed_.end()) {
        return std::nullopt;
    }
    auto info = to_member(unconfirmed->second, now);
    info.state = member_state::suspected;
    return info;
}

std::vector<member> membership::members(time_point now) const {
    std::vector<member> all;
    for (const auto& [id, item] : records_) {
        all.push_back(to_member(item, now));
    }
    return all;
}

std::size_t membership::active_count(time_point now) const {
    std::size_t count = 1;
    for (const auto& [id, item] : records_) {
        count += is_active(item, now) ? 1 : 0;
    }
    return count;
}

bool membership::is_sharing(const sharer& value, time_point now) const {
    return now - value.last_heard_at <=
           (value.leaving ? options_.gone_after : options_.share_hold);
}

void membership::note_sharer(const member& heard, time_point at) {
    if (heard.peer_address == own_.peer_address) {
        return;
    }
    const auto found = sharers_.find(heard.peer_address);
    if (found == sharers_.end() && sharers_.size() >= max_members) {
        return;
    }
    auto& known = sharers_[heard.peer_address];
    if (at >= known.last_heard_at) {
        known = {at, heard.state == member_state::leaving};
    }
}

std::vector<std::string> membership::sharing_addresses(time_point now) const {
    std::vector<std::string> addresses;
    for (const auto& [address, known] : sharers_) {
        if (is_sharing(known, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::size_t membership::own_sharing_count(time_point now) const {
    return 1 + sharing_addresses(now).size();
}

std::size_t membership::sharing_count(time_point now) const {
    const bool told = now - sharers_told_at_ <= options_.share_hold;
    return std::max(own_sharing_count(now), told ? told_sharers_ : 0);
}

void membership::on_sharing_count(std::size_t count, time_point now) {
    const bool expired = now - sharers_told_at_ > options_.share_hold;
    if (count >= told_sharers_ || expired) {
        told_sharers_ = std::min(count, max_members);
        sharers_told_at_ = now;
    }
}

std::size_t membership::own_rank(time_point now) const {
    std::size_t rank = 0;
    for (const auto& [id, item] : records_) {
        rank += id < own_.id && is_active(item, now) ? 1 : 0;
    }
    return rank;
}

std::size_t membership::domain_count(time_point now) const {
    std::size_t count = 1;
    for (const auto& [id, item] : records_) {
        const bool same = item.info.failure_domain == own_.failure_domain;
        count += same && is_active(item, now) ? 1 : 0;
    }
    return count;
}

std::size_t membership::domain_rank(time_point now) const {
    std::size_t rank = 0;
    for (const auto& [id, item] : records_) {
        const bool same = item.info.failure_domain == own_.failure_domain;
        rank += same && id < own_.id && is_active(item, now) ? 1 : 0;
    }
    return rank;
}

bool membership::is_partitioned(time_point now) const {
    std::size_t known = 1;
    std::size_t heard = 1;
    for (const auto& [id, item] : records_) {
        if (item.info.state == member_state::leaving) {
            continue;
        }
        ++known;
        heard += now - item.last_heard_at <= options_.suspect_after ? 1 : 0;
    }
    return known > 1 && 2 * heard <= known;
}

} // namespace lacewingbeam
