#ifndef LACEWINGBEAM_CLAIM_TRACKER_HPP
#define LACEWINGBEAM_CLAIM_TRACKER_HPP

#include "core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

// Claims idempotency keys in the platform's table, batching several claims per
// transaction. Claims never expire and never pass to another instance.
namespace lacewingbeam {

// A claim row: the instance that may run the operation with this key.
struct claim {
    std::string key;
    incarnation claimant;
    std::string nonce; // distinguishes claims of the same claimant

    bool operator==(const claim&) const = default;
};

// Claims to be inserted atomically in one transaction.
struct claim_batch {
    std::uint64_t number = 0;
    std::vector<claim> claims;
};

// This instance holds the claim; the operation may start.
struct claim_won {
    std::string key;
};

// The key is claimed by another instance, or by an earlier claim of this
// instance that is no longer tracked.
struct claim_taken {
    std::string key;
    incarnation claimant;
};

// The claim was not confirmed before its deadline; nothing was started.
struct claim_abandoned {
    std::string key;
};

using claim_event = std::variant<claim_won, claim_taken, claim_abandoned>;

class claim_tracker {
public:
    claim_tracker(const incarnation& own, std::size_t batch_limit);

    // Requests a claim on the key, to be confirmed before `deadline`. Reuses
    // the nonce of an earlier, abandoned claim on the key, so that a write
    // which took effect late is recognized as this instance's own.
    void request(const std::string& key, time_point deadline,
                 random_engine& engine);

    // Returns the next batch to write if no write is in progress and claims are
    // waiting.
    std::optional<claim_batch> next_batch();

    // Reports that the transaction was committed.
    std::vector<claim_event> on_committed(std::uint64_t batch);

    // Reports that the transaction was rejected because these rows exist.
    std::vector<claim_event> on_conflict(std::uint64_t batch,
                                         std::span<const claim> existing);

    // Reports that no answer was received: the transaction may or may not have
    // taken effect.
    void on_unknown(std::uint64_t batch);

    // Returns keys whose row must be read to resolve a write with unknown
    // outcome. A key is not returned again until its read has ended.
    std::vector<std::string> next_reads();

    // Reports the result of such a read: the row, or nullopt if none exists.
    std::vector<claim_event> on_read(const std::string& key,
                                     const std::optional<claim>& row);

    // Reports that the read failed; next_reads returns the key again.
    void on_read_failed(const std::string& key);

    // Abandons claims whose deadline has passed.
    std::vector<claim_event> expire(time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    enum class claim_state { idle, waiting, writing, unknown, reading };

    struct entry {
        std::string nonce;
        time_point deadline;
        claim_state state = claim_state::idle;
    };

    claim_event resolve(const std::string& key, const claim& row);
    void evict_idle_entry();

    incarnation own_;
    std::size_t batch_limit_;
    std::uint64_t next_number_ = 1;
    std::optional<claim_batch> pending_batch_;
    std::map<std::string, entry> entries_;
};

} // namespace lacewingbeam

#endif
