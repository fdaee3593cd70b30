#ifndef LACEWINGBEAM_TEST_SUPPORT_HISTORY_HPP
#define LACEWINGBEAM_TEST_SUPPORT_HISTORY_HPP

#include "lacewingbeam/core.hpp"
#include "lacewingbeam/verdict.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Records the events observed by callers and backend servers during a test, and
// checks them for violations of the balancer's guarantees.
namespace fake {

using lacewingbeam::duration;
using lacewingbeam::time_point;

struct run_event {
    time_point at;
    std::string operation;
    std::string server;
    std::uint64_t send = 0; // number of the send that caused it
};

struct send_event {
    time_point at;
    std::uint64_t number = 0; // in order of sending
    unsigned attempt = 1;     // attempt number set by the caller
    std::string operation;
    bool at_most_once = false; // has a ticket or key
    bool non_idempotent = false;
    std::string to; // instance, and whether the call has a ticket or key
};

struct answer_event {
    time_point at;
    std::string operation;
    lacewingbeam::verdict outcome;
    std::optional<std::string> content;
    std::uint64_t send = 0; // number of the answered send
    time_point decided_at;  // when the owning instance decided the outcome
};

struct probe_event {
    time_point at;
    std::string server;
};

class history {
public:
    void sent(send_event event) { sends_.push_back(std::move(event)); }
    void ran(run_event event) { runs_.push_back(std::move(event)); }
    void answered(answer_event event) { answers_.push_back(std::move(event)); }
    void probed(probe_event event) { probes_.push_back(std::move(event)); }

    // Records that the server was announced as leaving.
    void left(const std::string& server, time_point at);

    void observed_version(const std::string& instance, std::uint64_t version);

    const std::vector<run_event>& runs() const { return runs_; }
    const std::vector<answer_event>& answers() const { return answers_; }
    std::size_t count_runs(const std::string& operation) const;

    // Returns the latest verdict for the operation in the format of the verdict
    // header, or "none" if it was not answered.
    std::string latest_answer(const std::string& operation) const;

    // Lists the events of an operation in chronological order, one per line.
    std::string timeline(const std::string& operation) const;

    // Describes each violation of a guarantee in one line. In any minute a
    // server may get at most `probe_rate` probes per second on average. A
    // leaving server must get no new work after `leave_bound`.
    std::vector<std::string> violations(double probe_rate,
                                        duration leave_bound) const;

private:
    void check_runs(std::vector<std::string>& out) const;
    void check_not_run(std::vector<std::string>& out) const;
    void check_answers(std::vector<std::string>& out) const;
    void check_probes(double rate, std::vector<std::string>& out) const;
    void check_leaving(duration bound, std::vector<std::string>& out) const;

    std::vector<send_event> sends_;
    std::vector<run_event> runs_;
    std::vector<answer_event> answers_;
    std::vector<probe_event> probes_;
    std::map<std::string, time_point> left_;
    std::map<std::string, std::uint64_t> versions_;
    std::vector<std::string> version_regressions_;
};

} // namespace fake

#endif
