#include "adapters/event_log.hpp"
#include "adapters/header_names.hpp"
#include "request_gateway.hpp"

// What backend servers say in their responses about themselves.
namespace lacewingbeam {

namespace {

constexpr int status_unavailable = 503;

} // namespace

// A successful response to a request without a limit lifts it. Others, such as
// those to probes, may lack the header.
void request_gateway::note_limit(const std::string& server,
                                 const http_response_head& head,
                                 bool lifts_if_missing) {
    const auto text =
        find_header(head.headers, platform_.headers.request_limit);
    const auto limit =
        text ? platform_.parse_request_limit(*text) : std::optional<double>();
    if (text && !limit) {
        log_.write(event_number::server_limit_invalid,
                   {{"server", server}, {"limit", std::string(*text)}},
                   loop_.now());
        return;
    }
    if (!limit && !lifts_if_missing) {
        return;
    }
    if (router_.on_limit(server, limit, loop_.now())) {
        log_.write(event_number::server_limit_changed,
                   {{"server", server},
                    {"limit", limit ? decimal_text(*limit) : "none"}},
                   loop_.now());
    }
}

void request_gateway::note_server_notices(const std::string& server,
                                          const http_response_head& head) {
    const auto leaving = find_header(head.headers, platform_.headers.leaving);
    if (leaving && platform_.parse_leaving(*leaving)) {
        note_leaving(server, "server");
    }
    const auto text = find_header(head.headers, platform_.headers.pause);
    if (!text || head.status != status_unavailable) {
        return;
    }
    const auto pause = platform_.parse_pause(*text);
    if (!pause) {
        log_.write(event_number::server_pause_invalid,
                   {{"server", server}, {"pause", std::string(*text)}},
                   loop_.now());
    } else if (router_.on_server_pause(server, *pause, loop_.now())) {
        log_.write(event_number::server_paused,
                   {{"server", server}, {"for_ms", ms_text(*pause)}},
                   loop_.now());
    }
}

// A response that another instance passes on tells which server it is from. A
// pause concerns the instance that the server refused.
void request_gateway::note_forwarded_notices(const http_response_head& head) {
    const auto server = find_header(head.headers, header::server);
    const auto leaving = find_header(head.headers, platform_.headers.leaving);
    if (server && !server->empty() && leaving &&
        platform_.parse_leaving(*leaving)) {
        note_leaving(std::string(*server), "peer");
    }
}

void request_gateway::note_leaving(const std::string& server,
                                   std::string_view told_by) {
    if (router_.on_server_leaving(server, loop_.now())) {
        log_event(event_number::server_leaving,
                  {{"server", server}, {"told_by", std::string(told_by)}});
    }
}

} // namespace lacewingbeam
