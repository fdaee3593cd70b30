#include "lab.hpp"

// Callers that connect to a router as it starts, keep their connections, and
// send bodies within the limits of the config later on.
namespace {

using namespace review;

constexpr int callers = 20;
constexpr std::size_t body_bytes = 2U << 20U; // limit: 64 times 1048576
constexpr milliseconds calm(3500);            // more than contactMs
constexpr int allowed = 5;                    // "5 + one in 500"

int run(lab& deployment) {
    deployment.start_store();
    deployment.publish(
        {{"/status/", "status", "safe"}, {"/orders/", "orders", "unsafe"}});
    deployment.add_server("status", "s1", 6);
    deployment.add_server("orders", "o1", 6);
    deployment.start_routers(2);
    deployment.wait_until_ready();
    pause_for(milliseconds(3000));
    auto& router = *deployment.routers.back();
    // The platform ends a process and starts it again. Its callers connect
    // anew, which they can once the port is open.
    router.process->send(SIGKILL);
    while (!router.process->ended()) {
        pause_for(milliseconds(1));
    }
    deployment.start(router);
    deployment.note(router.name + " was started again");
    if (!trouble()) {
        deployment.wait_until_ready();
    }
    std::vector<std::unique_ptr<connection>> kept;
    while (kept.size() < callers) {
        auto opened = std::make_unique<connection>(router.front);
        if (opened->is_open()) {
            kept.push_back(std::move(opened));
        } else {
            pause_for(milliseconds(1));
        }
    }
    int first = 0;
    for (int i = 0; i < callers; ++i) {
        kept[i]->send(make_request("GET", "/status/x",
                                   "first-" + std::to_string(i), 3000));
        const auto response =
            kept[i]->receive(milliseconds(3000), is_whole_response);
        first += status_of(response) == 200 ? 1 : 0;
    }
    deployment.note(std::to_string(callers) + " callers connected; " +
                    std::to_string(first) + " first requests answered 200");
    pause_for(calm);
    std::map<int, int> statuses;
    for (int i = 0; i < callers; ++i) {
        const auto request = make_request(
            "POST", "/orders/x", "upload-" + std::to_string(i), 3000,
            "Content-Length: " + std::to_string(body_bytes) + "\r\n",
            std::string(body_bytes, 'b'));
        // The answer may come before the body is sent.
        std::thread sender([&] { kept[i]->send(request); });
        const auto response =
            kept[i]->receive(milliseconds(3000), is_whole_response);
        sender.join();
        ++statuses[status_of(response)];
    }
    for (const auto& [status, count] : statuses) {
        deployment.note(std::to_string(count) + " bodies of " +
                        std::to_string(body_bytes) + " bytes on kept " +
                        "connections: " +
                        (status == 0 ? "closed without an answer"
                                     : std::to_string(status)));
    }
    const auto anew = call(
        router.front,
        make_request("POST", "/orders/x", "upload-anew", 3000,
                     "Content-Length: " + std::to_string(body_bytes) + "\r\n",
                     std::string(body_bytes, 'b')));
    deployment.note("the same on a new connection: " +
                    std::to_string(status_of(anew)));
    if (first == 0 || status_of(anew) != 200) {
        return exit_could_not_run;
    }
    return statuses[413] > allowed ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
