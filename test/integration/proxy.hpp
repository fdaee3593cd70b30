#ifndef LACEWINGBEAM_TEST_INTEGRATION_PROXY_HPP
#define LACEWINGBEAM_TEST_INTEGRATION_PROXY_HPP

#include "process.hpp"

#include <memory>
#include <string>

// Fault-injecting proxies between two processes.
namespace testing_support {

struct fault_proxy_process {
    std::unique_ptr<process> child;
    std::string address;
    std::string control;
};

// Starts a proxy that forwards to `target`.
std::unique_ptr<fault_proxy_process>
start_proxy(const std::string& target, const temporary_directory& files);

} // namespace testing_support

#endif
