#include "wrenswitch/decision/gateway/attempt_history.hpp"

namespace wrenswitch {
namespace {

/// The number of failed connection attempts after which a request is not sent to another target.
constexpr unsigned max_unsent_attempts = 4;

/// The number of times that a request is sent to another target after a refusal by one that
/// certainly did not run it.
constexpr unsigned max_refusals = 2;

}  // namespace

void attempt_history::begin_attempt(const std::string& target) {
    tried_targets_.push_back(target);
}

void attempt_history::record_unsent() {
    unsent_attempts_ += 1;
}

void attempt_history::record_refusal() {
    refusals_ += 1;
}

bool attempt_history::can_retry_unsent() const {
    return unsent_attempts_ < max_unsent_attempts;
}

bool attempt_history::can_resend(request_kind kind, unsigned max_attempts) const {
    if (may_have_run_ && !may_repeat(kind)) {
        return false;
    }
    const unsigned possible_runs = attempt_number() - unsent_attempts_ - refusals_;
    return possible_runs < max_attempts && refusals_ <= max_refusals;
}

}  // namespace wrenswitch
