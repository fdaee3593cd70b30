#ifndef LACEWINGBEAM_CORE_HPP
#define LACEWINGBEAM_CORE_HPP

#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

// Identifiers, time types and errors shared by all parts of the library.
namespace lacewingbeam {

// Monotonic clock type. The library never reads a clock: the embedding program
// passes the current time to each call.
struct clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;
};

using duration = clock::duration;
using time_point = clock::time_point;

// Converts to fractional milliseconds, the unit of settings, headers and logs.
double to_ms(duration value);

// Converts fractional seconds, rounding towards zero.
duration from_seconds(double value);

// Random number generator for all randomized decisions. A given seed yields
// the same sequence on every platform.
using random_engine = boost::random::mt19937_64;

// Base class of all exceptions thrown by the library.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Identifies one run of an instance's process: 128 random bits generated at
// startup, so a restarted instance has a different incarnation.
struct incarnation {
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const incarnation&) const = default;
};

// Generates a random incarnation. Seed the engine from the operating system's
// entropy source.
incarnation draw_incarnation(random_engine& engine);

// Formats the incarnation as 32 lower-case hexadecimal digits.
std::string to_string(const incarnation& id);

// Parses the output of to_string; returns nullopt if the text is malformed.
std::optional<incarnation> parse_incarnation(std::string_view text);

// Identifies a backend server within a service.
struct server_key {
    std::string service;
    std::string backend_server;

    auto operator<=>(const server_key&) const = default;
};

// Formats the key as "service/backend_server".
std::string to_string(const server_key& key);

// Stable 64-bit hash that has the same value on every instance.
std::uint64_t hash(const server_key& key);
std::uint64_t hash(std::string_view text);

// Returns the hash of the pieces put together.
std::uint64_t hash(std::span<const std::string_view> pieces);

enum class call_id : std::uint64_t {};
enum class attempt_id : std::uint64_t {};

} // namespace lacewingbeam

#endif
