#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>

#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// The first 128 bits of a SHA-256. Callers choose what is digested, so a hash that resists
/// deliberate collisions is needed.
struct digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const digest&, const digest&) = default;
    friend bool operator<(const digest& left, const digest& right) {
        return std::tie(left.high, left.low) < std::tie(right.high, right.low);
    }

    /// 32 hexadecimal digits, and back. Nothing if the text isn't that.
    std::string to_hex() const;
    static std::optional<digest> from_hex(std::string_view text);
};

/// The digest of several parts. Each part's length goes in too, so that moving a byte from one part
/// to the next changes the digest.
digest digest_of(std::span<const std::string_view> parts);

/// The SHA-256 of a text as 64 hexadecimal digits. Callers' keys are kept in this form only.
std::string sha256_hex(std::string_view text);

/// True if both texts are equal, in a time that depends on their length alone.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// A fast hash that spreads names evenly. Not for input that an attacker may choose at will.
std::uint64_t spread_hash(std::string_view text, std::uint64_t seed = 0);

/// The identifier of a budget with this full name.
budget_id budget_id_of(std::string_view budget_name);

}  // namespace wrenswitch

template <>
struct std::hash<wrenswitch::digest> {
    std::size_t operator()(const wrenswitch::digest& value) const noexcept {
        return static_cast<std::size_t>(value.low);
    }
};
