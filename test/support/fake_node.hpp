#ifndef LACEWINGBEAM_TEST_SUPPORT_FAKE_NODE_HPP
#define LACEWINGBEAM_TEST_SUPPORT_FAKE_NODE_HPP

#include "fake_cluster.hpp"

// State of one simulated instance, and the delays of the simulation.
namespace fake {

inline constexpr duration network_delay = std::chrono::milliseconds(1);
inline constexpr duration platform_timeout = std::chrono::milliseconds(100);

// One run of an instance. An instance started again under the same name has
// another generation.
struct cluster::node {
    struct attempt {
        call_id call{};
        std::string server;
        std::string content; // content of the answer: its operation's name
        bool complete = false;
        bool record = false;
    };

    struct open_call {
        std::string operation;
        std::uint64_t send = 0;
        arriving_call request;
        std::optional<lacewingbeam::attempt_id> delivering;
        bool answered = false; // by the instance it was forwarded to
        std::string from;      // forwarding instance; empty if from a caller
        std::uint64_t from_generation = 0;
        call_id from_call{};
    };

    std::string name;
    std::uint64_t generation = 0;
    std::unique_ptr<coordinator> decisions;
    bool paused = false;
    std::vector<std::function<void(node&)>> backlog;
    std::map<lacewingbeam::attempt_id, attempt> attempts;
    std::map<call_id, open_call> calls;
};

} // namespace fake

#endif
