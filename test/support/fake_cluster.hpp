#ifndef LACEWINGBEAM_TEST_SUPPORT_FAKE_CLUSTER_HPP
#define LACEWINGBEAM_TEST_SUPPORT_FAKE_CLUSTER_HPP

#include "history.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Simulates a cluster of coordinators in virtual time, with fakes for the
// platform, the backend servers and the network between instances. It uses only
// the public interface of the coordinator and records what actually ran.
namespace fake {

using lacewingbeam::arriving_call;
using lacewingbeam::call_id;
using lacewingbeam::coordinator;
using lacewingbeam::duration;
using lacewingbeam::time_point;

inline constexpr const char* shared_key = "a key for tests only, 32 bytes.";

struct server_behaviour {
    unsigned slots = 3;
    duration work = std::chrono::milliseconds(5);
    bool draining = false;
    bool refusing_connections = false;
    bool silent = false;    // accepts and runs requests but never answers
    unsigned shed_next = 0; // number of next requests to shed
    unsigned lose_next = 0; // number of next runs whose answer is lost
    unsigned cut_next = 0;  // number of next runs whose answer ends early
};

struct platform_behaviour {
    bool down = false;
    bool writes_down = false;
    duration delay = std::chrono::milliseconds(3);
    unsigned lose_answers = 0; // next writes that take effect but get no answer
    unsigned lose_requests = 0; // next writes that are lost without effect
    unsigned late_writes = 0;   // next writes that take effect after a timeout
    duration read_lag{};
};

// Options of a call sent by a caller.
struct send_options {
    std::string operation; // the caller's name for the operation
    std::string service = "svc";
    std::string method = "POST";
    std::string ticket;
    std::string key;
    unsigned attempt = 1;
    std::optional<duration> time_left;
};

class cluster {
public:
    explicit cluster(std::uint64_t seed);
    ~cluster();

    time_point now() const { return now_; }
    history& record() { return history_; }

    // Options of instances added later, except for name and identity.
    lacewingbeam::coordinator_options options;

    void add_instance(const std::string& name);
    void kill_instance(const std::string& name);
    void stop_instance(const std::string& name); // gracefully
    void pause_instance(const std::string& name);
    void resume_instance(const std::string& name);
    bool is_running(const std::string& name) const;
    coordinator& instance(const std::string& name);
    std::vector<std::string> running_instances() const;

    // Drops messages and forwarded calls between the two instances.
    void cut(const std::string& a, const std::string& b);
    void heal(const std::string& a, const std::string& b);

    // Makes the platform unreachable for the instance.
    void cut_platform(const std::string& name);
    void heal_platform(const std::string& name);

    void add_server(const std::string& service, const std::string& name);
    server_behaviour& server(const std::string& name);
    platform_behaviour& platform() { return platform_; }

    // Sets cells of a row in the table.
    void edit(const std::string& key, std::vector<lacewingbeam::cell> cells);
    std::uint64_t table_version() const { return table_version_; }
    void list_leaving(const std::string& server_address);

    // Sends a call to an instance. Its outcome is recorded in the history.
    void send(const std::string& instance_name,
              const send_options& call_options);
    std::string mint(const std::string& instance_name);

    // Disconnects the callers of all open calls of the operation.
    void disconnect_callers(const std::string& operation);

    // Returns the number of calls that running instances have not finished.
    std::size_t open_calls() const;

    // Advances virtual time and runs the events that become due.
    void run_for(duration time);

    // Schedules a function.
    void at(time_point when, std::function<void()> function);

private:
    struct node;

    void schedule_ticks(const std::string& name, std::uint64_t generation);
    void poll_platform(const std::string& name, std::uint64_t generation);
    void run_on_node(const std::string& name, std::uint64_t generation,
                     std::function<void(node&)> function);
    void execute(node& at_node, const coordinator::actions& actions);
    void run_on_server(node& at_node,
                       const lacewingbeam::start_attempt& action);
    void
    end_attempt(const std::string& name, std::uint64_t generation,
                lacewingbeam::attempt_id attempt,
                lacewingbeam::attempt_result result,
                const std::optional<lacewingbeam::recorded_answer>& answer);
    void forward(node& from, const lacewingbeam::forward_call& action);
    void write_claims(node& from, const lacewingbeam::write_claims& action);
    void read_claim(node& from, const lacewingbeam::read_claim& action);
    void write_journal(node& from, const lacewingbeam::write_journal& action);
    void read_journal(node& from, const lacewingbeam::read_journal& action);
    void probe(node& from, const lacewingbeam::probe_server& action);
    void send_message(node& from, const lacewingbeam::send_message& action);
    void finish(node& at_node, call_id call,
                const lacewingbeam::verdict& outcome,
                const std::optional<std::string>& answer);
    void finish_delivered(node& at_node,
                          const lacewingbeam::finish_call& action);
    void deliver_later(const node& to, duration delay,
                       std::function<void(node&)> function);
    void commit_claims(const std::vector<lacewingbeam::claim>& claims);
    bool platform_reachable(const node& at_node) const;
    node* find_node(const std::string& address);
    bool is_cut(const std::string& a, const std::string& b) const;

    struct action_runner;

    time_point now_{std::chrono::seconds(1000)};
    std::multimap<time_point, std::function<void()>> events_;
    lacewingbeam::random_engine engine_;
    history history_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<std::string> platform_cuts_;
    std::map<std::string, server_behaviour> servers_;
    std::map<std::string, unsigned> busy_; // slots in use, by server
    std::map<std::string, std::string> server_addresses_;
    platform_behaviour platform_;
    struct table_edit {
        time_point at;
        lacewingbeam::raw_row row;
    };
    std::vector<table_edit> edits_; // in order of version
    std::uint64_t table_version_ = 0;
    std::map<std::string, lacewingbeam::claim> claims_;
    std::map<std::string, lacewingbeam::recorded_answer> journal_;
    std::vector<lacewingbeam::listed_instance> listed_;
    std::uint64_t next_generation_ = 1;
    std::uint64_t next_call_ = 1;
    std::uint64_t sends_ = 0;
    unsigned next_port_ = 1;
};

} // namespace fake

#endif
