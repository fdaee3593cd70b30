#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/number.hpp"

#include <arpa/inet.h>

namespace lacewingbeam {

bool is_ip_address(std::string_view text) {
    const std::string copy(text);
    in6_addr storage{};
    return inet_pton(AF_INET, copy.c_str(), &storage) == 1 ||
           inet_pton(AF_INET6, copy.c_str(), &storage) == 1;
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    const bool has_colon = ip.find(':') != std::string_view::npos;
    if (has_colon != bracketed || !is_ip_address(ip)) {
        return std::nullopt;
    }
    const auto port = to_number<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0) {
        return std::nullopt;
    }
    return endpoint{std::string(ip), *port};
}

std::string to_string(const endpoint& value) {
    const bool is_v6 = value.ip.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + value.ip + "]" : value.ip;
    return host + ":" + std::to_string(value.port);
}

} // namespace lacewingbeam
