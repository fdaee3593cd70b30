#ifndef LACEWINGBEAM_TEST_SOAK_LEDGER_HPP
#define LACEWINGBEAM_TEST_SOAK_LEDGER_HPP

#include "caller.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

// Records what callers and backend servers observed, and checks the guarantees
// of the routers against it.
namespace soak {

struct call_record {
    std::string id;
    std::string prefix; // of the route
    bool repeatable = false;
    // The caller waits for longer than the request's time limit before it gives
    // up.
    bool waits_past_limit = true;
    std::size_t bytes = 0;
    std::size_t router = 0;
    bool by_other_build = false;
    std::size_t crash_series = 0; // 0: does not crash its servers
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
    call_response response;
};

struct run_record {
    std::string server;
    std::string service;
    std::int64_t at_ms = 0;
};

// A period in which a fault affected one router or all of them.
struct disturbance {
    static constexpr std::size_t all_routers = ~std::size_t{0};

    std::size_t router = all_routers;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    std::string cause;
};

struct edit_record {
    std::string service; // target of the moving route
    std::int64_t at_ms = 0;
};

struct leave_record {
    std::string server;
    std::int64_t at_ms = 0; // when the store accepted the change
};

// A server that ended by itself.
struct crash_record {
    std::string server;
    std::int64_t at_ms = 0;
};

// A period in which some routers had no path to any server.
struct cut_record {
    std::set<std::size_t> routers;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

struct stop_record {
    std::size_t router = 0;
    std::int64_t at_ms = 0;
    std::int64_t ended_ms = 0;
};

// The callers' threads call add_call concurrently. Everything else is used by
// one thread only.
class ledger {
public:
    void add_call(call_record call);
    void add_arrival(const std::string& id, const run_record& arrival);
    void add_run(const std::string& id, const run_record& run);

    std::vector<disturbance> disturbances;
    std::vector<edit_record> edits;
    std::vector<leave_record> leaves;
    std::vector<stop_record> stops;
    std::vector<cut_record> cuts;
    std::vector<crash_record> crashes;
    std::int64_t fault_free_from_ms = 0; // no faults from here on

    // Returns a line for each violated guarantee. `check_time_bounds` adds the
    // checks of time bounds, which an overloaded machine can fail.
    std::vector<std::string> find_violations(bool check_time_bounds) const;

    std::string summary() const;

private:
    using report = std::vector<std::string>;

    bool is_undisturbed(std::size_t router, std::int64_t from,
                        std::int64_t to) const;
    std::size_t runs_of(const std::string& id) const;
    void check_responses(report& out) const;
    void check_runs(report& out) const;
    void check_repeat_budget(report& out) const;
    void check_deadlines(report& out) const;
    void check_edits(report& out) const;
    void check_leaves(report& out) const;
    void check_stops(report& out) const;
    void check_recovery(report& out) const;
    void check_cuts(report& out) const;
    std::vector<std::int64_t>
    find_crashes(const std::set<std::string>& requests) const;
    std::size_t count_arrivals(const std::set<std::string>& requests,
                               std::int64_t after_ms) const;
    void check_crash_series(report& out) const;

    std::mutex mutex_;
    std::map<std::string, call_record> calls_;
    std::map<std::string, std::vector<run_record>> arrivals_;
    std::map<std::string, std::vector<run_record>> runs_;
};

} // namespace soak

#endif
