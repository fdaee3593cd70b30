#include "call_request.hpp"

#include "adapters/forward_token.hpp"
#include "adapters/header_names.hpp"
#include "lacewingbeam/number.hpp"

namespace lacewingbeam {

namespace {

constexpr std::int64_t max_timeout_ms = 3600'000;
constexpr std::int64_t max_attempt_number = 1'000'000;

// Request header fields that the instance consumes and does not relay.
bool is_instance_field(std::string_view name) {
    for (const auto own :
         {header::ticket, header::want_ticket, header::forwarded,
          header::timeout_ms, header::attempt, header::traceparent,
          header::verdict}) {
        if (equal_ignoring_case(name, own)) {
            return true;
        }
    }
    return false;
}

std::string header_or_empty(const header_list& headers, std::string_view name) {
    return std::string(find_header(headers, name).value_or(""));
}

// Parses a header value that must be an integer from 1 to `limit`. Returns
// `fallback` if the header is absent and nullopt if its value is invalid.
std::optional<std::int64_t> parse_number_header(const header_list& headers,
                                                std::string_view name,
                                                std::int64_t limit,
                                                std::int64_t fallback) {
    const auto text = find_header(headers, name);
    if (!text) {
        return fallback;
    }
    const auto value = to_number<std::int64_t>(*text);
    return value && *value >= 1 && *value <= limit ? value : std::nullopt;
}

invalid_request make_number_error(std::string_view name, std::int64_t limit) {
    return {std::string(name) + " must be an integer from 1 to " +
            std::to_string(limit)};
}

// Splits a target of the form "/service/path?query". Returns false if it names
// no service.
bool parse_target(std::string_view target, call_request& call) {
    if (!target.starts_with('/')) {
        return false;
    }
    const auto path_end = std::min(target.find('?'), target.size());
    const auto slash = std::min(target.find('/', 1), path_end);
    call.arriving.service = target.substr(1, slash - 1);
    call.arriving.path = target.substr(slash, path_end - slash);
    if (call.arriving.path.empty()) {
        call.arriving.path = "/";
    }
    call.outgoing.target = call.arriving.path;
    call.outgoing.target += target.substr(path_end);
    return !call.arriving.service.empty();
}

std::uint64_t compute_fingerprint(const call_request& call) {
    std::vector<std::string_view> content{call.arriving.method, " ",
                                          call.target, "\n"};
    for (const auto piece : call.outgoing.body.pieces()) {
        content.push_back(piece);
    }
    return hash(content);
}

void copy_outgoing_headers(const incoming_request& incoming,
                           call_request& call) {
    for (const auto& field : call.headers) {
        if (!is_hop_by_hop(field.name) && !is_instance_field(field.name)) {
            call.outgoing.headers.push_back(field);
        }
    }
    call.outgoing.headers.push_back(
        {std::string(header::forwarded_for), incoming.peer_address()});
}

} // namespace

std::variant<call_request, invalid_request>
parse_call_request(incoming_request& incoming, std::string_view key) {
    call_request call;
    call.target = incoming.target();
    call.headers = incoming.headers();
    call.arriving.method = method_name(incoming.method());
    if (call.arriving.method.empty()) {
        return invalid_request{"the HTTP method is not supported"};
    }
    if (!parse_target(call.target, call)) {
        return invalid_request{"the path must have the form /service/..."};
    }
    const auto timeout = parse_number_header(call.headers, header::timeout_ms,
                                             max_timeout_ms, max_timeout_ms);
    if (!timeout) {
        return make_number_error(header::timeout_ms, max_timeout_ms);
    }
    const auto attempt = parse_number_header(call.headers, header::attempt,
                                             max_attempt_number, 1);
    if (!attempt) {
        return make_number_error(header::attempt, max_attempt_number);
    }
    call.arriving.time_left = std::chrono::milliseconds(*timeout);
    call.arriving.attempt = static_cast<unsigned>(*attempt);
    const auto forwarded = find_header(call.headers, header::forwarded);
    if (forwarded) {
        call.forwarded_to = verify_forward_token(*forwarded, call.target, key);
        if (!call.forwarded_to) {
            return invalid_request{std::string(header::forwarded) +
                                   " is not valid"};
        }
        call.arriving.forwarded = true;
    }
    call.outgoing.method = incoming.method();
    call.outgoing.body = incoming.take_body();
    call.arriving.ticket = header_or_empty(call.headers, header::ticket);
    call.arriving.idempotency_key =
        header_or_empty(call.headers, header::idempotency_key);
    call.arriving.fingerprint = compute_fingerprint(call);
    call.wants_ticket = !call.arriving.ticket.empty() ||
                        find_header(call.headers, header::want_ticket);
    const auto parent = find_header(call.headers, header::traceparent);
    if (parent) {
        call.parent = parse_traceparent(*parent);
    }
    copy_outgoing_headers(incoming, call);
    return call;
}

} // namespace lacewingbeam
