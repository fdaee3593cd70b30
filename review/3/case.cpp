#include "../common/testbed.hpp"

// A router is stopped with SIGTERM while its callers' requests wait for a slot
// at a busy backend server. Each request that it has read must be answered.

using namespace testbed;

namespace {

constexpr unsigned slots = 2;
constexpr int work_ms = 200;          // the server takes 10 requests a second
constexpr int requests_per_s = 15;    // 1.5 times as many
constexpr int time_limit_ms = 4000;   // of the route and of the callers
constexpr double load_before_s = 5;   // before SIGTERM
constexpr double load_after_s = 2.9;  // callers use open connections
constexpr double grace_s = 6;         // until SIGKILL
constexpr double loss_slack_s = 0.2;  // lossSlackMs
constexpr double excused_until_s = 3; // for requests that a server works at

struct sent_request {
    std::string id;
    double sent_at = 0;
    double ended_at = 0;
    outcome result;
};

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    record log(args.folder + "/record.txt");
    store rows;
    registrar registrations(rows);
    backend server(log, "dispatch-1", "dispatch", slots, work_ms);
    registrations.add(server);
    rows.put("op", "config",
             make_config(1, {{"r-dispatch", "/dispatch/", "dispatch", "unsafe",
                              time_limit_ms, 400}}));
    auto routers = make_routers(2, args.temporary);
    start_all(routers, rows, log);
    auto& stopped = *routers[0];
    const int count =
        static_cast<int>((load_before_s + load_after_s) * requests_per_s);
    std::vector<sent_request> requests(static_cast<std::size_t>(count));
    std::vector<std::unique_ptr<client>> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<client>(log, stopped));
        if (!callers.back()->connect()) {
            log.note("no connection");
            finish(routers, exit_not_run);
        }
    }
    const double begin = now_s();
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i) {
        threads.emplace_back([&, i] {
            auto& item = requests[static_cast<std::size_t>(i)];
            item.id = "order-" + std::to_string(i);
            const double at = begin + static_cast<double>(i) / requests_per_s;
            sleep_ms(std::max(0.0, at - now_s()) * 1000);
            item.sent_at = now_s();
            item.result = callers[static_cast<std::size_t>(i)]->request(
                "POST", "/dispatch/crew", item.id, time_limit_ms, "order");
            item.ended_at = now_s();
        });
    }
    sleep_ms(load_before_s * 1000);
    const double stop_at = now_s();
    if (args.trouble) {
        log.note("SIGTERM to " + stopped.name());
        stopped.signal(SIGTERM);
    }
    std::thread platform([&] {
        sleep_ms(grace_s * 1000);
        if (args.trouble && !stopped.ended()) {
            log.note("SIGKILL to " + stopped.name());
            stopped.signal(SIGKILL);
        }
    });
    for (auto& item : threads) {
        item.join();
    }
    platform.join();
    std::map<std::string, int> totals;
    int lost = 0;
    for (const auto& item : requests) {
        ++totals[item.result.how + " " + std::to_string(item.result.status)];
        const bool cut = item.result.how == "closed" &&
                         item.ended_at - item.sent_at > loss_slack_s;
        // A request that a server works at when the grace time ends is excused.
        const bool excused = server.runs(item.id) > 0 &&
                             item.sent_at <= stop_at + excused_until_s;
        if (cut && !excused) {
            ++lost;
            char text[160];
            std::snprintf(text, sizeof text,
                          "lost %s: sent %.3f s after SIGTERM, closed without "
                          "an answer after %.3f s, ran %u times",
                          item.id.c_str(), item.sent_at - stop_at,
                          item.ended_at - item.sent_at, server.runs(item.id));
            log.note(text);
        }
    }
    for (const auto& [how, number] : totals) {
        log.note(how + ": " + std::to_string(number));
    }
    log.note(stopped.name() + ": " + stopped.ended().value_or("running"));
    if (totals["answer 200"] == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, lost > 0 ? exit_broken : exit_held);
}
