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
    std::atomic<int> answered_later{0}; // of the requests after the odd entry
    std::atomic<int> lost{0};           // passed on, then closed
    std::vector<std::thread> threads;
    for (auto& target : routers) {
        for (int c = 0; c < callers; ++c) {
            threads.emplace_back([&, c] {
                client caller(log, *target);
                bool kept = false; // the connection has had an answer
                for (int i = 0; !stop; ++i) {
                    const auto id = target->name() + "-" + std::to_string(c) +
                                    "-" + std::to_string(i);
                    const double sent_at = now_s() - begin;
                    const bool was_kept = kept && caller.connected();
                    const auto result =
                        caller.request("GET", "/status/page", id, 2500);
                    kept = result.how == "answer";
                    answered += result.status == 200 ? 1 : 0;
                    answered_later +=
                        result.status == 200 && sent_at > odd_entry_at_s + 1
                            ? 1
                            : 0;
                    const bool passed_on =
                        server1.runs(id) + server2.runs(id) > 0;
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
    int ended = 0;
    std::thread platform([&] {
        while (!stop) {
            for (auto& item : routers) {
                const auto how = item->ended();
                if (how) {
                    log.note(item->name() + " ended by itself: " + *how);
                    ++ended;
                    sleep_ms(restart_after_s * 1000);
                    item->write_settings(rows.address(), seeds, false);
                    item->start();
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
    sleep_ms(std::max(0.0, begin + end_at_s - now_s()) * 1000);
    stop = true;
    platform.join();
    for (auto& item : threads) {
        item.join();
    }
    log.note("routers ended by themselves: " + std::to_string(ended) +
             " times; answered: " + std::to_string(answered) +
             ", of the requests later than 1 s after the entry: " +
             std::to_string(answered_later) +
             "; lost: " + std::to_string(lost));
    if (answered == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, lost > allowed_losses ? exit_broken : exit_held);
}
