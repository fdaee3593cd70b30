#ifndef LACEWINGBEAM_ENTRY_ANSWERS_HPP
#define LACEWINGBEAM_ENTRY_ANSWERS_HPP

#include "../adapters/http_types.hpp"
#include "lacewingbeam/verdict.hpp"

#include <string>
#include <string_view>

// The answers that an instance gives itself, as docs/INTERFACE.md lists
// them.
namespace lacewingbeam {

struct local_response {
    int status = 0;
    header_list headers;
    std::string body;
};

// The HTTP status for a verdict other than completed.
int http_status_of(const verdict& outcome);

// An error as application/problem+json (RFC 9457) with the verdict in it.
local_response make_error_response(const verdict& outcome,
                                   duration retry_after);

// Answer fields that end at an instance and are not passed on.
bool is_internal_field(std::string_view name);

} // namespace lacewingbeam

#endif
