#ifndef LACEWINGBEAM_NUMBER_HPP
#define LACEWINGBEAM_NUMBER_HPP

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace lacewingbeam {

// The number that the whole text is, in base 10 and whatever the locale;
// nothing for any other text, or one out of the type's range.
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
