#ifndef LACEWINGBEAM_TICKET_HPP
#define LACEWINGBEAM_TICKET_HPP

#include "core.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Operation tickets: a ticket lets one operation run at most once. The
// instance that minted it, its minter, is the only one that may run it.
namespace lacewingbeam {

using authentication_code = std::array<std::uint8_t, 16>;

// HMAC-SHA-256 of the data, cut to 128 bits.
authentication_code compute_mac(std::string_view key, std::string_view data);

// Compares in constant time.
bool equal(const authentication_code& a, const authentication_code& b);

// `expires` is on the minter's own clock; no other instance may judge it.
struct ticket {
    incarnation minter;
    std::uint64_t sequence = 0;
    time_point expires;

    auto operator<=>(const ticket&) const = default;
};

// The ticket as header text: 96 hexadecimal digits, authenticated with key.
std::string encode(const ticket& value, std::string_view key);

// Nothing if the text is malformed or was not made with key.
std::optional<ticket> decode(std::string_view text, std::string_view key);

// Mints the tickets of one instance.
class ticket_mint {
public:
    ticket_mint(const incarnation& own, std::string key, duration lifetime);

    std::string mint(time_point now);

    // The moment at which every ticket minted so far has expired.
    time_point last_expiry() const { return last_expiry_; }

private:
    incarnation own_;
    std::string key_;
    duration lifetime_;
    std::uint64_t sequence_ = 0;
    time_point last_expiry_;
};

} // namespace lacewingbeam

#endif
