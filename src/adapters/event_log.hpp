#ifndef LACEWINGBEAM_ADAPTERS_EVENT_LOG_HPP
#define LACEWINGBEAM_ADAPTERS_EVENT_LOG_HPP

#include "lacewingbeam/core.hpp"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

// Numbered log events, written through easylogging++ to standard output. The
// catalogue is docs/EVENTS.md.
namespace lacewingbeam {

enum class log_level { debug, info, warning, error };

// The numbers are for good: one that is no longer used is not given again.
enum class event_number {
    started = 1001,
    stopping = 1002,
    stopped = 1003,
    start_failed = 1004,
    reloaded = 1006,
    reload_failed = 1007,
    table_changed = 1101,
    table_row_rejected = 1102,
    platform_failed = 1103,
    platform_recovered = 1104,
    table_unconfirmed = 1105,
    table_confirmed = 1106,
    reading_began = 1107,
    reading_ended = 1108,
    peer_joined = 1201,
    peer_suspected = 1202,
    peer_gone = 1203,
    peer_message_dropped = 1204,
    server_leaving = 1301,
    server_replaced = 1302,
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
};

// How an event appears in the log.
struct event_description {
    event_number number;
    log_level level;
    std::string_view name;
    std::string_view meaning;
};

// The number as it stands in a log, such as LB1601.
std::string event_code(event_number number);

// Every event, in order of number.
std::span<const event_description> event_catalogue();

struct log_field {
    std::string_view name;
    std::string value;
};

// A figure or a time in milliseconds with one decimal, as fields show them.
std::string decimal_text(double value);
std::string ms_text(duration value);

// The same for a time since something; "never" if it did not happen.
std::string age_text(std::optional<duration> value);

// Sets the least level that is written: debug, info, warning or error.
void configure_log(std::string_view level);

// True if the event's level is written.
bool is_logged(event_number number);

// Writes one line: time, level, number, name and fields as name=value.
void log_event(event_number number, std::initializer_list<log_field> fields);

} // namespace lacewingbeam

#endif
