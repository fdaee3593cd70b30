#ifndef LACEWINGBEAM_BENCH_LOAD_GENERATOR_HPP
#define LACEWINGBEAM_BENCH_LOAD_GENERATOR_HPP

#include "adapters/connection_pool.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

// Open-loop load generator: sends calls at their planned times whether or not
// earlier calls were answered, so that a slow system does not reduce the load.
namespace lacewingbeam::bench {

struct generator_options {
    std::vector<std::string> targets; // IP:port, used round-robin
    std::string operation_prefix;
    std::size_t connections = 512; // per target
    // Wait for outstanding answers after the last planned call.
    duration completion_timeout = std::chrono::seconds(10);
};

class load_generator {
public:
    load_generator(const load_plan& plan, generator_options options);

    // Sends all calls and waits for their answers.
    load_report run();

private:
    struct open_call {
        const planned_call* plan = nullptr;
        std::string target;
        std::string operation;
        http_response_head head;
        std::string body_prefix;
        std::size_t received = 0;
    };

    void send_due();
    void send(const planned_call& call);
    void finish(std::uint64_t number);
    void fail(std::uint64_t number, const exchange_failure& failure);
    void end_if_done();

    const load_plan& plan_;
    generator_options options_;
    event_loop loop_;
    connection_pool pool_;
    load_report report_;
    time_point start_;
    std::size_t next_call_ = 0;
    std::map<std::uint64_t, open_call> open_calls_;
    std::uint64_t sent_count_ = 0;
    std::map<std::string, std::deque<std::string>> tickets_; // by target
};

} // namespace lacewingbeam::bench

#endif
