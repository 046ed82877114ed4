#pragma once

#include <array>
#include <cstddef>

#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Predicts the prefill time of a service's engines, learnt from the time to the first event. The
/// time is the sum of a fixed setup time, a term per token, and a term per pair of a token and a
/// preceding token (attention). All times are in ms on an engine of normal speed.
class prefill_model {
public:
    prefill_model();

    /// The time from sending a request to its first event if no other prefill is pending.
    double first_event_ms(tokens prompt_tokens, tokens uncached_tokens) const;

    /// The part of this time in which the engine processes the prompt and other prefills wait.
    double prefill_ms(tokens prompt_tokens, tokens uncached_tokens) const;

    /// The longest pause between two events of another stream during the prefill: the engine
    /// processes one chunk of the prompt for each token of its streams.
    double pause_ms(tokens prompt_tokens, tokens uncached_tokens, tokens tokens_per_event) const;

    /// Updates the model with the time to a first event. An unexpectedly long time was delayed by
    /// an unknown cause, so its error is limited.
    void observe(tokens prompt_tokens, tokens uncached_tokens, double elapsed_ms);

private:
    static constexpr std::size_t terms = 3;
    using vector = std::array<double, terms>;

    static vector features(tokens prompt_tokens, tokens uncached_tokens);
    void update(const vector& x, double error);
    void clamp_parameters();

    /// The setup time, the time per 1,000 tokens, and the time per million pairs.
    vector weights_;
    /// The covariance of the weights, for recursive least squares.
    std::array<vector, terms> covariance_{};
};

}  // namespace wrenswitch
