#include "roles/gateway/request_charge.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {

request_charge::request_charge(grant_holder& holder, std::string account, tokens prompt,
                               tokens most_output)
    : holder_(&holder),
      account_(std::move(account)),
      prompt_(prompt),
      left_(prompt + most_output) {}

request_charge::~request_charge() {
    close();
}

request_charge::request_charge(request_charge&& other) noexcept {
    *this = std::move(other);
}

request_charge& request_charge::operator=(request_charge&& other) noexcept {
    if (this != &other) {
        close();
        holder_ = std::exchange(other.holder_, nullptr);
        account_ = std::move(other.account_);
        prompt_ = other.prompt_;
        left_ = std::exchange(other.left_, 0);
        spent_ = other.spent_;
        prompt_spent_ = other.prompt_spent_;
    }
    return *this;
}

void request_charge::spend(instant now, tokens amount) {
    const tokens possible = std::min(amount, left_);
    if (holder_ == nullptr || possible <= 0) {
        return;
    }
    holder_->spend(now, account_, possible);
    left_ -= possible;
    spent_ += possible;
}

void request_charge::prompt_read(instant now) {
    if (!std::exchange(prompt_spent_, true)) {
        spend(now, prompt_);
    }
}

void request_charge::handed_out(instant now, tokens amount) {
    spend(now, amount);
}

void request_charge::assume(instant now, tokens unseen) {
    prompt_read(now);
    spend(now, unseen);
}

void request_charge::close() {
    if (holder_ != nullptr && left_ > 0) {
        holder_->release(account_, left_);
    }
    left_ = 0;
}

}  // namespace wrenswitch
