#ifndef LACEWINGBEAM_ADAPTERS_PLATFORM_CLIENT_HPP
#define LACEWINGBEAM_ADAPTERS_PLATFORM_CLIENT_HPP

#include "connection_pool.hpp"
#include "lacewingbeam/coordinator.hpp"
#include "lacewingbeam/table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The platform's table service and instance list, as docs/PLATFORM.md
// describes them.
namespace lacewingbeam {

// The names of the platform's tables that are used.
inline constexpr std::string_view services_table = "services";
inline constexpr std::string_view claims_table = "claims";
inline constexpr std::string_view journal_table = "journal";
inline constexpr std::string_view edits_table = "edits";

// Rows of a table that changed after some version.
struct table_page {
    std::uint64_t version = 0; // of the last row if there are more
    std::vector<raw_row> rows;
    bool more = false;
};

// One row write of a transaction.
struct row_write {
    std::string_view table;
    raw_row row; // its version is the expected one; 0: must not exist
    bool unconditional = false; // write whatever is there
};

// The transaction was committed as this version.
struct write_committed {
    std::uint64_t version = 0;
};

// Nothing was written: these rows were not as expected.
struct write_conflict {
    std::vector<raw_row> existing;
};

// No answer: it may or may not have been written.
struct write_unknown {
    std::string problem;
};

using write_result =
    std::variant<write_committed, write_conflict, write_unknown>;

// A read's outcome: nothing in `row` means that there is none.
struct read_result {
    bool ok = false;
    std::optional<raw_row> row;
    std::string problem;
};

class platform_client {
public:
    platform_client(event_loop& loop, connection_pool& pool,
                    std::string address, duration timeout);

    // Nothing is passed to the slot if the platform did not answer.
    void
    read_rows(std::string_view table, std::uint64_t after_version,
              const sigc::slot<void(const std::optional<table_page>&)>& done);
    void read_row(std::string_view table, const std::string& key,
                  const sigc::slot<void(const read_result&)>& done);
    void write(const std::vector<row_write>& writes,
               const sigc::slot<void(const write_result&)>& done);
    void read_instances(
        const sigc::slot<
            void(const std::optional<std::vector<listed_instance>>&)>& done);

private:
    struct http_response {
        int status = 0; // 0: no whole answer
        std::string body;
        std::string problem;
    };

    void request(evhttp_cmd_type method, const std::string& target,
                 const std::string& body,
                 const sigc::slot<void(const http_response&)>& done);

    event_loop& loop_;
    connection_pool& pool_;
    std::string address_;
    duration timeout_;
};

} // namespace lacewingbeam

#endif
