#ifndef LACEWINGBEAM_ADAPTERS_HTTP_TYPES_HPP
#define LACEWINGBEAM_ADAPTERS_HTTP_TYPES_HPP

#include "lacewingbeam/operation_ledger.hpp"
#include "message_body.hpp"

#include <event2/http.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// HTTP message types and helpers shared by the adapters.
namespace lacewingbeam {

using header_list = std::vector<header_field>;

struct http_request {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target; // path and query
    header_list headers;
    message_body body;
};

struct http_response_head {
    int status = 0;
    header_list headers;
    // Not set for chunked and close-delimited bodies.
    std::optional<std::size_t> content_length;
};

// Returns the method token, such as GET; empty if the method is not supported.
std::string_view method_name(evhttp_cmd_type method);

// Returns nullopt for a method that is not supported.
std::optional<evhttp_cmd_type> parse_method(std::string_view name);

// Returns the value of the first field with this name, ignoring case.
std::optional<std::string_view> find_header(const header_list& headers,
                                            std::string_view name);

bool equal_ignoring_case(std::string_view a, std::string_view b);

// Returns whether a field applies to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1). Also true for Host, Content-Length and
// Expect: the first two are generated anew for each hop.
bool is_hop_by_hop(std::string_view name);

// Converts libevent's header list.
header_list copy_headers(evkeyvalq* headers);

} // namespace lacewingbeam

#endif
