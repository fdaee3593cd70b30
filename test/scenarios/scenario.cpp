#include "scenario.hpp"

#include "fake_cluster.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <sstream>

namespace scenario {

namespace {

using lacewingbeam::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// In all scenarios a probe costs 100 ms and probes may use a tenth of one
// slot: one probe per second from all instances together.
constexpr double probes_per_second = 1;

// A leaving server must get no new work after this time.
constexpr duration leaving_time_limit = seconds(5);

struct step {
    int line = 0;
    duration at{};
    std::vector<std::string> words; // verb first
};

struct script_state {
    fake::cluster cluster{1};
    std::map<std::string, std::string> tickets;
    result outcome;
    std::string file;
};

[[noreturn]] void reject(const std::string& file, int line,
                         const std::string& problem) {
    throw script_error(file + ":" + std::to_string(line) + ": " + problem);
}

std::vector<std::string> split(const std::string& line) {
    std::istringstream input(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; input >> word;) {
        words.push_back(word);
    }
    return words;
}

// Parses a time such as "250ms" or "3s"; returns nothing if it is malformed.
std::optional<duration> parse_time(const std::string& text) {
    long value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const std::string unit(parsed.ptr, end);
    if (parsed.ec != std::errc{} || value < 0) {
        return std::nullopt;
    }
    if (unit == "ms") {
        return milliseconds(value);
    }
    if (unit == "s") {
        return seconds(value);
    }
    return std::nullopt;
}

std::vector<step> parse(std::string_view text, const std::string& file) {
    std::istringstream input{std::string(text)};
    std::vector<step> steps;
    int line_number = 0;
    for (std::string line; std::getline(input, line);) {
        ++line_number;
        auto words = split(line);
        if (words.empty()) {
            continue;
        }
        const auto time = parse_time(words[0]);
        if (!time || words.size() < 2) {
            reject(file, line_number,
                   "expected TIME VERB ..., got \"" + line + "\"");
        }
        if (!steps.empty() && *time < steps.back().at) {
            reject(file, line_number, "step is earlier than the previous one");
        }
        words.erase(words.begin());
        steps.push_back({line_number, *time, std::move(words)});
    }
    return steps;
}

// Reads a step's arguments in order.
class arguments {
public:
    arguments(const step& from, const std::string& file)
        : from_(from), file_(file) {}

    std::string next() {
        if (position_ >= from_.words.size()) {
            reject(file_, from_.line, "missing argument");
        }
        return from_.words[position_++];
    }

    bool more() const { return position_ < from_.words.size(); }

    unsigned next_number() {
        const auto text = next();
        unsigned value = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, value);
        if (parsed.ec != std::errc{} || parsed.ptr != end) {
            reject(file_, from_.line, "\"" + text + "\" is not a number");
        }
        return value;
    }

    duration next_time() {
        const auto text = next();
        const auto time = parse_time(text);
        if (!time) {
            reject(file_, from_.line,
                   "\"" + text + "\" is not a time such as 250ms or 3s");
        }
        return *time;
    }

    std::vector<lacewingbeam::cell> rest_as_cells() {
        std::vector<lacewingbeam::cell> cells;
        while (more()) {
            const auto word = next();
            const auto equals = word.find('=');
            if (equals == std::string::npos) {
                reject(file_, from_.line,
                       "expected CELL=VALUE, got \"" + word + "\"");
            }
            cells.push_back({word.substr(0, equals), word.substr(equals + 1)});
        }
        return cells;
    }

    std::string rest() {
        std::string text;
        while (more()) {
            text += (text.empty() ? "" : " ") + next();
        }
        return text;
    }

