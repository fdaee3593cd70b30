#ifndef LACEWINGBEAM_ADAPTERS_HTTP_TYPES_HPP
#define LACEWINGBEAM_ADAPTERS_HTTP_TYPES_HPP

#include "lacewingbeam/operation_ledger.hpp"

#include <event2/http.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// HTTP messages as the adapters pass them on.
namespace lacewingbeam {

using header_list = std::vector<header_field>;

struct http_request {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target; // path and query
    header_list headers;
    std::string body;
};

struct http_response_head {
    int status = 0;
    header_list headers;
    // Nothing if the end is marked otherwise or there is no body.
    std::optional<std::size_t> content_length;
};

// The method's name as on the wire; empty if unknown.
std::string_view method_name(evhttp_cmd_type method);

// Nothing if this HTTP library cannot send the method.
std::optional<evhttp_cmd_type> parse_method(std::string_view name);

// The first field of that name, case ignored; nothing if there is none.
std::optional<std::string_view> find_header(const header_list& headers,
                                            std::string_view name);

bool equal_ignoring_case(std::string_view a, std::string_view b);

// Fields that belong to one connection and are not passed on (RFC 9110,
// section 7.6.1), Content-Length and Host included, which are made anew.
bool is_hop_by_hop(std::string_view name);

// Copies libevent's list.
header_list copy_headers(evkeyvalq* headers);

} // namespace lacewingbeam

#endif
