#ifndef LACEWINGBEAM_ADAPTERS_WIRE_CODEC_HPP
#define LACEWINGBEAM_ADAPTERS_WIRE_CODEC_HPP

#include "lacewingbeam/peer_messages.hpp"

#include <string>
#include <string_view>

// Peers' messages as bytes: an authentication code, then Thrift's compact
// protocol.
namespace lacewingbeam {

// Thrown for bytes that are no message of a peer with the same key.
class wire_error : public error {
public:
    using error::error;
};

std::string encode_message(const peer_message& message, std::string_view key);

// Throws wire_error.
peer_message decode_message(std::string_view bytes, std::string_view key);

} // namespace lacewingbeam

#endif
