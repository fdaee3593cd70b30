#include "../common/testbed.hpp"

// Half of the backend servers spoil a few of their answers: one byte of the
// status line is wrong, so that it is no answer in the protocol. Clients must
// not get such bytes.

using namespace testbed;

namespace {

constexpr int router_count = 2;
constexpr int callers = 6;             // per router
constexpr double spoiled_share = 0.02; // garble: x, on half of the servers
constexpr double length_s = 10;

// Returns true for the status line of an answer in the protocol.
bool is_answer(const std::string& line) {
    const bool has_code = line.size() >= 12 && line.starts_with("HTTP/1.") &&
                          line[8] == ' ' && std::isdigit(line[9]) != 0 &&
                          std::isdigit(line[10]) != 0 &&
                          std::isdigit(line[11]) != 0;
    return has_code && line[9] >= '1' && line[9] <= '5' &&
           (line.size() == 12 || line[12] == ' ');
}

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    record log(args.folder + "/record.txt");
    store rows;
    registrar registrations(rows);
    std::atomic<int> answers{0};
    std::atomic<int> spoiled{0};
    std::vector<std::unique_ptr<backend>> servers;
    for (int i = 0; i < 4; ++i) {
        servers.push_back(std::make_unique<backend>(
            log, "status-" + std::to_string(i), "status", 3, 50));
        if (args.trouble && i % 2 == 0) {
            servers.back()->spoil = [&](std::string text) {
                constexpr int every = static_cast<int>(1 / spoiled_share);
                if (++answers % every != 0) {
                    return text;
                }
                ++spoiled;
                return text.replace(10, 1, "O"); // HTTP/1.1 2O0 OK
            };
        }
        registrations.add(*servers.back());
    }
    rows.put("op", "config",
             make_config(1, {{"r-status", "/status/", "status", "safe"},
                             {"r-orders", "/orders/", "status", "unsafe"}}));
    auto routers = make_routers(router_count, args.temporary);
    start_all(routers, rows, log);
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    for (auto& target : routers) {
        for (int c = 0; c < callers; ++c) {
            threads.emplace_back([&, c] {
                client caller(log, *target);
                for (int i = 0; !stop; ++i) {
                    const auto id = target->name() + "-" + std::to_string(c) +
                                    "-" + std::to_string(i);
                    const auto result =
                        c % 2 == 0
                            ? caller.request("GET", "/status/a", id, 2000)
                            : caller.request("POST", "/orders/a", id, 2000, id);
                    answered += result.status == 200 ? 1 : 0;
                    if (result.how == "answer" &&
                        !is_answer(result.answer.first_line)) {
                        ++wrong;
                        log.note("the client of " + id + " gets \"" +
                                 result.answer.first_line +
                                 "\", X-Response-Stamp \"" +
                                 result.answer.header("X-Response-Stamp") +
                                 "\", and " +
                                 std::to_string(result.answer.body.size()) +
                                 " bytes");
                    }
                    sleep_ms(10);
                }
            });
        }
    }
    sleep_ms(length_s * 1000);
    stop = true;
    for (auto& item : threads) {
        item.join();
    }
    log.note("answered: " + std::to_string(answered) +
             "; spoiled by servers: " + std::to_string(spoiled) +
             "; no answers that clients got: " + std::to_string(wrong));
    if (answered == 0) {
        finish(routers, exit_not_run);
    }
    finish(routers, wrong > 0 ? exit_broken : exit_held);
}
