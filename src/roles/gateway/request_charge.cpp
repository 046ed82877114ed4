#include "roles/gateway/request_charge.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {

request_charge::request_charge(grant_holder& holder, std::string account, tokens prompt_tokens,
                               tokens max_output)
    : holder_(&holder),
      account_(std::move(account)),
      prompt_tokens_(prompt_tokens),
      reserved_(prompt_tokens + max_output) {}

request_charge::~request_charge() {
    settle();
}

request_charge::request_charge(request_charge&& other) noexcept {
    *this = std::move(other);
}

request_charge& request_charge::operator=(request_charge&& other) noexcept {
    if (this != &other) {
        settle();
        holder_ = std::exchange(other.holder_, nullptr);
        account_ = std::move(other.account_);
        prompt_tokens_ = other.prompt_tokens_;
        reserved_ = std::exchange(other.reserved_, 0);
        spent_ = other.spent_;
        prompt_charged_ = other.prompt_charged_;
    }
    return *this;
}

void request_charge::spend(instant now, tokens amount) {
    const tokens charged = std::min(amount, reserved_);
    if (holder_ == nullptr || charged <= 0) {
        return;
    }
    holder_->spend(now, account_, charged);
    reserved_ -= charged;
    spent_ += charged;
}

void request_charge::charge_prompt(instant now) {
    if (!std::exchange(prompt_charged_, true)) {
        spend(now, prompt_tokens_);
    }
}

void request_charge::charge_output(instant now, tokens amount) {
    spend(now, amount);
}

void request_charge::charge_unobserved(instant now, tokens unseen) {
    charge_prompt(now);
    spend(now, unseen);
}

void request_charge::settle() {
    if (holder_ != nullptr && reserved_ > 0) {
        holder_->release(account_, reserved_);
    }
    reserved_ = 0;
}

}  // namespace wrenswitch
