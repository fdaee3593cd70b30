#include "../common/testbed.hpp"

// A service's only backend server crashes while routers send it requests.
// Requests to another service, whose servers are sound, must still be answered.

using namespace testbed;

namespace {

constexpr int router_count = 6;
constexpr int callers_of_small = 4; // per router
constexpr int callers_of_sound = 8; // per router, on kept connections
constexpr double pause_ms = 15;     // between requests of a caller of "small"
constexpr double crash_at_s = 6;
constexpr double end_at_s = 12;
constexpr int allowed_losses = 3; // LOST: "more than three times"

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    record log(args.folder + "/record.txt");
    store rows;
    registrar registrations(rows);
    backend small(log, "small-1", "small", 16, 10);
    backend sound1(log, "sound-1", "sound", 64, 400);
    backend sound2(log, "sound-2", "sound", 64, 400);
    for (auto* item : {&small, &sound1, &sound2}) {
        registrations.add(*item);
    }
    rows.put(
        "op", "config",
        make_config(1, {{"r-small", "/small/", "small", "unsafe"},
                        {"r-sound", "/sound/", "sound", "safe", 3000, 2000}}));
    std::vector<std::unique_ptr<router>> routers;
    std::string seeds;
    for (int i = 0; i < router_count; ++i) {
        routers.push_back(std::make_unique<router>("router" + std::to_string(i),
                                                   args.temporary));
        seeds += (i == 0 ? "" : ",") + routers.back()->peers();
    }
    for (auto& item : routers) {
        item->write_settings(rows.address(), seeds, true);
        item->start();
    }
    for (auto& item : routers) {
        if (!eventually([&] { return item->is_ready(); })) {
            log.note("a router did not become ready");
            finish(routers, exit_not_run);
        }
    }
    const double begin = now_s();
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> lost{0}; // passed on, then closed without an answer
    std::vector<std::thread> threads;
    for (int r = 0; r < router_count; ++r) {
        for (int c = 0; c < callers_of_small; ++c) {
            threads.emplace_back([&, r, c] {
                client caller(log, *routers[r]);
                for (int i = 0; !stop; ++i) {
                    caller.request("POST", "/small/work",
                                   "small-" + std::to_string(r) + "-" +
                                       std::to_string(c) + "-" +
                                       std::to_string(i),
                                   2000, "order");
                    sleep_ms(pause_ms);
                }
            });
        }
        for (int c = 0; c < callers_of_sound; ++c) {
            threads.emplace_back([&, r, c] {
                client caller(log, *routers[r]);
                bool kept = false; // the connection has had an answer
                for (int i = 0; !stop; ++i) {
                    const auto id = "sound-" + std::to_string(r) + "-" +
                                    std::to_string(c) + "-" + std::to_string(i);
                    const bool was_kept = kept && caller.connected();
                    const auto result =
                        caller.request("GET", "/sound/page", id, 2500);
                    kept = result.how == "answer";
                    answered += result.status == 200 ? 1 : 0;
                    const bool passed_on =
                        sound1.runs(id) + sound2.runs(id) > 0;
                    if (result.how == "closed" && was_kept && passed_on) {
                        ++lost;
                        log.line("lost " + id +
                                 ": it was passed on, and its "
                                 "connection was closed");
                    }
                    if (result.how == "no connection") {
                        sleep_ms(100);
                    }
                }
            });
        }
    }
    sleep_ms(crash_at_s * 1000);
    if (args.trouble) {
        log.note("the only server of \"small\" crashes");
        registrations.stop_reporting(small);
        small.crash();
    }
    int ended = 0;
    while (now_s() - begin < end_at_s) {
        sleep_ms(20);
        int count = 0;
        for (auto& item : routers) {
            count += item->ended() ? 1 : 0;
        }
        if (count != ended) {
            ended = count;
            log.note("routers that ended by themselves: " +
                     std::to_string(ended));
        }
    }
    stop = true;
    for (auto& item : threads) {
        item.join();
    }
    for (auto& item : routers) {
        log.note(item->name() + ": " + item->ended().value_or("running"));
    }
    log.note("answered by \"sound\": " + std::to_string(answered) +
             ", lost: " + std::to_string(lost));
    if (answered == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, lost > allowed_losses ? exit_broken : exit_held);
}
