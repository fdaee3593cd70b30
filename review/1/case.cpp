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
    auto routers = make_routers(router_count, args.temporary);
    start_all(routers, rows, log);
    const double begin = now_s();
    kept_callers sound_callers(log, {&sound1, &sound2});
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (auto& target : routers) {
        sound_callers.start(*target, callers_of_sound, "/sound/page");
        for (int c = 0; c < callers_of_small; ++c) {
            threads.emplace_back([&, c] {
                client caller(log, *target);
                for (int i = 0; !stop; ++i) {
                    caller.request("POST", "/small/work",
                                   "small-" + target->name() + "-" +
                                       std::to_string(c) + "-" +
                                       std::to_string(i),
                                   2000, "order");
                    sleep_ms(pause_ms);
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
    while (now_s() - begin < end_at_s) {
        sleep_ms(20);
    }
    stop = true;
    for (auto& item : threads) {
        item.join();
    }
    sound_callers.stop();
    for (auto& item : routers) {
        log.note(item->name() + ": " + item->ended().value_or("running"));
    }
    log.note(
        "answered by \"sound\": " + std::to_string(sound_callers.answered()) +
        ", lost: " + std::to_string(sound_callers.lost()));
    if (sound_callers.answered() == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers,
           sound_callers.lost() > allowed_losses ? exit_broken : exit_held);
}
