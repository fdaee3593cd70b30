#include "lacewingbeam/core.hpp"

#include <charconv>
#include <memory>
#include <xxhash.h>

namespace lacewingbeam {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::size_t bits_per_byte = 8;

} // namespace

double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

duration from_seconds(double value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

incarnation draw_incarnation(random_engine& engine) {
    incarnation id;
    constexpr std::size_t word_size = sizeof(std::uint64_t);
    for (std::size_t i = 0; i < id.bytes.size(); i += word_size) {
        const std::uint64_t word = engine();
        for (std::size_t j = 0; j < word_size; ++j) {
            id.bytes[i + j] =
                static_cast<std::uint8_t>(word >> (j * bits_per_byte));
        }
    }
    return id;
}

std::string to_string(const incarnation& id) {
    std::string text;
    text.reserve(2 * id.bytes.size());
    for (const auto byte : id.bytes) {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 15U];
    }
    return text;
}

std::optional<incarnation> parse_incarnation(std::string_view text) {
    incarnation id;
    if (text.size() != 2 * id.bytes.size() ||
        text.find_first_not_of(hex_digits) != std::string_view::npos) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < id.bytes.size(); ++i) {
        const char* first = text.data() + 2 * i;
        std::from_chars(first, first + 2, id.bytes[i], 16);
    }
    return id;
}

std::string to_string(const server_key& key) {
    return key.service + "/" + key.backend_server;
}

std::uint64_t hash(const server_key& key) {
    return hash(to_string(key));
}

std::uint64_t hash(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t hash(std::span<const std::string_view> pieces) {
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
        XXH3_createState(), XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const auto piece : pieces) {
        XXH3_64bits_update(state.get(), piece.data(), piece.size());
    }
    return XXH3_64bits_digest(state.get());
}

} // namespace lacewingbeam
