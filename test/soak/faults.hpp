#ifndef LACEWINGBEAM_TEST_SOAK_FAULTS_HPP
#define LACEWINGBEAM_TEST_SOAK_FAULTS_HPP

#include "installation.hpp"
#include "ledger.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Injects faults into processes, their connections and the store, on a schedule
// generated from a seed.
namespace soak {

struct soak_options {
    std::uint64_t seed = 1;
    std::size_t routers = 4;
    std::size_t services = 3;
    std::size_t servers = 3; // per service
    std::int64_t length_ms = 20000;
    std::int64_t fault_free_ms = 8000; // fault-free period at the end
};

// A scheduled fault.
struct fault {
    std::int64_t at_ms = 0;
    std::string kind;
    std::size_t target = 0;
    std::int64_t duration_ms = 0;
};

// Generates the schedule, which is the same for the same options.
std::vector<fault> draw_schedule(const soak_options& options);

// Starts the installation and executes the schedule.
class fault_director {
public:
    fault_director(testing_support::installation& environment,
                   const soak_options& options, ledger& history);

    // Starts store, servers and routers, and waits until all are ready.
    void start_all();

    // Executes the faults and follow-up steps that are due.
    void step();
    bool is_over() const;

    // Waits for the responses to the requests that the faults sent.
    void finish();

    // Reads the arrivals and runs that servers have logged.
    void collect();

    // Checks at the end that memory and probe rate of the routers are within
    // their bounds. Returns a line for each violation.
    std::vector<std::string> find_resource_violations();

    std::int64_t started_ms() const { return started_ms_; }

private:
    using step_function = std::function<void()>;

    // Returns the settings of a server during a fault, and after it.
    using server_settings = std::function<testing_support::json(
        const testing_support::server_process&, bool over)>;

    void begin(const fault& event);
    void control_servers_until(std::int64_t end_ms,
                               server_settings settings_of);
    void shed_until(std::int64_t end_ms);
    void slow_until(std::int64_t end_ms);
    void crash_service(const fault& event);
    void begin_crash_series(const fault& event);
    void send_crashing_requests(std::size_t series, std::size_t burst,
                                const std::string& prefix);
    void replace_crashed_servers();
    void expire_server(std::size_t position, const std::string& id);
    void begin_paths_cut(const fault& event);
    void cut_paths_until(std::int64_t end_ms,
                         const std::set<std::size_t>& routers,
                         const std::string& how);
    void begin_router_fault(const fault& event);
    void begin_server_fault(const fault& event);
    bool would_end_service_late(const std::string& id,
                                const fault& event) const;
    void begin_link_fault(const fault& event, const std::string& control);
    void begin_store_fault(const fault& event);
    void begin_restore(const fault& event);
    void schedule_step(std::int64_t delay_ms, step_function step);
    void add_disturbance(std::size_t router, std::int64_t duration_ms,
                         const std::string& cause);
    void restart_ended_routers();
    void restart_when_ended(std::size_t router, std::size_t stop_index);
    void publish_next_routes();
    void run_pending_steps();

    // Runs the step once the store accepts writes.
    void when_store_accepts_writes(step_function step);
    void remove_server(std::size_t position, const std::string& id);
    void replace_server(std::size_t position, const std::string& id);
    std::string add_server(const std::string& service,
                           const std::string& port = "0");
    void record_output(const testing_support::server_process& server);

    testing_support::installation& environment_;
    soak_options options_;
    ledger& history_;
    std::vector<fault> schedule_;
    std::size_t next_fault_ = 0;
    std::multimap<std::int64_t, step_function> pending_steps_;
    std::vector<std::unique_ptr<testing_support::fault_proxy_process>>
        store_proxies_;
    std::vector<std::string> servers_; // ids by position
    std::size_t next_server_ = 0;
    std::set<std::string> departing_; // servers that are leaving or were killed
    std::set<std::string> paused_servers_;
    std::set<std::size_t> stopped_routers_; // by a fault; not started yet
    std::vector<std::string> own_ends_;     // routers that ended by themselves
    std::map<std::string, std::int64_t> added_ms_;
    std::size_t moving_service_ = 0;
    bool restore_pending_ = false;
    bool store_unavailable_ = false;
    std::int64_t started_ms_ = 0;
    std::size_t crash_series_ = 0;
    std::vector<std::jthread> senders_;
};

std::string service_name(std::size_t number);

} // namespace soak

#endif
