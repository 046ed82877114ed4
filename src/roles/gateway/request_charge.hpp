#pragma once

#include <string>

#include "wrenswitch/decision/grants/grant_holder.hpp"

namespace wrenswitch {

/// The tokens that one request costs its account: its prompt once, and its output. The largest
/// possible cost is reserved before the request is sent.
class request_charge {
public:
    /// Creates a charge without a holder, which spends nothing.
    request_charge() = default;

    /// The amounts must have been reserved at the holder, which must outlive the charge.
    request_charge(grant_holder& holder, std::string account, tokens prompt_tokens,
                   tokens max_output);
    ~request_charge();
    request_charge(request_charge&& other) noexcept;
    request_charge& operator=(request_charge&& other) noexcept;
    request_charge(const request_charge&) = delete;
    request_charge& operator=(const request_charge&) = delete;

    /// Charges the prompt, because a target has started to process the request. Only the first call
    /// has an effect.
    void charge_prompt(instant now);

    /// Charges output tokens that arrived.
    void charge_output(instant now, tokens amount);

    /// Charges a response whose end is not observed: the prompt, which may have been processed, and
    /// up to this many output tokens that may have been produced.
    void charge_unobserved(instant now, tokens unseen);

    /// Releases the unused part of the reservation. To be called when no more output can be
    /// produced.
    void settle();

    tokens spent() const { return spent_; }

    /// The part of the spent tokens that was the prompt.
    tokens prompt_spent() const { return prompt_charged_ ? prompt_tokens_ : 0; }

private:
    void spend(instant now, tokens amount);

    grant_holder* holder_ = nullptr;
    std::string account_;
    tokens prompt_tokens_ = 0;
    tokens reserved_ = 0;
    tokens spent_ = 0;
    bool prompt_charged_ = false;
};

}  // namespace wrenswitch
