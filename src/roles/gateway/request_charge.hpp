#pragma once

#include <string>

#include "wrenswitch/decision/grants/grant_holder.hpp"

namespace wrenswitch {

/// What one request costs its account: its prompt once, and the tokens that were handed out. The
/// most that it can cost is set aside before it is sent.
class request_charge {
public:
    /// Counts nothing.
    request_charge() = default;

    /// The amounts must have been reserved at the holder, which must outlive the charge.
    request_charge(grant_holder& holder, std::string account, tokens prompt, tokens most_output);
    ~request_charge();
    request_charge(request_charge&& other) noexcept;
    request_charge& operator=(request_charge&& other) noexcept;
    request_charge(const request_charge&) = delete;
    request_charge& operator=(const request_charge&) = delete;

    /// A target has begun to work on the request. Counts once, however often it is called.
    void prompt_read(instant now);

    /// The target handed out tokens.
    void handed_out(instant now, tokens amount);

    /// The answer ends unseen: up to this many tokens more may have been handed out, and the prompt
    /// may have been read.
    void assume(instant now, tokens unseen);

    /// Frees what was not used. To be called when no more can be handed out.
    void close();

    tokens spent() const { return spent_; }

    /// The part of what is spent that was the prompt.
    tokens prompt_spent() const { return prompt_spent_ ? prompt_ : 0; }

private:
    void spend(instant now, tokens amount);

    grant_holder* holder_ = nullptr;
    std::string account_;
    tokens prompt_ = 0;
    tokens left_ = 0;
    tokens spent_ = 0;
    bool prompt_spent_ = false;
};

}  // namespace wrenswitch
