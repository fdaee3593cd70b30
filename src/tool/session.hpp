#ifndef LACEWINGBEAM_TOOL_SESSION_HPP
#define LACEWINGBEAM_TOOL_SESSION_HPP

#include "adapters/connection_pool.hpp"
#include "adapters/platform_client.hpp"

#include <string>
#include <vector>

// The tool's requests, each waited for.
namespace lacewingbeam {

// Thrown when the platform or an instance does not answer.
class unreachable_error : public error {
public:
    using error::error;
};

struct http_result {
    int status = 0; // 0: no whole answer
    std::string body;
};

class tool_session {
public:
    // `platform` is IP:port; it may be empty where no platform is needed.
    explicit tool_session(const std::string& platform);

    // The operators' table, deleted rows left out, in order of key. Throws
    // unreachable_error.
    std::vector<raw_row> read_table();

    // The row, or nothing if there is none. Throws unreachable_error.
    std::optional<raw_row> read_row(std::string_view table,
                                    const std::string& key);

    write_result write(const std::vector<row_write>& writes);

    // Throws unreachable_error.
    std::vector<listed_instance> read_instances();

    // GET from an instance's admin API.
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
