#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace wrenswitch {

/// Reads a whole number of at least zero that is the whole text. A greater one than `most`, of any
/// length, reads as `most`: whoever names it means "no less than that". Nothing if the text is not
/// a number, or a negative one.
inline std::optional<std::int64_t> read_bounded(std::string_view text, std::int64_t most) {
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || problem == std::errc::invalid_argument ||
        end != text.data() + text.size()) {
        return std::nullopt;
    }
    const bool is_greater =
        problem == std::errc::result_out_of_range || value > static_cast<std::uint64_t>(most);
    return is_greater ? most : static_cast<std::int64_t>(value);
}

/// The whole part of a number, within the range. What is no number is `least`.
inline std::int64_t to_bounded_integer(double value, std::int64_t least, std::int64_t most) {
    if (std::isnan(value) || value <= static_cast<double>(least)) {
        return least;
    }
    return value >= static_cast<double>(most) ? most : static_cast<std::int64_t>(value);
}

/// The number within the range. What is no number is `least`.
inline double to_bounded_number(double value, double least, double most) {
    return std::isnan(value) ? least : std::clamp(value, least, most);
}

/// The whole part of a number as logs show it.
inline std::string whole_text(double value) {
    constexpr std::int64_t most = 1'000'000'000'000'000;
    return std::to_string(to_bounded_integer(value, -most, most));
}

}  // namespace wrenswitch
