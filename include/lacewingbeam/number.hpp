#ifndef LACEWINGBEAM_NUMBER_HPP
#define LACEWINGBEAM_NUMBER_HPP

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace lacewingbeam {

// Parses a decimal number, independent of the locale. Returns nothing if the
// text contains anything else or the number does not fit the type.
template <class Number>
std::optional<Number> to_number(std::string_view text) {
    Number value{};
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace lacewingbeam

#endif
