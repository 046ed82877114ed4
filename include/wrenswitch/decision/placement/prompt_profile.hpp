#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// A part of a prompt that other requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    tokens length = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// The size of a request's prompt and response, and the parts of the prompt.
struct prompt_profile {
    /// The total number of tokens in the prompt.
    tokens prompt_tokens = 0;
    /// The maximum number of tokens in the response.
    tokens max_output = 0;
    /// The caller's estimate of the tokens in the response; zero if not given.
    tokens output_hint = 0;
    /// In prompt order. The last part is the request's own; the part before it is shared within its
    /// session.
    std::vector<prompt_part> parts;
};

/// The most tokens that the request can cost: its prompt and the longest response.
tokens max_cost(const prompt_profile& prompt);

/// Cuts all numbers down to `max_request_tokens`, and the lengths of the parts so that their sum
/// doesn't exceed it. Negative numbers become zero. To be called on what another process sent.
void limit_to_range(prompt_profile& prompt);

/// Identifies the session: the id of the part before the last, or of the only part. There must be a
/// part.
std::uint64_t session_id(const prompt_profile& prompt);

/// The engine that rendezvous hashing assigns to the prompt's session, so that entries agree
/// without communication. Empty if there are no engines or the prompt has no parts.
std::string_view session_engine(std::span<const std::string_view> engines,
                                const prompt_profile& prompt);

/// The expected number of tokens in the response: the caller's estimate, or half the maximum.
tokens expected_output(const prompt_profile& prompt);

}  // namespace wrenswitch
