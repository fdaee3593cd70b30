#include "proxy.hpp"

namespace testing_support {

std::unique_ptr<fault_proxy_process>
start_proxy(const std::string& target, const temporary_directory& files) {
    auto proxy = std::make_unique<fault_proxy_process>();
    proxy->child = std::make_unique<process>(
        std::vector<std::string>{program("fault-proxy"), "-t",
                                 target.substr(target.rfind(':') + 1)},
        files.file("proxy.log"));
    proxy->control = last_word(proxy->child->read_line());
    proxy->address = last_word(proxy->child->read_line());
    return proxy;
}

} // namespace testing_support
