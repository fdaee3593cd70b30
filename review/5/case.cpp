#include "../common/testbed.hpp"

// Two callers send large bodies, within the limits of the config, to one router
// at the same time. The platform ends a process whose memory exceeds that of
// its machine, and restarts it. Other callers' requests that the router has
// passed on must still be answered.

using namespace testbed;

namespace {

constexpr double memory_mb = 260;    // of an edge machine
constexpr std::size_t body_mib = 48; // maxBodyBytes is 64 MiB
constexpr int uploads = 2;           // at the same time
constexpr int callers_of_sound = 12; // of each router, on kept connections
constexpr int allowed_losses = 3;    // LOST: "more than three times"
constexpr double upload_at_s = 4;    // longer than contactMs
constexpr double end_at_s = 9;

double resident_mb(pid_t pid) {
    std::istringstream in(read_file("/proc/" + std::to_string(pid) + "/statm"));
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    constexpr double mib = 1 << 20U;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / mib;
}

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    record log(args.folder + "/record.txt");
    store rows;
    registrar registrations(rows);
    backend orders(log, "orders-1", "orders", 8, 100);
    backend sound1(log, "sound-1", "sound", 32, 400);
    backend sound2(log, "sound-2", "sound", 32, 400);
    for (auto* item : {&orders, &sound1, &sound2}) {
        registrations.add(*item);
    }
    rows.put(
        "op", "config",
        make_config(1, {{"r-orders", "/orders/", "orders", "unsafe"},
                        {"r-sound", "/sound/", "sound", "safe", 3000, 2000}}));
    std::vector<std::unique_ptr<router>> routers;
    std::string seeds;
    for (int i = 0; i < 2; ++i) {
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
    for (auto& target : routers) {
        for (int c = 0; c < callers_of_sound; ++c) {
            threads.emplace_back([&, c] {
                client caller(log, *target);
                bool kept = false; // the connection has had an answer
                for (int i = 0; !stop; ++i) {
                    const auto id = "sound-" + target->name() + "-" +
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
    double peak = 0;
    int ended = 0;
    std::thread platform([&] {
        while (!stop) {
            for (auto& item : routers) {
                const double mb = resident_mb(item->pid());
                peak = std::max(peak, mb);
                if (mb > memory_mb) {
                    log.note(item->name() + " uses " + std::to_string(mb) +
                             " MiB: the platform ends it");
                    item->kill();
                    ++ended;
                    sleep_ms(500);
                    item->start();
                }
            }
            sleep_ms(2);
        }
    });
    sleep_ms(upload_at_s * 1000);
    const std::size_t size = args.trouble ? body_mib << 20U : 1024;
    for (int i = 0; i < uploads; ++i) {
        threads.emplace_back([&, i] {
            client caller(log, *routers[0]);
            caller.request("POST", "/orders/a", "upload-" + std::to_string(i),
                           3000, std::string(size, 'x'));
        });
    }
    sleep_ms(std::max(0.0, begin + end_at_s - now_s()) * 1000);
    stop = true;
    for (auto& item : threads) {
        item.join();
    }
    platform.join();
    log.note("most memory of a router: " + std::to_string(peak) +
             " MiB; routers ended: " + std::to_string(ended) +
             "; answered by \"sound\": " + std::to_string(answered) +
             ", lost: " + std::to_string(lost));
    if (answered == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, lost > allowed_losses ? exit_broken : exit_held);
}
