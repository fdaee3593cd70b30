#include "lacewingbeam/claim_book.hpp"

#include <algorithm>

namespace lacewingbeam {

namespace {

// Abandoned claims whose nonce is kept for a later request.
constexpr std::size_t max_idle = 10000;

std::string draw_nonce(random_engine& engine) {
    return to_string(draw_incarnation(engine));
}

} // namespace

claim_book::claim_book(const incarnation& own, std::size_t batch_limit)
    : own_(own), batch_limit_(batch_limit) {}

void claim_book::request(const std::string& key, time_point deadline,
                         random_engine& engine) {
    auto [found, added] = entries_.try_emplace(key);
    auto& item = found->second;
    if (added) {
        item.nonce = draw_nonce(engine);
        forget_oldest_idle();
    }
    item.deadline = deadline;
    if (item.at == stage::idle) {
        item.at = stage::waiting;
    }
}

void claim_book::forget_oldest_idle() {
    if (entries_.size() <= max_idle) {
        return;
    }
    const auto idle =
        std::find_if(entries_.begin(), entries_.end(), [](const auto& item) {
            return item.second.at == stage::idle;
        });
    if (idle != entries_.end()) {
        entries_.erase(idle);
    }
}

std::optional<claim_batch> claim_book::next_batch() {
    if (writing_) {
        return std::nullopt;
    }
    claim_batch batch;
    for (auto& [key, item] : entries_) {
        if (batch.claims.size() >= batch_limit_) {
            break;
        }
        if (item.at == stage::waiting) {
            item.at = stage::writing;
            batch.claims.push_back({key, own_, item.nonce});
        }
    }
    if (batch.claims.empty()) {
        return std::nullopt;
    }
    batch.number = next_number_++;
    writing_ = batch;
    return batch;
}

std::vector<claim_event> claim_book::on_committed(std::uint64_t batch) {
    std::vector<claim_event> events;
    if (!writing_ || writing_->number != batch) {
        return events;
    }
    for (const auto& item : writing_->claims) {
        const auto found = entries_.find(item.key);
        if (found == entries_.end() || found->second.nonce != item.nonce) {
            continue;
        }
        if (found->second.at == stage::idle) {
            continue; // given up meanwhile; its nonce is kept
        }
        entries_.erase(found);
        events.emplace_back(claim_won{item.key});
    }
    writing_.reset();
    return events;
}

std::vector<claim_event>
claim_book::on_conflict(std::uint64_t batch, std::span<const claim> existing) {
    std::vector<claim_event> events;
    if (!writing_ || writing_->number != batch) {
        return events;
    }
    for (const auto& item : writing_->claims) {
        const auto found = entries_.find(item.key);
        if (found != entries_.end() && found->second.at == stage::writing) {
            found->second.at = stage::waiting;
        }
    }
    writing_.reset();
    for (const auto& row : existing) {
        const auto found = entries_.find(row.key);
        if (found != entries_.end() && found->second.at == stage::waiting) {
            events.push_back(settle(row.key, row));
        }
    }
    return events;
}

claim_event claim_book::settle(const std::string& key, const claim& row) {
    const auto found = entries_.find(key);
    const bool ours = row.claimant == own_ && row.nonce == found->second.nonce;
    entries_.erase(found);
    if (ours) {
        return claim_won{key};
    }
    return claim_taken{key, row.claimant};
}

void claim_book::on_unknown(std::uint64_t batch) {
    if (!writing_ || writing_->number != batch) {
        return;
    }
    for (const auto& item : writing_->claims) {
        const auto found = entries_.find(item.key);
        if (found != entries_.end() && found->second.at == stage::writing) {
            found->second.at = stage::unknown;
        }
    }
    writing_.reset();
}

std::vector<std::string> claim_book::next_reads() {
    std::vector<std::string> keys;
    for (auto& [key, item] : entries_) {
        if (item.at == stage::unknown) {
            item.at = stage::reading;
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<claim_event> claim_book::on_read(const std::string& key,
                                             const std::optional<claim>& row) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.at != stage::reading) {
        return {};
    }
    if (!row) {
        found->second.at = stage::waiting;
        return {};
    }
    return {settle(key, *row)};
}

void claim_book::on_read_failed(const std::string& key) {
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.at == stage::reading) {
        found->second.at = stage::unknown;
    }
}

std::vector<claim_event> claim_book::expire(time_point now) {
    std::vector<claim_event> events;
    for (auto& [key, item] : entries_) {
        if (item.at != stage::idle && item.deadline <= now) {
            item.at = stage::idle;
            events.emplace_back(claim_abandoned{key});
        }
    }
    return events;
}

} // namespace lacewingbeam