    [[noreturn]] void fail(const std::string& problem) const {
        reject(file_, from_.line, problem);
    }

private:
    const step& from_;
    const std::string& file_;
    std::size_t position_ = 1;
};

using verb = std::function<void(script_state&, arguments&, int line)>;

void expect(script_state& state, int line, bool met,
            const std::string& problem) {
    ++state.outcome.expectations;
    if (!met) {
        state.outcome.failures.push_back(state.file + ":" +
                                         std::to_string(line) + ": " + problem);
    }
}

void run_send(script_state& state, arguments& words, int) {
    fake::send_options options;
    options.operation = words.next();
    if (words.next() != "to") {
        words.fail("expected send OPERATION to INSTANCE [NAME VALUE]...");
    }
    const auto target = words.next();
    while (words.more()) {
        const auto name = words.next();
        if (name == "ticket") {
            options.ticket = state.tickets[words.next()];
        } else if (name == "key") {
            options.key = words.next();
        } else if (name == "attempt") {
            options.attempt = words.next_number();
        } else if (name == "method") {
            options.method = words.next();
        } else if (name == "within") {
            options.time_left = words.next_time();
        } else {
            words.fail("unknown option \"" + name + "\"");
        }
    }
    state.cluster.send(target, options);
}

void run_platform(script_state& state, arguments& words, int) {
    auto& platform = state.cluster.platform();
    const auto change = words.next();
    if (change == "down") {
        platform.down = true;
    } else if (change == "up") {
        platform.down = false;
    } else if (change == "lose-answers") {
        platform.lose_answers = words.next_number();
    } else if (change == "lose-requests") {
        platform.lose_requests = words.next_number();
    } else if (change == "late-writes") {
        platform.late_writes = words.next_number();
    } else if (change == "read-lag") {
        platform.read_lag = words.next_time();
    } else if (change == "delay") {
        platform.delay = words.next_time();
    } else {
        words.fail("unknown platform state \"" + change + "\"");
    }
}

void run_server_state(script_state& state, arguments& words, int) {
    auto& server = state.cluster.server(words.next());
    const auto change = words.next();
    if (change == "normal") {
        server = {};
    } else if (change == "draining") {
        server.draining = true;
    } else if (change == "refusing") {
        server.refusing_connections = true;
    } else if (change == "silent") {
        server.silent = true;
    } else if (change == "work") {
        server.work = words.next_time();
    } else if (change == "shed") {
        server.shed_next = words.next_number();
    } else if (change == "lose") {
        server.lose_next = words.next_number();
    } else if (change == "cut") {
        server.cut_next = words.next_number();
    } else {
        words.fail("unknown backend server state \"" + change + "\"");
    }
}

void expect_answer(script_state& state, arguments& words, int line) {
    const auto operation = words.next();
    const auto expected = words.rest();
    const auto actual = state.cluster.record().latest_answer(operation);
    expect(state, line, actual.starts_with(expected),
           operation + " got \"" + actual + "\", expected \"" + expected +
               "\"");
}

void expect_runs(script_state& state, arguments& words, int line) {
    const auto operation = words.next();
    const auto expected = words.next_number();
    const auto actual = state.cluster.record().count_runs(operation);
    expect(state, line, actual == expected,
           operation + " ran " + std::to_string(actual) + " times, expected " +
               std::to_string(expected));
}

void expect_current(script_state& state, arguments& words, int line) {
    const auto name = words.next();
    const auto actual = state.cluster.instance(name).table().version();
    expect(state, line, actual == state.cluster.table_version(),
           name + " has table version " + std::to_string(actual) + " of " +
               std::to_string(state.cluster.table_version()));
}

void expect_ready(script_state& state, const std::string& name, bool expected,
                  int line) {
    const bool actual =
        state.cluster.instance(name).status(state.cluster.now()).ready;
    expect(state, line, actual == expected,
           name + (actual ? " is ready" : " is not ready"));
}

void expect_stopped(script_state& state, const std::string& name, bool expected,
                    int line) {
    const bool actual = !state.cluster.is_running(name);
    expect(state, line, actual == expected,
           name + (actual ? " has stopped" : " is still running"));
}

const std::map<std::string, verb>& verbs() {
    static const std::map<std::string, verb> all{
        {"instance",
         [](auto& s, auto& w, int) {
             s.cluster.add_instance(w.next());
         }},
        {"service",
         [](auto& s, auto& w, int) {
             const auto key = w.next();
             s.cluster.edit(key, w.rest_as_cells());
         }},
        {"server",
         [](auto& s, auto& w, int) {
             const auto service = w.next();
             while (w.more()) {
                 s.cluster.add_server(service, w.next());
             }
         }},
        {"edit",
         [](auto& s, auto& w, int) {
             const auto key = w.next();
             s.cluster.edit(key, w.rest_as_cells());
         }},
        {"ticket",
         [](auto& s, auto& w, int) {
             const auto name = w.next();
             if (w.next() != "from") {
                 w.fail("expected ticket NAME from INSTANCE");
             }
             s.tickets[name] = s.cluster.mint(w.next());
         }},
        {"send", run_send},
        {"hang-up",
         [](auto& s, auto& w, int) {
             s.cluster.disconnect_callers(w.next());
         }},
        {"kill",
         [](auto& s, auto& w, int) {
             const auto name = w.next();
             s.cluster.instance(name); // throws if there is no such instance
             s.cluster.kill_instance(name);
         }},
        {"stop",
         [](auto& s, auto& w, int) {
             s.cluster.stop_instance(w.next());
         }},
        {"pause",
         [](auto& s, auto& w, int) {
             s.cluster.pause_instance(w.next());
         }},
        {"wake",
         [](auto& s, auto& w, int) {
             s.cluster.resume_instance(w.next());
         }},
        {"cut",
         [](auto& s, auto& w, int) {
             const auto a = w.next();
             s.cluster.cut(a, w.next());
         }},
        {"heal",
         [](auto& s, auto& w, int) {
             const auto a = w.next();
             s.cluster.heal(a, w.next());
         }},
        {"cut-platform",
         [](auto& s, auto& w, int) {
             s.cluster.cut_platform(w.next());
         }},
        {"heal-platform",
         [](auto& s, auto& w, int) {
             s.cluster.heal_platform(w.next());
         }},
        {"platform", run_platform},
        {"server-state", run_server_state},
        {"list-leaving",
         [](auto& s, auto& w, int) {
             s.cluster.list_leaving(w.next());
         }},
        {"expect", expect_answer},
        {"expect-runs", expect_runs},
        {"expect-current", expect_current},
        {"expect-ready",
         [](auto& s, auto& w, int line) {
             expect_ready(s, w.next(), true, line);
         }},
        {"expect-not-ready",
         [](auto& s, auto& w, int line) {
             expect_ready(s, w.next(), false, line);
         }},
        {"expect-stopped",
         [](auto& s, auto& w, int line) {
             expect_stopped(s, w.next(), true, line);
         }},
        {"expect-running",
         [](auto& s, auto& w, int line) {
             expect_stopped(s, w.next(), false, line);
         }},
    };
    return all;
}

void run_step(script_state& state, const step& current) {
    const auto found = verbs().find(current.words[0]);
    if (found == verbs().end()) {
        reject(state.file, current.line,
               "unknown verb \"" + current.words[0] + "\"");
    }
    arguments words(current, state.file);
    try {
        found->second(state, words, current.line);
    } catch (const std::out_of_range&) {
        reject(state.file, current.line, "no such instance or backend server");
    }
    if (words.more()) {
        reject(state.file, current.line, "too many arguments");
    }
}

} // namespace

result run_script(std::string_view text, const std::string& name) {
    const auto steps = parse(text, name);
    script_state state;
    state.file = name;
    const auto start = state.cluster.now();
    for (const auto& current : steps) {
        state.cluster.run_for(start + current.at - state.cluster.now());
        run_step(state, current);
    }
    for (const auto& problem : state.cluster.record().violations(
             probes_per_second, leaving_time_limit)) {
        state.outcome.failures.push_back(name + ": " + problem);
    }
    return state.outcome;
}

result run_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw script_error(path + ": cannot read file");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return run_script(content.str(), path);
}

} // namespace scenario
