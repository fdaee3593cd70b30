#ifndef LACEWINGBEAM_CORE_HPP
#define LACEWINGBEAM_CORE_HPP

#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

// Identifiers, time and errors shared by every part of the library.
namespace lacewingbeam {

// Monotonic time, always passed in by the embedding program; the library
// never reads a clock.
struct clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;
};

using duration = clock::duration;
using time_point = clock::time_point;

// Milliseconds as a fractional number, for settings, headers and logs.
double to_ms(duration value);

// The generator behind every random decision. Its output for a seed is the
// same on every platform.
using random_engine = boost::random::mt19937_64;

// Base of every exception thrown by the library.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One life of an instance: 128 random bits drawn at start and never reused.
struct incarnation {
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const incarnation&) const = default;
};

// Draws an incarnation. Seed the engine from the system's entropy source.
incarnation draw_incarnation(random_engine& engine);

// 32 lower-case hexadecimal digits.
std::string to_string(const incarnation& id);

// Reads the form written by to_string; nothing if the text has another form.
std::optional<incarnation> parse_incarnation(std::string_view text);

// Names a backend server within a service.
struct server_key {
    std::string service;
    std::string backend_server;

    auto operator<=>(const server_key&) const = default;
};

// "service/backend_server".
std::string to_string(const server_key& key);

// Stable 64-bit hash, equal on every instance.
std::uint64_t hash(const server_key& key);
std::uint64_t hash(std::string_view text);

enum class call_id : std::uint64_t {};
enum class attempt_id : std::uint64_t {};

} // namespace lacewingbeam

#endif
