#include "event_log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <easylogging++.h>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace lacewingbeam {

namespace {

constexpr std::array<event_description, 44> catalogue{{
    {event_number::started, log_level::info, "started",
     "The instance is listening on its ports."},
    {event_number::stopping, log_level::info, "stopping",
     "SIGTERM received: readiness fails and requests in progress finish."},
    {event_number::stopped, log_level::info, "stopped",
     "All requests have finished; the process exits."},
    {event_number::start_failed, log_level::error, "start_failed",
     "The instance failed to start; the field reason gives the cause."},
    {event_number::reloaded, log_level::info, "reloaded",
     "The settings were reloaded and applied."},
    {event_number::reload_failed, log_level::warning, "reload_failed",
     "The changed settings are invalid; the previous ones remain in effect."},
    {event_number::loop_delayed, log_level::warning, "loop_delayed",
     "The event loop was busy or not scheduled; messages and connections "
     "waited."},
    {event_number::clients_given_up, log_level::warning, "clients_given_up",
     "Connections of clients were closed or their requests refused, to stay "
     "within the limits of the process."},
    {event_number::table_changed, log_level::info, "table_changed",
     "A newer version of the operators' table was applied."},
    {event_number::table_row_rejected, log_level::warning, "table_row_rejected",
     "A row is invalid; its last valid version remains in effect."},
    {event_number::platform_failed, log_level::warning, "platform_failed",
     "The platform did not respond; the last known table remains in effect."},
    {event_number::platform_recovered, log_level::info, "platform_recovered",
     "The platform responds again."},
    {event_number::table_unconfirmed, log_level::error, "table_unconfirmed",
     "Neither the platform nor any peer responds; calls fail with not_run."},
    {event_number::table_confirmed, log_level::info, "table_confirmed",
     "The table was confirmed; calls are accepted."},
    {event_number::reading_began, log_level::info, "reading_began",
     "The instance started to read the metadata store itself: it was chosen as "
     "a reader, or no reader sent it updates."},
    {event_number::reading_ended, log_level::info, "reading_ended",
     "The instance receives metadata store updates from its peers again."},
    {event_number::store_restored, log_level::warning, "store_restored",
     "The metadata store was restored from a copy and lost its latest "
     "changes."},
    {event_number::older_rows_ignored, log_level::warning, "older_rows_ignored",
     "A restored metadata store shows older rows than the instance holds, "
     "which stay in effect."},
    {event_number::peer_joined, log_level::info, "peer_joined",
     "The first heartbeat of a peer was received."},
    {event_number::peer_suspected, log_level::warning, "peer_suspected",
     "There was no news of a peer for suspect_after."},
    {event_number::peer_gone, log_level::info, "peer_gone",
     "There was no news of a peer for gone_after, or it was replaced."},
    {event_number::peer_message_dropped, log_level::warning,
     "peer_message_dropped",
     "A message on the peer port failed authentication or decoding."},
    {event_number::server_leaving, log_level::info, "server_leaving",
     "A backend server is leaving and receives no new requests."},
    {event_number::server_replaced, log_level::warning, "server_replaced",
     "A different backend server responds at this address; it gets no "
     "requests."},
    {event_number::server_limit_changed, log_level::info,
     "server_limit_changed",
     "A backend server named a limit for the requests per second that it "
     "accepts, or lifted it."},
    {event_number::server_limit_invalid, log_level::warning,
     "server_limit_invalid",
     "A backend server named a limit that is not a number; it is ignored."},
    {event_number::budgets_shared, log_level::info, "budgets_shared",
     "The number of instances that share the common budgets changed."},
    {event_number::path_lost, log_level::warning, "path_lost",
     "No backend server responds to this instance; requests are forwarded to "
     "others."},
    {event_number::path_restored, log_level::info, "path_restored",
     "A backend server responds again."},
    {event_number::server_paused, log_level::info, "server_paused",
     "A backend server refused a request and wants no others for some time."},
    {event_number::server_pause_invalid, log_level::warning,
     "server_pause_invalid",
     "A backend server named a pause that is not a number; it is ignored."},
    {event_number::call_may_have_run, log_level::warning, "call_may_have_run",
     "A call ended without a response and may have been executed."},
    {event_number::call_refused, log_level::debug, "call_refused",
     "A call was rejected without being executed."},
    {event_number::answer_broken_off, log_level::warning, "answer_broken_off",
     "A response that had started could not be completed."},
    {event_number::claim_write_unknown, log_level::warning,
     "claim_write_unknown",
     "No response to a claim write; its row is read back before any "
     "execution."},
    {event_number::journal_write_failed, log_level::warning,
     "journal_write_failed",
     "Recorded responses could not be written to the platform."},
    {event_number::request_placed, log_level::info, "request_placed",
     "A request was sent to a backend server, with the reasons for the "
     "choice."},
    {event_number::attempt_failed, log_level::info, "attempt_failed",
     "A backend server rejected a request, failed it or did not respond."},
    {event_number::request_finished, log_level::info, "request_finished",
     "The final response was sent to the caller."},
    {event_number::caller_gone, log_level::info, "caller_gone",
     "A caller disconnected before the response; its request was cancelled."},
    {event_number::lines_left_out, log_level::warning, "lines_left_out",
     "Request log lines were omitted to limit the log rate."},
    {event_number::request_quarantined, log_level::warning,
     "request_quarantined",
     "A request crashed several servers and is refused by this instance."},
    {event_number::request_released, log_level::info, "request_released",
     "A quarantined request is accepted again."},
    {event_number::request_forwarded, log_level::info, "request_forwarded",
     "A request was forwarded to another instance, which has a path to the "
     "servers."},
}};

log_level min_level = log_level::info;
std::uint64_t lines_lost = 0; // since the last line that was written

log_level parse_level(std::string_view name) {
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

constexpr std::string_view quoted_characters = " \"=\n\r\t";

const event_description& describe(event_number number) {
    return *std::find_if(
        catalogue.begin(), catalogue.end(),
        [&](const auto& item) { return item.number == number; });
}

void append_value(std::string& line, std::string_view value) {
    if (!value.empty() &&
        value.find_first_of(quoted_characters) == std::string_view::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        const bool control = static_cast<unsigned char>(c) < ' ';
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += control ? ' ' : c;
    }
    line += '"';
}

void disable(el::Configurations& configuration, el::Level level) {
    configuration.set(level, el::ConfigurationType::Enabled, "false");
}

// Standard output is non-blocking, so a slow reader causes lost log lines
// instead of blocking the process. Clears the stream error and counts the line.
void recover_output() {
    if (!std::cout) {
        std::cout.clear();
        ++lines_lost;
    }
}

} // namespace

std::string event_code(event_number number) {
    return "LB" + std::to_string(static_cast<int>(number));
}

std::string decimal_text(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

std::string ms_text(duration value) {
    return decimal_text(to_ms(value));
}

std::string age_text(std::optional<duration> value) {
    return value ? ms_text(*value) : "never";
}

std::span<const event_description> event_catalogue() {
    return catalogue;
}

void configure_log(std::string_view level) {
    min_level = parse_level(level);
    if (isatty(STDOUT_FILENO) == 0) {
        fcntl(STDOUT_FILENO, F_SETFL,
              fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    el::Configurations configuration;
    configuration.setToDefault();
    using type = el::ConfigurationType;
    configuration.setGlobally(type::ToFile, "false");
    configuration.setGlobally(type::ToStandardOutput, "true");
    configuration.setGlobally(type::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    if (level != "debug") {
        disable(configuration, el::Level::Debug);
    }
    if (level == "warning" || level == "error") {
        disable(configuration, el::Level::Info);
    }
    if (level == "error") {
        disable(configuration, el::Level::Warning);
    }
    el::Loggers::reconfigureAllLoggers(configuration);
}

bool is_logged(event_number number) {
    return describe(number).level >= min_level;
}

void log_event(event_number number, std::initializer_list<log_field> fields) {
    const auto& event = describe(number);
    std::string line = event_code(number) + " ";
    line += event.name;
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    if (lines_lost > 0) {
        line += " lines_lost=" + std::to_string(lines_lost);
        lines_lost = 0;
    }
    switch (event.level) {
    case log_level::debug:
        LOG(DEBUG) << line;
        break;
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
    recover_output();
}

} // namespace lacewingbeam
