#ifndef LACEWINGBEAM_TEST_INTEGRATION_FLEET_HPP
#define LACEWINGBEAM_TEST_INTEGRATION_FLEET_HPP

#include "http_call.hpp"
#include "process.hpp"
#include "proxy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// A test cluster of real processes on loopback: platform stand-in, backend
// server stand-ins, fault proxies and entry instances.
namespace testing_support {

struct instance_process {
    std::unique_ptr<process> child;
    std::string caller_address; // IP:port
    std::string admin_address;
    std::string peer_address;
};

class fleet {
public:
    fleet();

    // Writes the row of a service.
    void add_service(const std::string& name, const json& cells);

    // Starts a backend server with these command-line options and writes its
    // row.
    void add_server(const std::string& service, const std::string& name,
                    const std::vector<std::string>& options = {},
                    const json& cells = json::object());

    // Starts a proxy in front of a backend server and writes the address of
    // the proxy to the row of the server.
    fault_proxy_process& add_server_proxy(const std::string& service,
                                          const std::string& name);

    // Starts a proxy in front of the platform for instances added later.
    fault_proxy_process& add_platform_proxy();

    // Starts an instance and waits until it is ready. `settings` is appended
    // to its settings file, within the section [peers].
    instance_process& add_instance(const std::string& settings = {});

    // Instances added later are started without seeds.
    void disable_seeds() { pass_seeds_ = false; }

    // Starts `count` instances and waits until every instance counts at least
    // `count` active instances.
    void add_instances(unsigned count, const std::string& settings = {});

    instance_process& instance(std::size_t i) { return *instances_.at(i); }
    std::size_t instance_count() const { return instances_.size(); }
    const std::string& platform_address() const { return platform_address_; }
    const std::string& server_address(const std::string& name) const;
    const temporary_directory& files() const { return files_; }
    std::string log_of(std::size_t i) const;

    void control(const std::string& address, const json& settings) const;
    json run_log(const std::string& server_name) const;
    unsigned count_runs(const std::string& operation) const;
    unsigned count_duplicate_runs() const;

    // Merges the cells into the row as last written by this object and writes
    // it unconditionally.
    void update_row(const std::string& key, const json& cells);
    std::uint64_t table_version() const { return table_version_; }

    json status(std::size_t i) const;

private:
    temporary_directory files_;
    std::unique_ptr<process> platform_process_;
    std::string platform_address_;
    std::string platform_address_for_instances_;
    std::map<std::string, std::unique_ptr<process>> servers_;
    std::map<std::string, std::string> server_addresses_;
    std::map<std::string, json> rows_;
    std::vector<std::unique_ptr<fault_proxy_process>> proxies_;
    std::vector<std::unique_ptr<instance_process>> instances_;
    std::uint64_t table_version_ = 0;
    bool pass_seeds_ = true;
};

// Builds a POST that a backend server stand-in counts as `operation`.
http_request
work_request(const std::string& address, const std::string& target,
             const std::string& operation,
             const std::map<std::string, std::string>& headers = {});

std::string tool_path();
std::string entry_path();

} // namespace testing_support

#endif
