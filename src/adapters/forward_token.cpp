#include "forward_token.hpp"

#include "lacewingbeam/ticket.hpp"

#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace lacewingbeam {

namespace {

constexpr std::string_view forward_context = "lacewingbeam forward 1\n";

std::string mac_hex(const incarnation& owner, std::string_view target,
                    std::string_view key) {
    std::string content(forward_context);
    content += to_string(owner);
    content += target;
    const auto code = compute_mac(key, content);
    std::string text;
    boost::algorithm::hex_lower(code, std::back_inserter(text));
    return text;
}

} // namespace

std::string make_forward_token(const incarnation& owner,
                               std::string_view target, std::string_view key) {
    return to_string(owner) + "." + mac_hex(owner, target, key);
}

std::optional<incarnation> verify_forward_token(std::string_view token,
                                                std::string_view target,
                                                std::string_view key) {
    const auto dot = token.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto owner = parse_incarnation(token.substr(0, dot));
    if (!owner) {
        return std::nullopt;
    }
    const auto received = token.substr(dot + 1);
    const auto expected = mac_hex(*owner, target, key);
    // equal() compares in constant time, so that the response time reveals
    // nothing about the expected code.
    authentication_code received_code{};
    authentication_code expected_code{};
    if (received.size() != expected.size() ||
        received.size() != 2 * received_code.size()) {
        return std::nullopt;
    }
    try {
        boost::algorithm::unhex(received.begin(), received.end(),
                                received_code.begin());
    } catch (const boost::algorithm::hex_decode_error&) {
        return std::nullopt;
    }
    boost::algorithm::unhex(expected.begin(), expected.end(),
                            expected_code.begin());
    if (!equal(received_code, expected_code)) {
        return std::nullopt;
    }
    return owner;
}

} // namespace lacewingbeam
