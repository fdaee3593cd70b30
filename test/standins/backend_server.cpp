#include "json_server.hpp"

#include <algorithm>
#include <deque>
#include <iostream>
#include <tclap/CmdLine.h>

// Stands in for a backend server: a few slots, a queue, shedding, drain, cold
// start, deadlines, cancellation, load reports, and a log of every run.
namespace {

using standin::json;
using standin::milliseconds;
using standin::request_ptr;
using steady = std::chrono::steady_clock;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unavailable = 503;
constexpr int server_error = 500;
constexpr std::size_t piece_bytes = 8192;

struct behaviour {
    unsigned slots = 3;
    unsigned queue = 6;  // requests waiting before shedding
    double slowdown = 1; // factor on every work time
    bool draining = false;
    bool fail_fast = false; // answers 500 at once, looking idle
    bool lie_idle = false;  // reports no load
    int report_lag_ms = 0;  // reports are that old
    int cold_ms = 0;        // slow by cold_factor for this long
    double cold_factor = 5;
    int cut_answers = 0;    // answers to cut in the middle
    int drop_after_run = 0; // runs whose answer never comes
    int probe_cost_ms = 0;  // slot time one probe takes
};

struct load_sample {
    steady::time_point at;
    unsigned running = 0;
    unsigned queued = 0;
};

class backend_server {
public:
    explicit backend_server(behaviour start)
        : how_(start), started_(steady::now()) {}

    void handle(const request_ptr& request);

private:
    struct work {
        request_ptr request;
        milliseconds time{};
        std::size_t bytes = 0;
        std::string operation;
        steady::time_point deadline;
        bool cancelled = false;
        bool running = false;
    };
    using work_ptr = std::shared_ptr<work>;

    void control(const request_ptr& request);
    void serve_load(const request_ptr& request);
    void serve_log(const request_ptr& request) const;
    void take(const request_ptr& request);
    void refuse(const request_ptr& request, const std::string& why);
    void pump();
    void begin(const work_ptr& item);
    void complete(const work_ptr& item);
    void stream(const work_ptr& item, std::size_t sent, milliseconds pause);
    void end(const work_ptr& item);
    void note_load();
    json load() const;
    void add_reports(const request_ptr& request) const;

    behaviour how_;
    steady::time_point started_;
    unsigned running_ = 0;
    std::deque<work_ptr> waiting_;
    std::deque<load_sample> samples_;
    std::map<std::string, unsigned> runs_; // by operation
    std::uint64_t probes_ = 0;
    std::uint64_t served_ = 0;
    steady::time_point last_work_;
    bool had_work_ = false;
};

int number(const std::string& text, int fallback) {
    return text.empty() ? fallback : std::stoi(text);
}

void backend_server::handle(const request_ptr& request) {
    const auto path = request->path();
    if (path == "/control") {
        control(request);
    } else if (path == "/load") {
        serve_load(request);
    } else if (path == "/runlog") {
        serve_log(request);
    } else if (how_.fail_fast) {
        add_reports(request);
        request->reply_json(server_error, {{"title", "broken"}});
    } else {
        take(request);
    }
}

void backend_server::control(const request_ptr& request) {
    const auto body = request->body_json();
    if (request->method() != "POST" || !body.is_object()) {
        request->reply_json(bad_request, {{"title", "POST a JSON object"}});
        return;
    }
    how_.slots = body.value("slots", how_.slots);
    how_.queue = body.value("queue", how_.queue);
    how_.slowdown = body.value("slowdown", how_.slowdown);
    how_.draining = body.value("draining", how_.draining);
    how_.fail_fast = body.value("fail_fast", how_.fail_fast);
    how_.lie_idle = body.value("lie_idle", how_.lie_idle);
    how_.report_lag_ms = body.value("report_lag_ms", how_.report_lag_ms);
    how_.cut_answers = body.value("cut_answers", how_.cut_answers);
    how_.drop_after_run = body.value("drop_after_run", how_.drop_after_run);
    request->reply_json(ok, json::object());
}

void backend_server::note_load() {
    constexpr std::size_t kept = 2000;
    samples_.push_back(
        {steady::now(), running_, static_cast<unsigned>(waiting_.size())});
    if (samples_.size() > kept) {
        samples_.pop_front();
    }
}

json backend_server::load() const {
    unsigned running = running_;
    auto queued = static_cast<unsigned>(waiting_.size());
    if (how_.report_lag_ms > 0) {
        const auto wanted = steady::now() - milliseconds(how_.report_lag_ms);
        running = queued = 0;
        for (const auto& sample : samples_) {
            if (sample.at <= wanted) {
                running = sample.running;
                queued = sample.queued;
            }
        }
    }
    if (how_.lie_idle) {
        running = queued = 0;
    }
    return {{"named_metrics", {{"in_flight", running}, {"queued", queued}}}};
}

void backend_server::add_reports(const request_ptr& request) const {
    request->add_header("endpoint-load-metrics", "JSON " + load().dump());
    if (how_.draining) {
        request->add_header("lacewingbeam-draining", "1");
    }
}

void backend_server::serve_load(const request_ptr& request) {
    ++probes_;
    add_reports(request);
    const auto answer = [this, request] {
        request->reply_json(ok, load());
    };
    if (how_.probe_cost_ms > 0) {
        ++running_; // a probe takes slot time like any other work
        note_load();
        standin::after(milliseconds(how_.probe_cost_ms), [this, answer] {
            --running_;
            note_load();
            answer();
            pump();
        });
        return;
    }
    answer();
}

void backend_server::serve_log(const request_ptr& request) const {
    unsigned doubled = 0;
    unsigned total = 0;
    for (const auto& [operation, count] : runs_) {
        doubled += count > 1 ? 1 : 0;
        total += count;
    }
    json body{{"operations", runs_}, {"doubled", doubled},
              {"runs", total},       {"served", served_},
              {"probes", probes_},   {"running", running_}};
    if (had_work_) {
        const auto idle = steady::now() - last_work_;
        body["ms_since_last_start"] =
            std::chrono::duration_cast<milliseconds>(idle).count();
    }
    request->reply_json(ok, body);
}

void backend_server::refuse(const request_ptr& request,
                            const std::string& why) {
    request->add_header("lacewingbeam-not-run", why);
    add_reports(request);
    request->reply_json(unavailable, {{"title", why}});
}

// /any/path?ms=TIME&bytes=SIZE with an x-operation header for the run log.
void backend_server::take(const request_ptr& request) {
    if (how_.draining) {
        refuse(request, "draining");
        return;
    }
    if (running_ >= how_.slots && waiting_.size() >= how_.queue) {
        refuse(request, "shed");
        return;
    }
    const auto item = std::make_shared<work>();
    item->request = request;
    item->time = milliseconds(number(request->query("ms"), 2));
    item->bytes = static_cast<std::size_t>(number(request->query("bytes"), 16));
    item->operation = request->header("x-operation");
    constexpr int no_limit_ms = 3600'000;
    item->deadline =
        steady::now() +
        milliseconds(
            number(request->header("lacewingbeam-timeout-ms"), no_limit_ms));
    request->on_gone = [this, item] {
        item->cancelled = true;
        std::erase(waiting_, item);
    };
    waiting_.push_back(item);
    pump();
}

void backend_server::pump() {
    while (running_ < how_.slots && !waiting_.empty()) {
        const auto item = waiting_.front();
        waiting_.pop_front();
        if (item->deadline <= steady::now()) {
            refuse(item->request, "cancelled");
            continue;
        }
        begin(item);
    }
    note_load();
}

void backend_server::begin(const work_ptr& item) {
    ++running_;
    item->running = true;
    last_work_ = steady::now();
    had_work_ = true;
    if (!item->operation.empty()) {
        ++runs_[item->operation];
    }
    double factor = how_.slowdown;
    if (steady::now() - started_ < milliseconds(how_.cold_ms)) {
        factor *= how_.cold_factor;
    }
    const auto time = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(item->time.count()) * factor));
    if (item->bytes > piece_bytes) {
        const auto pieces = (item->bytes + piece_bytes - 1) / piece_bytes;
        add_reports(item->request);
        item->request->add_header("Content-Length",
                                  std::to_string(item->bytes));
        item->request->start(ok);
        stream(item, 0,
               milliseconds(time.count() / static_cast<std::int64_t>(pieces)));
        return;
    }
    standin::after(time, [this, item] { complete(item); });
}

