#include "wrenswitch/decision/gateway/attempt_history.hpp"

namespace wrenswitch {
namespace {

/// How often a request is offered to targets that can't be connected to.
constexpr unsigned most_unsent = 4;

/// How often a request is offered to another target after one that certainly didn't run it.
constexpr unsigned most_refusals = 2;

}  // namespace

void attempt_history::begin(const std::string& target) {
    tried_.push_back(target);
}

void attempt_history::note_unsent() {
    unsent_ += 1;
}

void attempt_history::note_refused() {
    refusals_ += 1;
}

bool attempt_history::may_offer_again() const {
    return unsent_ < most_unsent;
}

bool attempt_history::may_send_again(request_kind kind, unsigned most_attempts) const {
    if (may_have_run_ && !may_repeat(kind)) {
        return false;
    }
    const unsigned runs = number() - unsent_ - refusals_;
    return runs < most_attempts && refusals_ <= most_refusals;
}

}  // namespace wrenswitch
