#include "wrenswitch/core/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cstring>
#include <memory>

namespace wrenswitch {
namespace {

using sha256_value = std::array<unsigned char, SHA256_DIGEST_LENGTH>;
using context_pointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr unsigned bits_a_hex_digit = 4;
constexpr unsigned hex_digit_mask = 0xF;

std::string hex_of(std::span<const unsigned char> bytes) {
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(hex_digits[byte >> bits_a_hex_digit]);
        text.push_back(hex_digits[byte & hex_digit_mask]);
    }
    return text;
}

sha256_value sha256_of(std::span<const std::string_view> parts, bool with_lengths) {
    const context_pointer context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        if (with_lengths) {
            const std::uint64_t length = part.size();
            EVP_DigestUpdate(context.get(), &length, sizeof length);
        }
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    sha256_value value{};
    EVP_DigestFinal_ex(context.get(), value.data(), nullptr);
    return value;
}

}  // namespace

std::string digest::to_hex() const {
    std::array<unsigned char, sizeof high + sizeof low> bytes{};
    std::memcpy(bytes.data(), &high, sizeof high);
    std::memcpy(bytes.data() + sizeof high, &low, sizeof low);
    return hex_of(bytes);
}

std::optional<digest> digest::from_hex(std::string_view text) {
    std::array<unsigned char, sizeof high + sizeof low> bytes{};
    if (text.size() != 2 * bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        const std::size_t first = hex_digits.find(text[2 * at]);
        const std::size_t second = hex_digits.find(text[2 * at + 1]);
        if (first == std::string_view::npos || second == std::string_view::npos) {
            return std::nullopt;
        }
        bytes[at] = static_cast<unsigned char>(first << bits_a_hex_digit | second);
    }
    digest read;
    std::memcpy(&read.high, bytes.data(), sizeof read.high);
    std::memcpy(&read.low, bytes.data() + sizeof read.high, sizeof read.low);
    return read;
}

digest digest_of(std::span<const std::string_view> parts) {
    const sha256_value value = sha256_of(parts, true);
    digest shortened;
    std::memcpy(&shortened.high, value.data(), sizeof shortened.high);
    std::memcpy(&shortened.low, value.data() + sizeof shortened.high, sizeof shortened.low);
    return shortened;
}

std::string sha256_hex(std::string_view text) {
    const std::array<std::string_view, 1> parts{text};
    return hex_of(sha256_of(parts, false));
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t spread_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

budget_id budget_id_of(std::string_view budget_name) {
    return budget_id{spread_hash(budget_name)};
}

}  // namespace wrenswitch