void backend_server::complete(const work_ptr& item) {
    end(item);
    if (item->cancelled) {
        return;
    }
    if (how_.drop_after_run > 0) {
        --how_.drop_after_run;
        item->request->drop();
        return;
    }
    ++served_;
    add_reports(item->request);
    std::string body = item->operation.empty() ? "done" : item->operation;
    body.resize(std::max(body.size(), item->bytes), '.');
    if (how_.cut_answers > 0) {
        --how_.cut_answers;
        item->request->add_header("Content-Length",
                                  std::to_string(body.size()));
        item->request->start(ok);
        item->request->send(body.substr(0, body.size() / 2));
        standin::after(milliseconds(5), [item] { item->request->drop(); });
        return;
    }
    item->request->reply(ok, body);
}

void backend_server::stream(const work_ptr& item, std::size_t sent,
                            milliseconds pause) {
    if (item->cancelled) {
        end(item);
        return;
    }
    if (how_.cut_answers > 0 && sent > item->bytes / 2) {
        --how_.cut_answers;
        item->request->drop();
        end(item);
        return;
    }
    const auto size = std::min(piece_bytes, item->bytes - sent);
    item->request->send(std::string(size, 'x'));
    if (sent + size >= item->bytes) {
        ++served_;
        item->request->finish();
        end(item);
        return;
    }
    standin::after(pause, [this, item, sent, size, pause] {
        stream(item, sent + size, pause);
    });
}

void backend_server::end(const work_ptr& item) {
    if (item->running) {
        item->running = false;
        --running_;
        pump();
    }
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Stand-in for a backend server", ' ', "1");
        TCLAP::ValueArg<std::uint16_t> port("p", "port", "port; 0: any", false,
                                            0, "PORT", command);
        TCLAP::ValueArg<unsigned> slots("", "slots", "requests at a time",
                                        false, 3, "COUNT", command);
        TCLAP::ValueArg<unsigned> queue("", "queue", "requests waiting", false,
                                        6, "COUNT", command);
        TCLAP::ValueArg<int> cold("", "cold-ms", "cold start time", false, 0,
                                  "MS", command);
        TCLAP::ValueArg<int> probe("", "probe-cost-ms", "slot time of a probe",
                                   false, 0, "MS", command);
        command.parse(argc, argv);
        behaviour how;
        how.slots = slots.getValue();
        how.queue = queue.getValue();
        how.cold_ms = cold.getValue();
        how.probe_cost_ms = probe.getValue();
        backend_server server(how);
        const auto bound =
            standin::serve(port.getValue(), [&](const request_ptr& request) {
                server.handle(request);
            });
        standin::run(bound);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return 1;
    }
}
