#ifndef LACEWINGBEAM_TOOL_SESSION_HPP
#define LACEWINGBEAM_TOOL_SESSION_HPP

#include "adapters/connection_pool.hpp"
#include "adapters/platform_client.hpp"

#include <string>
#include <vector>

// Blocking requests of the tool to the platform and to instances.
namespace lacewingbeam {

// Thrown when the platform or an instance does not answer.
class unreachable_error : public error {
public:
    using error::error;
};

struct http_result {
    int status = 0; // 0: no complete response
    std::string body;
};

class tool_session {
public:
    // `platform` is IP:port, or empty for commands that do not use the
    // platform.
    explicit tool_session(const std::string& platform);

    // Returns the services table sorted by key, without deleted rows. Throws
    // unreachable_error.
    std::vector<raw_row> read_table();

    // Returns the row, or nothing if it does not exist. Throws
    // unreachable_error.
    std::optional<raw_row> read_row(std::string_view table,
                                    const std::string& key);

    write_result write(const std::vector<row_write>& writes);

    // Throws unreachable_error.
    std::vector<listed_instance> read_instances();

    // Sends a GET request to an instance's admin API.
    http_result get(const std::string& address, const std::string& target);

    void sleep(duration time);

private:
    platform_client& platform();
    table_page read_page(std::uint64_t after_version);
    void wait();

    event_loop loop_;
    connection_pool pool_;
    std::optional<platform_client> platform_;
};

} // namespace lacewingbeam

#endif
