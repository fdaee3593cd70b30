#ifndef LACEWINGBEAM_ADAPTERS_FORWARD_TOKEN_HPP
#define LACEWINGBEAM_ADAPTERS_FORWARD_TOKEN_HPP

#include "lacewingbeam/core.hpp"

#include <optional>
#include <string>
#include <string_view>

// Authenticates calls that one instance forwards to another, so that a caller
// cannot impersonate a peer.
namespace lacewingbeam {

// Returns the header value for a call with this target that is forwarded to
// `owner`.
std::string make_forward_token(const incarnation& owner,
                               std::string_view target, std::string_view key);

// Returns the incarnation that the call is forwarded to, or nullopt if the
// token was not made with `key` for this target.
std::optional<incarnation> verify_forward_token(std::string_view token,
                                                std::string_view target,
                                                std::string_view key);

} // namespace lacewingbeam

#endif
