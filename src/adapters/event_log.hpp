#ifndef LACEWINGBEAM_ADAPTERS_EVENT_LOG_HPP
#define LACEWINGBEAM_ADAPTERS_EVENT_LOG_HPP

#include "lacewingbeam/core.hpp"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

// Structured log events with stable numbers, written to standard output with
// easylogging++. docs/EVENTS.md documents them.
namespace lacewingbeam {

enum class log_level { debug, info, warning, error };

// Event numbers are stable: the number of a removed event is never reused.
enum class event_number {
    started = 1001,
    stopping = 1002,
    stopped = 1003,
    start_failed = 1004,
    reloaded = 1006,
    reload_failed = 1007,
    loop_delayed = 1008,
    clients_given_up = 1009,
    table_changed = 1101,
    table_row_rejected = 1102,
    platform_failed = 1103,
    platform_recovered = 1104,
    table_unconfirmed = 1105,
    table_confirmed = 1106,
    reading_began = 1107,
    reading_ended = 1108,
    store_restored = 1109,
    older_rows_ignored = 1110,
    peer_joined = 1201,
    peer_suspected = 1202,
    peer_gone = 1203,
    peer_message_dropped = 1204,
    server_leaving = 1301,
    server_replaced = 1302,
    server_limit_changed = 1303,
    server_limit_invalid = 1304,
    budgets_shared = 1305,
    path_lost = 1306,
    path_restored = 1307,
    server_paused = 1308,
    server_pause_invalid = 1309,
    call_may_have_run = 1401,
    call_refused = 1402,
    answer_broken_off = 1403,
    claim_write_unknown = 1501,
    journal_write_failed = 1502,
    request_placed = 1601,
    attempt_failed = 1602,
    request_finished = 1603,
    caller_gone = 1604,
    lines_left_out = 1605,
    request_quarantined = 1606,
    request_released = 1607,
    request_forwarded = 1608,
};

// Number, severity, name and documentation of an event.
struct event_description {
    event_number number;
    log_level level;
    std::string_view name;
    std::string_view meaning;
};

// Formats an event number as it appears in the log, such as LB1601.
std::string event_code(event_number number);

// Returns all events, sorted by number.
std::span<const event_description> event_catalogue();

struct log_field {
    std::string_view name;
    std::string value;
};

// Format a number, or a duration in milliseconds, with one decimal place for
// use as a field value.
std::string decimal_text(double value);
std::string ms_text(duration value);

// Formats the time since an event in milliseconds; "never" for nullopt.
std::string age_text(std::optional<duration> value);

// Sets the minimum severity that is written: debug, info, warning or error.
// Makes standard output non-blocking unless it is a terminal.
void configure_log(std::string_view level);

// Returns whether the event's severity is enabled.
bool is_logged(event_number number);

// Writes one line: time, level, number, name and the fields as name=value.
void log_event(event_number number, std::initializer_list<log_field> fields);

} // namespace lacewingbeam

#endif
