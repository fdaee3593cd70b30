#include "faults.hpp"

#include <cstdlib>

// What the director reads from the processes: the servers' output and the
// resources that the routers use.
namespace soak {

void fault_director::record_output(
    const testing_support::server_process& server) {
    for (const auto& line : server.child->take_lines()) {
        const auto space = line.find(' ');
        const auto word = line.substr(0, space);
        const auto end = line.find(' ', space + 1);
        const auto id = line.substr(space + 1, end - space - 1);
        if (end == std::string::npos) {
            continue;
        }
        const run_record record{server.id, server.service,
                                std::stoll(line.substr(end + 1))};
        if (word == "arrived") {
            history_.add_arrival(id, record);
        } else if (word == "run") {
            history_.add_run(id, record);
        }
    }
}

std::vector<std::string> fault_director::find_resource_violations() {
    constexpr long max_kb = 32768;               // memory limit for long runs
    constexpr double max_probes_per_second = 60; // as in the settings
#ifdef __SANITIZE_ADDRESS__
    constexpr bool sanitized = true; // shadow memory inflates the resident size
#else
    constexpr bool sanitized = false;
#endif
    auto out = own_ends_;
    for (const auto& router : environment_.routers()) {
        const auto status = testing_support::read_file(
            "/proc/" + std::to_string(router->child->id()) + "/status");
        const auto at = status.find("VmRSS:");
        const long kb =
            at == std::string::npos ? 0 : std::atol(status.c_str() + at + 6);
        if (kb > max_kb && !sanitized) {
            out.push_back("memory: " + router->name + " uses " +
                          std::to_string(kb) + " KB");
        }
    }
    for (const auto& id : servers_) {
        const auto& server = environment_.server(id);
        if (!server.child->is_running() || departing_.contains(id)) {
            continue;
        }
        const auto probes = testing_support::installation::control(
                                server.address, testing_support::json::object())
                                .value("probes", 0.0);
        const double age_s =
            static_cast<double>(now_ms() - added_ms_[id]) / 1000;
        if (age_s > 5 && probes > max_probes_per_second * age_s) {
            out.push_back("probes: " + id + " got " + std::to_string(probes) +
                          " in " + std::to_string(age_s) + " s");
        }
    }
    return out;
}

void fault_director::collect() {
    for (const auto& [id, server] : environment_.servers()) {
        record_output(*server);
    }
}

} // namespace soak
