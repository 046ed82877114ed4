#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace wrenswitch {
namespace {

/// The first half of a part's fingerprint. A content has it with a probability of 2^-64.
constexpr std::uint64_t part_mark = 0x70726f6d70742d70;  // "prompt-p"

/// Several times what prompts have. More would let one caller displace the parts of all others.
constexpr std::size_t max_parts_per_request = 32;

}  // namespace

digest fingerprint_of(const request_content& content) {
    const std::array<std::string_view, 5> parts{content.method, content.host, content.target,
                                                content.account, content.body};
    return digest_of(parts);
}

digest fingerprint_of_part(std::uint64_t part) {
    return {part_mark, part};
}

std::vector<digest> shared_part_fingerprints(std::span<const prompt_part> prompt) {
    std::vector<digest> fingerprints;
    for (const prompt_part& part : prompt.first(prompt.empty() ? 0 : prompt.size() - 1)) {
        const digest fingerprint = fingerprint_of_part(part.id);
        const bool is_known =
            std::find(fingerprints.begin(), fingerprints.end(), fingerprint) != fingerprints.end();
        if (!is_known && fingerprints.size() < max_parts_per_request) {
            fingerprints.push_back(fingerprint);
        }
    }
    return fingerprints;
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
