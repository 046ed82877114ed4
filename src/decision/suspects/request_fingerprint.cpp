#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

#include <array>
#include <charconv>

namespace wrenswitch {
namespace {

/// The first half of a part's fingerprint. A content has it with a probability of 2^-64.
constexpr std::uint64_t part_mark = 0x70726f6d70742d70;  // "prompt-p"

}  // namespace

digest fingerprint_of(const request_content& content) {
    const std::array<std::string_view, 5> parts{content.method, content.host, content.target,
                                                content.account, content.body};
    return digest_of(parts);
}

digest fingerprint_of_part(std::uint64_t part) {
    return {part_mark, part};
}

bool is_prompt_part(const digest& fingerprint) {
    return fingerprint.high == part_mark;
}

std::string part_name(const digest& fingerprint) {
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof fingerprint.low> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint.low, hexadecimal);
    return {digits.data(), end.ptr};
}

std::string part_names(std::span<const digest> parts) {
    std::string names;
    for (const digest& part : parts) {
        names += (names.empty() ? "" : ",") + part_name(part);
    }
    return names;
}

}  // namespace wrenswitch
