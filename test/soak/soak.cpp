#include "faults.hpp"

#include <atomic>
#include <filesystem>
#include <iostream>
#include <tclap/CmdLine.h>
#include <thread>

// Runs the real programs under injected faults and checks what callers and
// backend servers observe. Exit code 1: a guarantee was violated; 2: the run
// itself failed.
namespace {

using namespace soak;
using testing_support::installation;

constexpr int exit_violation = 1;
constexpr int exit_failed = 2;

struct run_options {
    soak_options soak;
    std::size_t callers = 16;
    bool check_time_bounds = true;
    std::string log_directory; // directory for the logs of a failed run
    std::string other_router;  // program of another build, or empty
};

// A caller that sends requests one after the other over keep-alive connections.
class caller {
public:
    caller(installation& environment, const soak_options& options,
           std::size_t number, ledger& history)
        : environment_(environment), options_(options), number_(number),
          history_(history), engine_(options.seed * 1000 + number) {}

    void run(const std::atomic<bool>& stopped) {
        while (!stopped) {
            send_next_call();
            std::this_thread::sleep_for(
                std::chrono::milliseconds(draw(max_pause_ms)));
        }
    }

private:
    static constexpr std::size_t max_pause_ms = 40;
    static constexpr std::int64_t time_limit_ms = 2000;
    static constexpr std::int64_t timeout_ms = 3500;

    std::size_t draw(std::size_t below) { return engine_() % below; }

    void send_next_call() {
        if (!connection_.is_open()) {
            router_ = draw(environment_.routers().size());
            if (!connection_.open(environment_.routers()[router_]->callers)) {
                return;
            }
        }
        call_record call;
        call.id =
            "c" + std::to_string(number_) + "-" + std::to_string(next_call_++);
        call.router = router_;
        call.by_other_build = environment_.routers()[router_]->runs_other_build;
        const auto kind = draw(10);
        const auto service = std::to_string(draw(options_.services));
        call.repeatable = kind >= 4;
        call.prefix = kind == 9         ? "/moving/"
                      : call.repeatable ? "/safe" + service + "/"
                                        : "/once" + service + "/";
        const bool large = draw(8) == 0;
        call.bytes = large ? 100000 + draw(100000) : 100 + draw(2000);
        call.waits_past_limit = draw(12) != 0;
        call.sent_ms = now_ms();
        call.response = connection_.send_and_receive(
            make_request(call),
            call.waits_past_limit ? timeout_ms
                                  : static_cast<std::int64_t>(10 + draw(100)));
        call.ended_ms = now_ms();
        constexpr std::size_t calls_per_connection = 20;
        if (draw(calls_per_connection) == 0) {
            connection_.close();
        }
        history_.add_call(std::move(call));
    }

    std::string make_request(const call_record& call) {
        const std::string body = call.repeatable ? "" : "order " + call.id;
        return std::string(call.repeatable ? "GET " : "POST ") + call.prefix +
               "x?bytes=" + std::to_string(call.bytes) +
               "&work=" + std::to_string(5 + draw(60)) +
               " HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: " +
               call.id + "\r\nX-Deadline-Ms: " + std::to_string(time_limit_ms) +
               (call.repeatable
                    ? ""
                    : "\r\nContent-Length: " + std::to_string(body.size())) +
               "\r\n\r\n" + body;
    }

    installation& environment_;
    soak_options options_;
    std::size_t number_;
    ledger& history_;
    std::mt19937_64 engine_;
    caller_connection connection_;
    std::size_t router_ = 0;
    std::size_t next_call_ = 0;
};

// The destructor stops and joins the callers, also after an exception.
class caller_threads {
public:
    caller_threads(installation& environment, const run_options& options,
                   ledger& history) {
        for (std::size_t i = 0; i < options.callers; ++i) {
            threads_.emplace_back([this, &environment, &options, &history, i] {
                caller(environment, options.soak, i, history).run(stop_);
            });
        }
    }
    ~caller_threads() {
        stop_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    caller_threads(const caller_threads&) = delete;
    caller_threads& operator=(const caller_threads&) = delete;

private:
    std::atomic<bool> stop_ = false;
    std::vector<std::thread> threads_;
};

void copy_logs(const installation& environment, const std::string& directory) {
    std::filesystem::create_directories(directory);
    std::filesystem::copy(
        std::filesystem::path(environment.files().file("x")).parent_path(),
        directory,
        std::filesystem::copy_options::recursive |
            std::filesystem::copy_options::overwrite_existing);
    std::cout << "logs copied to " << directory << std::endl;
}

bool run_with_seed(const run_options& options) {
    installation environment;
    environment.alternate_with(options.other_router);
    ledger history;
    fault_director faults(environment, options.soak, history);
    faults.start_all();
    {
        const caller_threads callers(environment, options, history);
        constexpr std::chrono::milliseconds step(20);
        while (!faults.is_over()) {
            faults.step();
            std::this_thread::sleep_for(step);
        }
    }
    faults.finish();
    // Allows the servers to log the last runs.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    faults.collect();
    auto violations = history.find_violations(options.check_time_bounds);
    const auto overuse = faults.find_resource_violations();
    violations.insert(violations.end(), overuse.begin(), overuse.end());
    std::cout << "seed " << options.soak.seed << ": " << history.summary()
              << std::endl;
    for (const auto& line : violations) {
        std::cout << "BROKEN " << line << std::endl;
    }
    if (!violations.empty() && !options.log_directory.empty()) {
        copy_logs(environment, options.log_directory + "/seed-" +
                                   std::to_string(options.soak.seed));
    }
    return violations.empty();
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command(
            "Tests real processes under faults generated from a seed", ' ',
            "1");
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1,
                                            "NUMBER", command);
        TCLAP::ValueArg<std::uint64_t> seeds(
            "n", "seeds", "number of seeds to run", false, 1, "COUNT", command);
        TCLAP::ValueArg<std::size_t> routers("r", "routers", "routers", false,
                                             4, "COUNT", command);
        TCLAP::ValueArg<std::size_t> servers("b", "servers",
                                             "backend servers of each of the "
                                             "three services",
                                             false, 3, "COUNT", command);
        TCLAP::ValueArg<std::size_t> callers("c", "callers", "callers", false,
                                             16, "COUNT", command);
        TCLAP::ValueArg<unsigned> length("t", "seconds", "length of a run",
                                         false, 20, "SECONDS", command);
        TCLAP::ValueArg<std::string> keep("k", "keep",
                                          "directory for logs of failed runs",
                                          false, "", "DIRECTORY", command);
        TCLAP::ValueArg<std::string> other_router(
            "o", "other-router",
            "lacewingbeam-router of another build, run at every second start",
            false, "", "PROGRAM", command);
        TCLAP::SwitchArg untimed("u", "untimed",
                                 "skip the checks of time bounds", command);
        command.parse(argc, argv);
        run_options options;
        options.soak.routers = routers.getValue();
        options.soak.servers = servers.getValue();
        options.soak.length_ms = std::int64_t{1000} * length.getValue();
        options.callers = callers.getValue();
        options.check_time_bounds = !untimed.getValue();
        options.log_directory = keep.getValue();
        options.other_router = other_router.getValue();
        std::uint64_t failed = 0;
        for (std::uint64_t i = 0; i < seeds.getValue(); ++i) {
            options.soak.seed = seed.getValue() + i;
            failed += run_with_seed(options) ? 0 : 1;
        }
        std::cout << failed << " of " << seeds.getValue() << " seeds failed"
                  << std::endl;
        return failed == 0 ? 0 : exit_violation;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << std::endl;
        return exit_failed;
    }
}
