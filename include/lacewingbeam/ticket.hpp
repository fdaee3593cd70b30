#ifndef LACEWINGBEAM_TICKET_HPP
#define LACEWINGBEAM_TICKET_HPP

#include "core.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Operation tickets. A ticket allows one operation to run at most once, and
// only on the instance that minted the ticket (its minter).
namespace lacewingbeam {

using authentication_code = std::array<std::uint8_t, 16>;

// Returns the HMAC-SHA-256 of the data, truncated to 128 bits.
authentication_code compute_mac(std::string_view key, std::string_view data);

// Compares in constant time.
bool equal(const authentication_code& a, const authentication_code& b);

// `expires` refers to the minter's monotonic clock, so only the minter can
// decide whether the ticket has expired.
struct ticket {
    incarnation minter;
    std::uint64_t sequence = 0;
    time_point expires;

    auto operator<=>(const ticket&) const = default;
};

// Encodes the ticket as a header value: 96 hexadecimal digits that include an
// authentication code made with `key`.
std::string encode(const ticket& value, std::string_view key);

// Returns nullopt if the text is malformed or was not encoded with `key`.
std::optional<ticket> decode(std::string_view text, std::string_view key);

// Issues the tickets of one instance.
class ticket_mint {
public:
    ticket_mint(const incarnation& own, std::string key, duration lifetime);

    std::string mint(time_point now);

    // Returns the time at which the last ticket minted so far expires.
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
