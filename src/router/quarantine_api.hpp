#ifndef LACEWINGBEAM_ROUTER_QUARANTINE_API_HPP
#define LACEWINGBEAM_ROUTER_QUARANTINE_API_HPP

#include "adapters/http_listener.hpp"
#include "request_gateway.hpp"

#include <string_view>

// Lets operators see which requests are refused because they crash servers, and
// end that.
namespace lacewingbeam {

inline constexpr std::string_view quarantine_path = "/quarantine";

// Answers GET /quarantine with the requests that are refused, and
// DELETE /quarantine/FINGERPRINT by accepting that request again on all
// instances. Replies 404 to a fingerprint that is not refused.
void handle_quarantine_call(incoming_request& incoming,
                            const request_quarantine& quarantine,
                            request_gateway& gateway, time_point now);

} // namespace lacewingbeam

#endif
