#include "http_types.hpp"

#include <algorithm>
#include <array>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace lacewingbeam {

namespace {

struct method_entry {
    evhttp_cmd_type method;
    std::string_view name;
};

constexpr std::array<method_entry, 7> methods{{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
}};

constexpr std::array<std::string_view, 11> hop_by_hop_fields{
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade",
    "host",       "expect",     "content-length"};

} // namespace

std::string_view method_name(evhttp_cmd_type method) {
    for (const auto& item : methods) {
        if (item.method == method) {
            return item.name;
        }
    }
    return {};
}

std::optional<evhttp_cmd_type> parse_method(std::string_view name) {
    for (const auto& item : methods) {
        if (item.name == name) {
            return item.method;
        }
    }
    return std::nullopt;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string_view> find_header(const header_list& headers,
                                            std::string_view name) {
    for (const auto& field : headers) {
        if (equal_ignoring_case(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
                       [&](std::string_view field) {
                           return equal_ignoring_case(field, name);
                       });
}

header_list copy_headers(evkeyvalq* headers) {
    header_list copy;
    for (const auto* field = headers->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
        copy.push_back({field->key, field->value});
    }
    return copy;
}

} // namespace lacewingbeam
