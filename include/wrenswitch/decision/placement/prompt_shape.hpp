#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// One part of a prompt, which other requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    tokens length = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// What a request asks of a model engine.
struct prompt_shape {
    /// All tokens of the prompt.
    tokens prompt = 0;
    /// The most tokens of the answer.
    tokens most_output = 0;
    /// The tokens of the answer that the caller guesses; zero if it doesn't say.
    tokens guessed_output = 0;
    /// In order; the last one is the request's own, the one before it what its session shares.
    std::vector<prompt_part> parts;
};

/// What a prompt's session shares: the part before the last, which is the request's own. There must
/// be a part.
std::uint64_t session_of(const prompt_shape& shape);

/// The engine at which the requests of a prompt's session meet by hash: entries that know nothing
/// of each other name the same one. Empty if there are no engines, or no parts that others could
/// share.
std::string_view home_of(std::span<const std::string_view> engines, const prompt_shape& shape);

/// The tokens that an answer is expected to have: the caller's guess, or half of the most.
tokens expected_output(const prompt_shape& shape);

}  // namespace wrenswitch
