#ifndef LACEWINGBEAM_ENTRY_ANSWERS_HPP
#define LACEWINGBEAM_ENTRY_ANSWERS_HPP

#include "../adapters/http_types.hpp"
#include "lacewingbeam/verdict.hpp"

#include <string>
#include <string_view>

// Responses that an instance generates itself instead of relaying them from a
// backend server. docs/INTERFACE.md lists them.
namespace lacewingbeam {

struct local_response {
    int status = 0;
    header_list headers;
    std::string body;
};

// Returns the HTTP status for a verdict other than completed.
int http_status_of(const verdict& outcome);

// Returns an application/problem+json response (RFC 9457) that contains the
// verdict.
local_response make_error_response(const verdict& outcome,
                                   duration retry_after);

// True for response header fields of a backend server that are not relayed to
// the caller: they concern the connection or the instance, or the instance sets
// them itself.
bool is_internal_field(std::string_view name);

} // namespace lacewingbeam

#endif
