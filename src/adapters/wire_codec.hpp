#ifndef LACEWINGBEAM_ADAPTERS_WIRE_CODEC_HPP
#define LACEWINGBEAM_ADAPTERS_WIRE_CODEC_HPP

#include "lacewingbeam/peer_messages.hpp"

#include <string>
#include <string_view>

// Encoding of peer messages: an authentication code followed by the message in
// Thrift's compact protocol.
namespace lacewingbeam {

// Thrown for bytes that are not a valid message authenticated with the key.
class wire_error : public error {
public:
    using error::error;
};

std::string encode_message(const peer_message& message, std::string_view key);

// Throws wire_error.
peer_message decode_message(std::string_view bytes, std::string_view key);

} // namespace lacewingbeam

#endif
