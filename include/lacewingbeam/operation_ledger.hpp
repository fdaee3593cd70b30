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

// Records the outcome of each operation so that none runs twice. After a
// not_run verdict the operation stays closed for all requests with the same or
// a lower attempt number, including requests still in transit; only a request
// with a higher attempt number may start it.
namespace lacewingbeam {

// Identifies an operation across all instances.
struct operation_id {
    std::string text;

    auto operator<=>(const operation_id&) const = default;
};

struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field&) const = default;
};

// A backend server's answer, kept so that it can be replayed for retries.
struct recorded_answer {
    int status = 0;
    std::vector<header_field> headers;
    std::string body;

    bool operator==(const recorded_answer&) const = default;
};

// A caller's request to run an operation.
struct operation_request {
    operation_id operation;
    std::uint64_t fingerprint = 0; // hash of the request content
    unsigned attempt = 1;          // attempt number set by the caller
    call_id call{};
    time_point start_deadline; // requests after this do not start it
    time_point retained_until; // its outcome may be dropped after this
};

struct ledger_limits {
    std::size_t operations = 100000;
    std::size_t answer_bytes = 32U << 20U; // total size of recorded answers
};

// The call may run the operation; finish or abandon must be called afterwards.
struct may_start {
    bool reopened = false; // by a higher attempt number after not_run
};

// The operation is running; finish will return this call among the waiters.
struct wait_for_result {};

// The operation has run; this is its recorded answer.
struct replay {
    recorded_answer answer;
};

// The call ends immediately with this verdict.
struct answer_now {
    verdict outcome;
};

using begin_result =
    std::variant<may_start, wait_for_result, replay, answer_now>;

class operation_ledger {
public:
    explicit operation_ledger(ledger_limits limits);

    // Requests to run the operation. A request whose fingerprint differs from
    // that of the operation's first request is refused.
    begin_result begin(const operation_request& request, time_point now);

    // Records the end of the run. Returns the calls waiting for the result.
    std::vector<call_id> finish(const operation_id& operation,
                                const verdict& outcome,
                                std::optional<recorded_answer> answer);

    // Removes an operation that was not started here and may be owned by
    // another instance. Returns the calls waiting for it.
    std::vector<call_id> abandon(const operation_id& operation);

    // Removes the call from the operation's waiters.
    void remove_waiter(const operation_id& operation, call_id call);

    // Removes operations whose retention time has passed.
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
    std::deque<std::string> answered_; // in order of recording, oldest first
    std::multimap<time_point, std::string> expiry_;
    std::size_t answer_bytes_ = 0;
};

} // namespace lacewingbeam

#endif
