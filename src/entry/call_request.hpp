#ifndef LACEWINGBEAM_ENTRY_CALL_REQUEST_HPP
#define LACEWINGBEAM_ENTRY_CALL_REQUEST_HPP

#include "../adapters/http_listener.hpp"
#include "../adapters/trace_recorder.hpp"
#include "lacewingbeam/coordinator.hpp"

#include <optional>
#include <string>
#include <variant>

// Parses a caller's HTTP request into the coordinator's representation of a
// call.
namespace lacewingbeam {

struct call_request {
    arriving_call arriving;
    http_request outgoing; // to the backend server
    std::string target;    // as received; used if the call is forwarded
    header_list headers;   // as received
    std::optional<trace_context> parent;
    std::optional<incarnation> forwarded_to; // named by a peer's forward token
    bool wants_ticket = false;
};

// A request that is rejected without being processed further.
struct invalid_request {
    std::string problem;
};

// Parses and validates a request and takes its body. `key` authenticates
// forward tokens.
std::variant<call_request, invalid_request>
parse_call_request(incoming_request& incoming, std::string_view key);

} // namespace lacewingbeam

#endif
