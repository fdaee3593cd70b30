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

// Claims idempotency keys in the platform's table, several in one
// transaction. A claim is never taken over and never expires.
namespace lacewingbeam {

// A claim row: who may run the operation with this key.
struct claim {
    std::string key;
    incarnation claimant;
    std::string nonce; // tells this claim from another of the same claimant

    bool operator==(const claim&) const = default;
};

// Claims to insert in one transaction, all or none.
struct claim_batch {
    std::uint64_t number = 0;
    std::vector<claim> claims;
};

// The key is ours; its operation may start.
struct claim_won {
    std::string key;
};

// The key belongs to another instance, or to a forgotten run of our own.
struct claim_taken {
    std::string key;
    incarnation claimant;
};

// The platform did not confirm the claim in time; nothing was started.
struct claim_abandoned {
    std::string key;
};

using claim_event = std::variant<claim_won, claim_taken, claim_abandoned>;

class claim_tracker {
public:
    claim_tracker(const incarnation& own, std::size_t batch_limit);

    // Asks for a key. `deadline` bounds the wait for the platform. The nonce
    // of an earlier, abandoned claim for the key is used again.
    void request(const std::string& key, time_point deadline,
                 random_engine& engine);

    // The next transaction, if none is under way and keys are waiting.
    std::optional<claim_batch> next_batch();

    // The transaction was committed.
    std::vector<claim_event> on_committed(std::uint64_t batch);

    // The transaction was refused because these rows exist already.
    std::vector<claim_event> on_conflict(std::uint64_t batch,
                                         std::span<const claim> existing);

    // No answer came: the transaction may or may not have taken effect.
    void on_unknown(std::uint64_t batch);

    // Keys whose row has to be read to resolve an unknown answer. Each is
    // returned once until its read is answered.
    std::vector<std::string> next_reads();

    // The answer of such a read: the row, or nothing if there is none.
    std::vector<claim_event> on_read(const std::string& key,
                                     const std::optional<claim>& row);

    // The read got no answer; it will be repeated.
    void on_read_failed(const std::string& key);

    // Gives up claims whose deadline has passed.
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
