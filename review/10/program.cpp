#include "lab.hpp"

// A request that crashes the servers that run it reaches routers that have just
// started, and comes again later.
namespace {

using namespace review;

constexpr int router_count = 6;
constexpr int server_count = 8;
constexpr int slots = 4;
constexpr int first_sends = 5;
constexpr int repeats = 4; // itself and 3 more at once (retry_abuse)
constexpr int rounds = 2;
constexpr milliseconds between(420); // of the first sends
constexpr milliseconds back_after(2000);
constexpr milliseconds calm(4000);
constexpr std::int64_t contact_ms = 3000;
constexpr int allowed = 3;

class installation {
public:
    explicit installation(lab& deployment) : deployment_(deployment) {}

    // Lets time pass, with orders of other callers, and starts servers that
    // have crashed once more.
    void pass(milliseconds time) {
        const auto end = clock_type::now() + time;
        while (clock_type::now() < end) {
            for (const auto& item : deployment_.servers) {
                const auto now = clock_type::now();
                if (!down_.contains(item->id) && item->process->ended()) {
                    crashes_.push_back(steady_ms());
                    down_[item->id] = now + back_after;
                    deployment_.note(item->id + " crashed");
                } else if (down_.contains(item->id) && now >= down_[item->id]) {
                    down_.erase(item->id);
                    deployment_.start_again(*item, slots);
                }
            }
            pause_for(milliseconds(2));
        }
    }

    // Does not wait for the answer.
    void send_deadly(int router) {
        open_.push_back(std::make_unique<connection>(
            deployment_.routers[router % router_count]->front));
        open_.back()->send(make_request("POST", "/orders/deadly?work=20",
                                        "deadly-" + std::to_string(sent_++),
                                        2500, "Content-Length: 0\r\n"));
    }

    const std::vector<std::int64_t>& crashes() const { return crashes_; }

private:
    lab& deployment_;
    std::vector<std::int64_t> crashes_;
    std::map<std::string, clock_type::time_point> down_;
    std::vector<std::unique_ptr<connection>> open_;
    int sent_ = 0;
};

int run(lab& deployment) {
    deployment.start_store();
    deployment.publish({{"/orders/", "orders", "unsafe", 2500, 300}});
    for (int i = 1; i <= server_count; ++i) {
        deployment.add_server("orders", "o" + std::to_string(i), slots);
    }
    deployment.start_routers(router_count);
    deployment.wait_until_ready();
    installation all(deployment);
    all.pass(calm);
    if (trouble()) {
        for (const auto& item : deployment.routers) {
            item->process->send(SIGKILL);
        }
        all.pass(milliseconds(500));
        for (const auto& item : deployment.routers) {
            deployment.start(*item);
        }
        deployment.wait_until_ready();
        deployment.note("all routers were killed and have started again");
    }
    for (int i = 0; i < first_sends; ++i) {
        all.send_deadly(i);
        all.pass(between);
    }
    if (all.crashes().size() < 3) {
        return exit_could_not_run;
    }
    const auto judged_from = all.crashes()[2] + contact_ms;
    all.pass(milliseconds(judged_from + 1000 - steady_ms()));
    for (int round = 0; round < rounds; ++round) {
        deployment.note("the request comes again, at " +
                        std::to_string(repeats) + " routers at once");
        for (int i = 0; i < repeats; ++i) {
            all.send_deadly(round * repeats + i);
        }
        all.pass(milliseconds(3500));
    }
    int late = 0;
    int early = 0;
    for (const auto& item : deployment.servers) {
        for (const auto& [id, at] : item->events("arrived")) {
            const bool counts = id.starts_with("deadly-");
            late += counts && at > judged_from ? 1 : 0;
            early += counts && at <= judged_from ? 1 : 0;
        }
    }
    deployment.note(
        std::to_string(early) + " sends reached servers before, and " +
        std::to_string(late) + " later than 3 s after the third crash");
    return late > allowed ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
