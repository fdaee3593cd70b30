#include "lacewingbeam/claim_tracker.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Above this number of entries, abandoned claims are evicted. They are kept for
// their nonces, which later requests reuse.
constexpr std::size_t max_entries = 10000;

std::string draw_nonce(random_engine& engine) {
    return to_string(draw_incarnation(engine));
}

} // namespace

claim_tracker::claim_tracker(const incarnation& own, std::size_t batch_limit)
    : own_(own), batch_limit_(batch_limit) {}

void claim_tracker::request(const std::string& key, time_point deadline,
                            random_engine& engine) {
    auto [found, added] = entries_.try_emplace(key);
    auto& item = found->second;
    if (added) {
        item.nonce = draw_nonce(engine);
        evict_idle_entry();
    }
    item.deadline = deadline;
    if (item.state == claim_state::idle) {
        item.state = claim_state::waiting;
    }
}

void claim_tracker::evict_idle_entry() {
    if (entries_.size() <= max_entries) {
        return;
    }
    const auto idle =
        std::find_if(entries_.begin(), entries_.end(), [](const auto& item) {
            return item.second.state == claim_state::idle;
        });
    if (idle != entries_.end()) {
        entries_.erase(idle);
    }
}

std::optional<claim_batch> claim_tracker::next_batch() {
    if (pending_batch_) {
        return std::nullopt;
    }
    claim_batch batch;
    for (auto& [key, item] : entries_) {
        if (batch.claims.size() >= batch_limit_) {
            break;
        }
        if (item.state == claim_state::waiting) {
            item.state = claim_state::writing;
            batch.claims.push_back({key, own_, item.nonce});
        }
    }
    if (batch.claims.empty()) {
        return std::nullopt;
    }
    batch.number = next_number_++;
    pending_batch_ = batch;
    return batch;
}

std::vector<claim_event> claim_tracker::on_committed(std::uint64_t batch) {
    std::vector<claim_event> events;
    if (!pending_batch_ || pending_batch_->number != batch) {
        return events;
    }
    for (const auto& item : pending_batch_->claims) {
        const auto found = entries_.find(item.key);
        if (found == entries_.end() || found->second.nonce != item.nonce) {
            continue;
        }
        if (found->second.state == claim_state::idle) {
            continue; // abandoned meanwhile; the nonce is kept
        }
        entries_.erase(found);
        events.emplace_back(claim_won{item.key});
    }
    pending_batch_.reset();
    return events;
}

std::vector<claim_event>
claim_tracker::on_conflict(std::uint64_t batch,
                           std::span<const claim> existing) {
    std::vector<claim_event> events;
    if (!pending_batch_ || pending_batch_->number != batch) {
        return events;
    }
    for (const auto& item : pending_batch_->claims) {
        const auto found = entries_.find(item.key);
        if (found != entries_.end() &&
            found->second.state == claim_state::writing) {
            found->second.state = claim_state::waiting;
        }
    }
    pending_batch_.reset();
    for (const auto& row : existing) {
        const auto found = entries_.find(row.key);
        if (found != entries_.end() &&
            found->second.state == claim_state::waiting) {
            events.push_back(resolve(row.key, row));
        }
    }
    return events;
}

claim_event claim_tracker::resolve(const std::string& key, const claim& row) {
    const auto found = entries_.find(key);
    const bool ours = row.claimant == own_ && row.nonce == found->second.nonce;
    entries_.erase(found);
    if (ours) {
        return claim_won{key};
    }
    return claim_taken{key, row.claimant};
}

void claim_tracker::on_unknown(std::uint64_t batch) {
    if (!pending_batch_ || pending_batch_->number != batch) {
        return;
    }
    for (const auto& item : pending_batch_->claims) {
        const auto found = entries_.find(item.key);
        if (found != entries_.end() &&
            found->second.state == claim_state::writing) {
            found->second.state = claim_state::unknown;
        }
    }
    pending_batch_.reset();
}

std::vector<std::string> claim_tracker::next_reads() {
    std::vector<std::string> keys;
    for (auto& [key, item] : entries_) {
        if (item.state == claim_state::unknown) {
            item.state = claim_state::reading;
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<claim_event>
claim_tracker::on_read(const std::string& key,
                       const std::optional<claim>& row) {
    const auto found = entries_.find(key);
    if (found == entries_.end() ||
        found->second.state != claim_state::reading) {
        return {};
    }
    if (!row) {
        found->second.state = claim_state::waiting;
        return {};
    }
    return {resolve(key, *row)};
}

void claim_tracker::on_read_failed(const std::string& key) {
    const auto found = entries_.find(key);
    if (found != entries_.end() &&
        found->second.state == claim_state::reading) {
        found->second.state = claim_state::unknown;
    }
}

std::vector<claim_event> claim_tracker::expire(time_point now) {
    std::vector<claim_event> events;
    for (auto& [key, item] : entries_) {
        if (item.state != claim_state::idle && item.deadline <= now) {
            item.state = claim_state::idle;
            events.emplace_back(claim_abandoned{key});
        }
    }
    return events;
}

} // namespace lacewingbeam
