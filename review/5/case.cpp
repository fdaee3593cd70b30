#include "../common/testbed.hpp"

// One caller's request crashes each backend server that runs it, and comes
// again and again. Other callers read the same path without harm.

using namespace testbed;

namespace {

constexpr int router_count = 3;
constexpr int server_count = 10;
constexpr int callers = 5;              // per router, of other requests
constexpr int groups = 3;               // times that the request comes
constexpr int requests_of_group = 4;    // itself and 3 repeats at once
constexpr double gap_s = 0.03;          // between the requests of a group
constexpr double group_gap_s = 4.5;     // longer than contactMs
constexpr double server_back_s = 3;     // after a crash
constexpr double contact_s = 3;         // contactMs
constexpr unsigned allowed_retries = 3; // BUDGET: "in more than three retries"

const std::string path = "/status/unit-13";

bool is_deadly(const message& request) {
    return request.path() == path;
}

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    record log(args.folder + "/record.txt");
    store rows;
    registrar registrations(rows);
    std::mutex mutex;
    std::vector<double> crashes;                          // times
    std::vector<std::pair<double, std::string>> arrivals; // of the request
    std::vector<std::unique_ptr<backend>> servers;
    for (int i = 0; i < server_count; ++i) {
        servers.push_back(std::make_unique<backend>(
            log, "status-" + std::to_string(i), "status", 3, 80));
        auto& item = *servers.back();
        if (args.trouble) {
            item.deadly = is_deadly;
        }
        item.instead = [&](int, const message& request) {
            if (is_deadly(request)) {
                std::lock_guard lock(mutex);
                arrivals.emplace_back(now_s(), request.header("X-Request-Id"));
            }
            return false;
        };
        item.crashed = [&](backend& crashed) {
            {
                std::lock_guard lock(mutex);
                crashes.push_back(now_s());
            }
            registrations.stop_reporting(crashed);
            std::thread([&] {
                sleep_ms(server_back_s * 1000);
                crashed.restart();
                registrations.add(crashed);
            }).detach();
        };
        registrations.add(item);
    }
    rows.put("op", "config",
             make_config(1, {{"r-status", "/status/", "status", "safe"},
                             {"r-orders", "/orders/", "status", "unsafe"}}));
    auto routers = make_routers(router_count, args.temporary);
    start_all(routers, rows, log);
    sleep_ms(3000);

    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> failed{0}; // orders that got 502
    std::vector<std::thread> threads;
    for (auto& target : routers) {
        for (int c = 0; c < callers; ++c) {
            threads.emplace_back([&, c] {
                client caller(log, *target);
                for (int i = 0; !stop; ++i) {
                    const auto id = "order-" + target->name() + "-" +
                                    std::to_string(c) + "-" + std::to_string(i);
                    const auto result =
                        caller.request("POST", "/orders/" + id, id, 2000, id);
                    answered += result.status == 200 ? 1 : 0;
                    failed += result.status == 502 ? 1 : 0;
                    sleep_ms(20);
                }
            });
        }
    }
    std::vector<std::thread> repeats;
    for (int group = 0; group < groups; ++group) {
        for (int i = 0; i < requests_of_group; ++i) {
            repeats.emplace_back([&, group, i] {
                client caller(
                    log, *routers[static_cast<std::size_t>(i % router_count)]);
                caller.request("GET", path,
                               "again-" + std::to_string(group) + "-" +
                                   std::to_string(i),
                               2000);
            });
            sleep_ms(gap_s * 1000);
        }
        sleep_ms(group_gap_s * 1000);
    }
    for (auto& item : repeats) {
        item.join();
    }
    sleep_ms(500);
    stop = true;
    for (auto& item : threads) {
        item.join();
    }
    std::lock_guard lock(mutex);
    unsigned retries = 0;
    for (const auto& [at, id] : arrivals) {
        retries += crashes.size() >= 3 && at > crashes[2] + contact_s ? 1 : 0;
    }
    log.note("crashes: " + std::to_string(crashes.size()) +
             "; orders answered: " + std::to_string(answered) +
             "; orders that failed: " + std::to_string(failed));
    log.note("the request reached servers " + std::to_string(retries) +
             " times later than 3 s after its third crash");
    if (answered == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, retries > allowed_retries ? exit_broken : exit_held);
}
