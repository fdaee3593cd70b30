#include "../common/testbed.hpp"

// Another writer puts an entry that cannot be read among the backend servers'
// registrations. It names no server to use; the others hold.

using namespace testbed;

namespace {

constexpr int router_count = 3;
constexpr int callers = 8; // per router, on kept connections
constexpr double first_entries_at_s = 3;
constexpr double odd_entry_at_s = 5;
constexpr double end_at_s = 12;
constexpr double restart_after_s = 0.5;
constexpr int allowed_losses = 3; // LOST: "more than three times"

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    record log(args.folder + "/record.txt");
    store rows;
    registrar registrations(rows);
    backend server1(log, "status-1", "status", 32, 400);
    backend server2(log, "status-2", "status", 32, 400);
    registrations.add(server1);
    registrations.add(server2);
    rows.put("op", "config",
             make_config(
                 1, {{"r-status", "/status/", "status", "safe", 3000, 2000}}));
    auto routers = make_routers(router_count, args.temporary);
    start_all(routers, rows, log);
    const double begin = now_s();
    kept_callers clients(log, {&server1, &server2});
    for (auto& target : routers) {
        clients.start(*target, callers, "/status/page");
    }
    // The platform restarts processes that end.
    int ended = 0;
    std::atomic<bool> stop{false};
    std::thread platform([&] {
        while (!stop) {
            for (auto& item : routers) {
                const auto how = item->ended();
                if (how) {
                    log.note(item->name() + " ended by itself: " + *how);
                    ++ended;
                    sleep_ms(restart_after_s * 1000);
                    start(*item, routers, rows, false);
                }
            }
            sleep_ms(10);
        }
    });
    sleep_ms(first_entries_at_s * 1000);
    // Entries that are ignored, as they should be.
    rows.put("servers", "odd-1", {{"service", "status"}, {"capacity", "many"}});
    rows.put_text("servers", "odd-2", base64("\xff\xfe not JSON"));
    sleep_ms((odd_entry_at_s - first_entries_at_s) * 1000);
    if (args.trouble) {
        log.note("another writer puts an entry with the value ====");
        rows.put_text("servers", "odd-3", "====");
    }
    sleep_ms(1000);
    const int answered_before = clients.answered();
    sleep_ms(std::max(0.0, begin + end_at_s - now_s()) * 1000);
    const int answered_later = clients.answered() - answered_before;
    stop = true;
    platform.join();
    clients.stop();
    log.note(
        "routers ended by themselves: " + std::to_string(ended) +
        " times; answered: " + std::to_string(clients.answered()) +
        ", later than 1 s after the entry: " + std::to_string(answered_later) +
        "; lost: " + std::to_string(clients.lost()));
    if (clients.answered() == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, clients.lost() > allowed_losses ? exit_broken : exit_held);
}
