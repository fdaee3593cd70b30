#include "proxy.hpp"

namespace testing_support {

std::unique_ptr<fault_proxy_process>
start_proxy(const std::string& target, const temporary_directory& files) {
    auto made = std::make_unique<fault_proxy_process>();
    made->child = std::make_unique<process>(
        std::vector<std::string>{program("fault-proxy"), "-t",
                                 target.substr(target.rfind(':') + 1)},
        files.file("proxy.log"));
    made->control = last_word(made->child->read_line());
    made->address = last_word(made->child->read_line());
    return made;
}

} // namespace testing_support
