#ifndef LACEWINGBEAM_VERDICT_HPP
#define LACEWINGBEAM_VERDICT_HPP

#include <string>
#include <string_view>
#include <variant>

// Says whether a request may have run on a backend server.
namespace lacewingbeam {

// Why a request certainly did not run.
enum class not_run_reason {
    unknown_service,
    bad_request,
    no_backend_server,
    queue_full,
    deadline_passed,
    connect_failed,
    shed,
    draining,
    cancelled_before_start,
    caller_gone,
    instance_stopping,
    table_unconfirmed,
    ticket_invalid,
    ticket_expired,
    ticket_content_differs,
};

// Why a request may have run although its answer is not known.
enum class may_have_run_reason {
    connection_lost,
    answer_timeout,
    answer_malformed,
    answer_truncated,
    caller_gone,
    minter_unreachable,
    answer_not_kept,
    still_running,
    store_unavailable,
    owner_not_consulted,
    operations_full,
    server_failed,
};

// The whole answer of a backend server was received.
struct completed {
    bool operator==(const completed&) const = default;
};

// No byte of the request can have reached a backend server, or the backend
// server itself refused it before it started. For a call with a ticket or
// key this also covers every send of the same operation with the same or a
// lower attempt number, also one that is still on its way.
struct not_run {
    not_run_reason reason;
    bool operator==(const not_run&) const = default;
};

// The request may have run, once.
struct may_have_run {
    may_have_run_reason reason;
    bool operator==(const may_have_run&) const = default;
};

using verdict = std::variant<completed, not_run, may_have_run>;

std::string_view to_string(not_run_reason reason);
std::string_view to_string(may_have_run_reason reason);

// "completed", "not_run" or "may_have_run".
std::string_view kind_name(const verdict& value);

// The reason's name; empty for completed.
std::string_view reason_name(const verdict& value);

// The value of the header lacewingbeam-verdict: "not_run; reason=shed".
std::string to_string(const verdict& value);

// True if sending the request again cannot make it run twice.
bool certainly_not_run(const verdict& value);

} // namespace lacewingbeam

#endif
