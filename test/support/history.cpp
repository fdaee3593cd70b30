#include "history.hpp"

#include <algorithm>
#include <deque>

namespace fake {

namespace {

using lacewingbeam::completed;
using lacewingbeam::not_run;

std::string at_text(time_point at) {
    return " at " + std::to_string(lacewingbeam::to_ms(at.time_since_epoch())) +
           " ms";
}

} // namespace

void history::left(const std::string& server, time_point at) {
    left_.emplace(server, at);
}

void history::observed_version(const std::string& instance,
                               std::uint64_t version) {
    auto& last = versions_[instance];
    if (version < last) {
        version_regressions_.push_back(
            "version decreased: " + instance + " went from version " +
            std::to_string(last) + " to " + std::to_string(version));
    }
    last = version;
}

std::size_t history::count_runs(const std::string& operation) const {
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), [&](const run_event& run) {
            return run.operation == operation;
        }));
}

std::string history::latest_answer(const std::string& operation) const {
    for (auto i = answers_.rbegin(); i != answers_.rend(); ++i) {
        if (i->operation == operation) {
            return to_string(i->outcome);
        }
    }
    return "none";
}

std::string history::timeline(const std::string& operation) const {
    std::multimap<time_point, std::string> lines;
    for (const auto& send : sends_) {
        if (send.operation == operation) {
            lines.emplace(send.at, "send " + std::to_string(send.number) +
                                       " to " + send.to);
        }
    }
    for (const auto& run : runs_) {
        if (run.operation == operation) {
            lines.emplace(run.at, "ran on " + run.server + " for send " +
                                      std::to_string(run.send));
        }
    }
    for (const auto& answer : answers_) {
        if (answer.operation == operation) {
            lines.emplace(answer.at, "send " + std::to_string(answer.send) +
                                         " answered " +
                                         to_string(answer.outcome));
        }
    }
    std::string text;
    for (const auto& [at, line] : lines) {
        text += operation + at_text(at) + ": " + line + "\n";
    }
    return text;
}

std::vector<std::string> history::violations(double probe_rate,
                                             duration leave_bound) const {
    auto found = version_regressions_;
    check_runs(found);
    check_not_run(found);
    check_answers(found);
    check_probes(probe_rate, found);
    check_leaving(leave_bound, found);
    return found;
}

// A non-idempotent operation may run at most once for all sends with its ticket
// or key, and at most once for each send without.
void history::check_runs(std::vector<std::string>& out) const {
    std::map<std::string, std::size_t> allowed;
    for (const auto& send : sends_) {
        if (!send.non_idempotent) {
            continue;
        }
        auto& count = allowed[send.operation];
        count = send.at_most_once ? 1 : count + 1;
    }
    for (const auto& [operation, count] : allowed) {
        const auto runs = count_runs(operation);
        if (runs > count) {
            out.push_back("duplicate run: " + operation + " ran " +
                          std::to_string(runs) + " times");
        }
    }
}

// A not_run verdict is true only if the operation had not run when the verdict
// was decided, and if neither this send nor another one with the same or a
// lower attempt number ever runs it.
void history::check_not_run(std::vector<std::string>& out) const {
    std::map<std::uint64_t, const send_event*> sends;
    for (const auto& send : sends_) {
        sends.emplace(send.number, &send);
    }
    std::multimap<std::string, const run_event*> runs;
    for (const auto& run : runs_) {
        runs.emplace(run.operation, &run);
    }
    for (const auto& answer : answers_) {
        if (!std::holds_alternative<not_run>(answer.outcome)) {
            continue;
        }
        const auto& answered_send = *sends.at(answer.send);
        const auto [first, last] = runs.equal_range(answer.operation);
        for (auto i = first; i != last; ++i) {
            const auto& run = *i->second;
            const bool before = run.at <= answer.decided_at;
            const bool covered =
                run.send == answer.send ||
                (answered_send.at_most_once &&
                 sends.at(run.send)->attempt <= answered_send.attempt);
            if (before || covered) {
                out.push_back("false not_run: " + answer.operation + " " +
                              to_string(answer.outcome) + at_text(answer.at) +
                              ", ran" + at_text(run.at));
            }
        }
    }
}

void history::check_answers(std::vector<std::string>& out) const {
    for (const auto& answer : answers_) {
        if (!std::holds_alternative<completed>(answer.outcome)) {
            continue;
        }
        if (!answer.content || *answer.content != answer.operation) {
            out.push_back("wrong answer: " + answer.operation + " got \"" +
                          answer.content.value_or("") + "\"" +
                          at_text(answer.at));
        }
    }
}

// No sliding window of one minute may contain more probes than the budget
// allows.
void history::check_probes(double rate, std::vector<std::string>& out) const {
    constexpr duration window = std::chrono::seconds(60);
    const double allowed = rate * std::chrono::duration<double>(window).count();
    std::map<std::string, std::deque<time_point>> recent;
    for (const auto& probe : probes_) {
        auto& times = recent[probe.server];
        times.push_back(probe.at);
        while (times.front() + window <= probe.at) {
            times.pop_front();
        }
        if (static_cast<double>(times.size()) > allowed) {
            out.push_back("probe rate exceeded: " + probe.server + " got " +
                          std::to_string(times.size()) +
                          " probes within a minute" + at_text(probe.at));
            return;
        }
    }
}

void history::check_leaving(duration bound,
                            std::vector<std::string>& out) const {
    for (const auto& run : runs_) {
        const auto left = left_.find(run.server);
        if (left != left_.end() && run.at > left->second + bound) {
            out.push_back("work after leaving: " + run.server + " got " +
                          run.operation + at_text(run.at) + ", left service" +
                          at_text(left->second));
        }
    }
}

} // namespace fake
