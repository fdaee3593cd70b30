#ifndef LACEWINGBEAM_ENTRY_CALL_REQUEST_HPP
#define LACEWINGBEAM_ENTRY_CALL_REQUEST_HPP

#include "../adapters/http_listener.hpp"
#include "../adapters/trace_recorder.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <optional>
#include <string>
#include <variant>

// Reads a caller's HTTP request into the form that decisions need.
namespace lacewingbeam {

struct call_request {
    arriving_call arriving;
    http_request outgoing; // for the backend server
    std::string target;    // as received, for a forward
    header_list headers;   // as received
    std::optional<trace_context> parent;
    std::optional<incarnation> forwarded_to; // by a peer's forward token
    bool wants_ticket = false;
};

// Why a request is answered at once instead.
struct invalid_request {
    std::string problem;
};

// Reads and checks a request. `key` authenticates forward tokens.
std::variant<call_request, invalid_request>
parse_call_request(const incoming_request& incoming, std::string_view key);

} // namespace lacewingbeam

#endif
