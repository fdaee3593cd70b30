#ifndef LACEWINGBEAM_TEST_SUPPORT_HISTORY_HPP
#define LACEWINGBEAM_TEST_SUPPORT_HISTORY_HPP

#include "lacewingbeam/core.hpp"
#include "lacewingbeam/verdict.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// What happened, told by callers and backend servers alone, and the rules it
// must obey.
namespace fake {

using lacewingbeam::duration;
using lacewingbeam::time_point;

struct run_event {
    time_point at;
    std::string operation;
    std::string server;
    std::uint64_t send = 0; // number of the send that it is due to
};

struct send_event {
    time_point at;
    std::uint64_t number = 0; // in order of sending
    unsigned attempt = 1;     // as the caller counts
    std::string operation;
    bool at_most_once = false; // bears a ticket or key
    bool non_idempotent = false;
    std::string to; // instance and what the call bears
};

struct answer_event {
    time_point at;
    std::string operation;
    lacewingbeam::verdict outcome;
    std::optional<std::string> content;
    std::uint64_t send = 0; // number of the send that is answered
    time_point decided_at;  // when the deciding instance gave the answer
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
    void left(const std::string& server, time_point at);
    void observed_version(const std::string& instance, std::uint64_t version);

    const std::vector<run_event>& runs() const { return runs_; }
    const std::vector<answer_event>& answers() const { return answers_; }
    std::size_t count_runs(const std::string& operation) const;

    // The kind and reason of the latest answer for an operation, as in the
    // verdict header; "none" if there is none.
    std::string latest_answer(const std::string& operation) const;

    // What happened to one operation, in order of time, a line each.
    std::string timeline(const std::string& operation) const;

    // Everything that breaks a promise, one line each; empty if all is well.
    // A server may get `probe_rate` probes a second, over each minute;
    // a server that left gets no new work after `leave_bound`.
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
