#ifndef LACEWINGBEAM_VERDICT_HPP
#define LACEWINGBEAM_VERDICT_HPP

#include <optional>
#include <string>
#include <string_view>
#include <variant>

// Verdicts tell a caller whether its request may have run on a backend server.
namespace lacewingbeam {

// Reasons why a request is known not to have run.
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
    quarantined, // it crashed the servers that ran it
    no_path,     // from this instance to any backend server
};

// Reasons why a request may have run without a known answer.
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

// A complete answer was received from a backend server.
struct completed {
    bool operator==(const completed&) const = default;
};

// Either no byte of the request can have reached a backend server, or the
// backend server refused the request before starting it. For a call with a
// ticket or key this holds for all requests for the same operation with the
// same or a lower attempt number, including requests still in transit.
struct not_run {
    not_run_reason reason;
    bool operator==(const not_run&) const = default;
};

// The request may have run, but not more than once.
struct may_have_run {
    may_have_run_reason reason;
    bool operator==(const may_have_run&) const = default;
};

using verdict = std::variant<completed, not_run, may_have_run>;

std::string_view to_string(not_run_reason reason);
std::string_view to_string(may_have_run_reason reason);

// Returns "completed", "not_run" or "may_have_run".
std::string_view kind_name(const verdict& value);

// Returns the name of the reason; empty for completed.
std::string_view reason_name(const verdict& value);

// Formats the value of the lacewingbeam-verdict header, for example
// "not_run; reason=shed".
std::string to_string(const verdict& value);

// Parses the value of that header. Returns nullopt for other text.
std::optional<verdict> parse_verdict(std::string_view text);

// True if retrying the request cannot make it run twice.
bool certainly_not_run(const verdict& value);

} // namespace lacewingbeam

#endif
