#include "json_server.hpp"

#include <algorithm>
#include <deque>
#include <iostream>
#include <tclap/CmdLine.h>

// Stand-in for a backend server, with a fixed number of slots, a bounded queue,
// load shedding, draining, cold start, deadlines, cancellation, load reports
// and a count of the runs of every operation.
namespace {

using standin::json;
using standin::milliseconds;
using standin::request_ptr;
using steady = std::chrono::steady_clock;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unavailable = 503;
constexpr int server_error = 500;
constexpr std::size_t chunk_bytes = 8192;

struct server_settings {
    unsigned slots = 3;
    unsigned queue = 6;  // requests queued before shedding
    double slowdown = 1; // multiplies every processing time
    bool draining = false;
    bool fail_fast = false; // answers 500 at once, so it looks idle
    bool lie_idle = false;  // reports zero load
    int report_lag_ms = 0;  // age of the load in reports
    int cold_ms = 0;        // slowed by cold_factor for so long after the start
    double cold_factor = 5;
    int cut_answers = 0;    // number of responses to truncate
    int drop_after_run = 0; // number of runs to end by closing the connection
    int probe_cost_ms = 0;  // time that a probe occupies a slot
};

struct load_sample {
    steady::time_point at;
    unsigned running = 0;
    unsigned queued = 0;
};

class backend_server {
public:
    explicit backend_server(server_settings settings)
        : settings_(settings), started_(steady::now()) {}

    void handle(const request_ptr& request);

private:
    struct work_item {
        request_ptr request;
        milliseconds time{};
        std::size_t bytes = 0;
        std::string operation;
        steady::time_point deadline;
        bool cancelled = false;
        bool running = false;
    };
    using work_item_ptr = std::shared_ptr<work_item>;

    void control(const request_ptr& request);
    void serve_load(const request_ptr& request);
    void serve_log(const request_ptr& request) const;
    void accept_work(const request_ptr& request);
    void refuse(const request_ptr& request, const std::string& reason);
    void start_queued();
    void start_work(const work_item_ptr& item);
    void finish_work(const work_item_ptr& item);
    void send_chunks(const work_item_ptr& item, std::size_t sent,
                     milliseconds pause);
    void release_slot(const work_item_ptr& item);
    void record_load();
    json reported_load() const;
    void add_load_headers(const request_ptr& request) const;

    server_settings settings_;
    steady::time_point started_;
    unsigned running_ = 0;
    std::deque<work_item_ptr> queue_;
    std::deque<load_sample> samples_;
    std::map<std::string, unsigned> runs_; // keyed by operation
    std::uint64_t probes_ = 0;
    std::uint64_t served_ = 0;
    steady::time_point last_start_;
    bool has_started_work_ = false;
};

int parse_int(const std::string& text, int fallback) {
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
    } else if (settings_.fail_fast) {
        add_load_headers(request);
        request->reply_json(server_error, {{"title", "broken"}});
    } else {
        accept_work(request);
    }
}

void backend_server::control(const request_ptr& request) {
    const auto body = request->body_json();
    if (request->method() != "POST" || !body.is_object()) {
        request->reply_json(bad_request, {{"title", "POST a JSON object"}});
        return;
    }
    settings_.slots = body.value("slots", settings_.slots);
    settings_.queue = body.value("queue", settings_.queue);
    settings_.slowdown = body.value("slowdown", settings_.slowdown);
    settings_.draining = body.value("draining", settings_.draining);
    settings_.fail_fast = body.value("fail_fast", settings_.fail_fast);
    settings_.lie_idle = body.value("lie_idle", settings_.lie_idle);
    settings_.report_lag_ms =
        body.value("report_lag_ms", settings_.report_lag_ms);
    settings_.cut_answers = body.value("cut_answers", settings_.cut_answers);
    settings_.drop_after_run =
        body.value("drop_after_run", settings_.drop_after_run);
    request->reply_json(ok, json::object());
}

