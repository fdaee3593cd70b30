#ifndef LACEWINGBEAM_ENTRY_FORWARD_TOKEN_HPP
#define LACEWINGBEAM_ENTRY_FORWARD_TOKEN_HPP

#include "lacewingbeam/core.hpp"

#include <optional>
#include <string>
#include <string_view>

// Marks a call that one instance forwards to another, so that no caller can
// pose as a peer.
namespace lacewingbeam {

// The header's value for a call with this target, meant for `owner`.
std::string make_forward_token(const incarnation& owner,
                               std::string_view target, std::string_view key);

// The life the call is meant for; nothing if the value was not made with key
// for this target.
std::optional<incarnation> verify_forward_token(std::string_view token,
                                                std::string_view target,
                                                std::string_view key);

} // namespace lacewingbeam

#endif
