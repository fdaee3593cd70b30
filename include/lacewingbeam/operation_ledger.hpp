#ifndef LACEWINGBEAM_OPERATION_LEDGER_HPP
#define LACEWINGBEAM_OPERATION_LEDGER_HPP

#include "core.hpp"
#include "verdict.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

// Remembers what became of each operation, so that none runs twice. A send
// that was told not_run closes its operation for itself and every send before
// it, also those still on their way; only a send with a higher attempt number
// opens it again.
namespace lacewingbeam {

// Names an operation among all instances.
struct operation_id {
    std::string text;

    auto operator<=>(const operation_id&) const = default;
};

struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field&) const = default;
};

// A backend server's answer, kept for resends.
struct recorded_answer {
    int status = 0;
    std::vector<header_field> headers;
    std::string body;

    bool operator==(const recorded_answer&) const = default;
};

// One send of an operation.
struct operation_request {
    operation_id operation;
    std::uint64_t fingerprint = 0; // hash of the request
    unsigned attempt = 1;          // counted by the caller
    call_id call{};
    time_point start_deadline; // later sends never run
    time_point retained_until; // nothing is known of the operation then
};

struct ledger_limits {
    std::size_t operations = 100000;
    std::size_t answer_bytes = 32U << 20U; // over all recorded answers
};

// The holder may run the operation now and must call finish or abandon.
struct may_start {
    bool reopened = false; // a send with a higher attempt number opened it
};

// The operation runs; finish will name this call among the waiting ones.
struct wait_for_result {};

// The operation ran; this is its answer.
struct replay {
    recorded_answer answer;
};

// The call ends at once with this verdict.
struct answer_now {
    verdict outcome;
};

using begin_result =
    std::variant<may_start, wait_for_result, replay, answer_now>;

class operation_ledger {
public:
    explicit operation_ledger(ledger_limits limits);

    // A call asks to run the operation. A send with another fingerprint than
    // the first one is refused.
    begin_result begin(const operation_request& request, time_point now);

    // The run ended. Returns the calls that waited for the result.
    std::vector<call_id> finish(const operation_id& operation,
                                const verdict& outcome,
                                std::optional<recorded_answer> answer);

    // Nothing was started here and another instance may own the operation:
    // forgets it. Returns the calls that waited.
    std::vector<call_id> abandon(const operation_id& operation);

    // The call no longer waits.
    void remove_waiter(const operation_id& operation, call_id call);

    // Drops operations whose time is over.
    void expire(time_point now);

    std::size_t size() const { return entries_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    struct entry {
        std::uint64_t fingerprint = 0;
        unsigned attempt = 1; // the highest seen
        time_point start_deadline;
        time_point retained_until;
        bool running = true;
        std::vector<call_id> waiters;
        verdict outcome = completed{};
        std::optional<recorded_answer> answer;
    };

    begin_result begin_existing(entry& known, const operation_request& request);
    void store_answer(entry& known, const operation_id& operation,
                      recorded_answer answer);
    void drop_answer(entry& known);

    ledger_limits limits_;
    std::unordered_map<std::string, entry> entries_;
    std::deque<std::string> answered_; // oldest recorded answer first
    std::multimap<time_point, std::string> expiry_;
    std::size_t answer_bytes_ = 0;
};

} // namespace lacewingbeam

#endif
