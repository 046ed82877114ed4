#pragma once

#include <cstdint>
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

/// The part of a prompt that its session shares: the one before the last, which is the request's
/// own. Zero if there are no parts.
std::uint64_t session_of(const prompt_shape& shape);

/// The tokens that an answer is expected to have: the caller's guess, or half of the most.
tokens expected_output(const prompt_shape& shape);

}  // namespace wrenswitch
