#ifndef LACEWINGBEAM_ENDPOINT_HPP
#define LACEWINGBEAM_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// An IP address and port, written "192.0.2.1:80" or "[2001:db8::1]:80".
namespace lacewingbeam {

struct endpoint {
    std::string ip; // without brackets
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

// Returns true for the text form of an IPv4 or IPv6 address.
bool is_ip_address(std::string_view text);

// Returns nullopt unless the text is an IP address and a port from 1 to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& value);

} // namespace lacewingbeam

#endif