void backend_server::record_load() {
    constexpr std::size_t max_samples = 2000;
    samples_.push_back(
        {steady::now(), running_, static_cast<unsigned>(queue_.size())});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

json backend_server::reported_load() const {
    unsigned running = running_;
    auto queued = static_cast<unsigned>(queue_.size());
    if (settings_.report_lag_ms > 0) {
        const auto reported_at =
            steady::now() - milliseconds(settings_.report_lag_ms);
        running = queued = 0;
        for (const auto& sample : samples_) {
            if (sample.at <= reported_at) {
                running = sample.running;
                queued = sample.queued;
            }
        }
    }
    if (settings_.lie_idle) {
        running = queued = 0;
    }
    return {{"named_metrics", {{"in_flight", running}, {"queued", queued}}}};
}

void backend_server::add_load_headers(const request_ptr& request) const {
    request->add_header("endpoint-load-metrics",
                        "JSON " + reported_load().dump());
    if (settings_.draining) {
        request->add_header("lacewingbeam-draining", "1");
    }
}

void backend_server::serve_load(const request_ptr& request) {
    ++probes_;
    add_load_headers(request);
    const auto reply = [this, request] {
        request->reply_json(ok, reported_load());
    };
    if (settings_.probe_cost_ms > 0) {
        ++running_; // a probe occupies a slot like any other request
        record_load();
        standin::run_after(milliseconds(settings_.probe_cost_ms),
                           [this, reply] {
                               --running_;
                               record_load();
                               reply();
                               start_queued();
                           });
        return;
    }
    reply();
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
    if (has_started_work_) {
        const auto idle = steady::now() - last_start_;
        body["ms_since_last_start"] =
            std::chrono::duration_cast<milliseconds>(idle).count();
    }
    request->reply_json(ok, body);
}

void backend_server::refuse(const request_ptr& request,
                            const std::string& reason) {
    request->add_header("lacewingbeam-not-run", reason);
    add_load_headers(request);
    request->reply_json(unavailable, {{"title", reason}});
}

// Handles /any/path?ms=TIME&bytes=SIZE. The x-operation header names the
// operation in the run log.
void backend_server::accept_work(const request_ptr& request) {
    if (settings_.draining) {
        refuse(request, "draining");
        return;
    }
    if (running_ >= settings_.slots && queue_.size() >= settings_.queue) {
        refuse(request, "shed");
        return;
    }
    const auto item = std::make_shared<work_item>();
    item->request = request;
    item->time = milliseconds(parse_int(request->query("ms"), 2));
    item->bytes =
        static_cast<std::size_t>(parse_int(request->query("bytes"), 16));
    item->operation = request->header("x-operation");
    constexpr int no_limit_ms = 3600'000;
    item->deadline =
        steady::now() +
        milliseconds(
            parse_int(request->header("lacewingbeam-timeout-ms"), no_limit_ms));
    request->on_disconnect = [this, item] {
        item->cancelled = true;
        std::erase(queue_, item);
    };
    queue_.push_back(item);
    start_queued();
}

void backend_server::start_queued() {
    while (running_ < settings_.slots && !queue_.empty()) {
        const auto item = queue_.front();
        queue_.pop_front();
        if (item->deadline <= steady::now()) {
            refuse(item->request, "cancelled");
            continue;
        }
        start_work(item);
    }
    record_load();
}

void backend_server::start_work(const work_item_ptr& item) {
    ++running_;
    item->running = true;
    last_start_ = steady::now();
    has_started_work_ = true;
    if (!item->operation.empty()) {
        ++runs_[item->operation];
    }
    double factor = settings_.slowdown;
    if (steady::now() - started_ < milliseconds(settings_.cold_ms)) {
        factor *= settings_.cold_factor;
    }
    const auto time = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(item->time.count()) * factor));
    if (item->bytes > chunk_bytes) {
        const auto chunks = (item->bytes + chunk_bytes - 1) / chunk_bytes;
        add_load_headers(item->request);
        item->request->add_header("Content-Length",
                                  std::to_string(item->bytes));
        item->request->start_reply(ok);
        send_chunks(
            item, 0,
            milliseconds(time.count() / static_cast<std::int64_t>(chunks)));
        return;
    }
    standin::run_after(time, [this, item] { finish_work(item); });
}

void backend_server::finish_work(const work_item_ptr& item) {
    release_slot(item);
    if (item->cancelled) {
        return;
    }
    if (settings_.drop_after_run > 0) {
        --settings_.drop_after_run;
        item->request->close_connection();
        return;
    }
    ++served_;
    add_load_headers(item->request);
    std::string body = item->operation.empty() ? "done" : item->operation;
    body.resize(std::max(body.size(), item->bytes), '.');
    if (settings_.cut_answers > 0) {
        --settings_.cut_answers;
        item->request->add_header("Content-Length",
                                  std::to_string(body.size()));
        item->request->start_reply(ok);
        item->request->send_chunk(body.substr(0, body.size() / 2));
        standin::run_after(milliseconds(5),
                           [item] { item->request->close_connection(); });
        return;
    }
    item->request->reply(ok, body);
}

void backend_server::send_chunks(const work_item_ptr& item, std::size_t sent,
                                 milliseconds pause) {
    if (item->cancelled) {
        release_slot(item);
        return;
    }
    if (settings_.cut_answers > 0 && sent > item->bytes / 2) {
        --settings_.cut_answers;
        item->request->close_connection();
        release_slot(item);
        return;
    }
    const auto size = std::min(chunk_bytes, item->bytes - sent);
    item->request->send_chunk(std::string(size, 'x'));
    if (sent + size >= item->bytes) {
        ++served_;
        item->request->finish_reply();
        release_slot(item);
        return;
    }
    standin::run_after(pause, [this, item, sent, size, pause] {
        send_chunks(item, sent + size, pause);
    });
}

void backend_server::release_slot(const work_item_ptr& item) {
    if (item->running) {
        item->running = false;
        --running_;
        start_queued();
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
        server_settings settings;
        settings.slots = slots.getValue();
        settings.queue = queue.getValue();
        settings.cold_ms = cold.getValue();
        settings.probe_cost_ms = probe.getValue();
        backend_server server(settings);
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
