#pragma once

#include <span>
#include <string>
#include <vector>

#include "wrenswitch/decision/gateway/gateway_configuration.hpp"

namespace wrenswitch {

/// Records the attempts to send one request to targets and decides whether another attempt is
/// allowed. It also tells whether the request may have run, and so what error the caller can be
/// given.
class attempt_history {
public:
    /// Starts a new attempt at a target.
    void begin_attempt(const std::string& target);

    /// The current attempt failed before any byte of the request was sent.
    void record_unsent();

    /// The target of the current attempt refused the request and certainly did not run it.
    void record_refusal();

    /// The target of the current attempt ran the request, or may have run it.
    void record_possible_run() { may_have_run_ = true; }

    /// True if any attempt may have run the request.
    bool may_have_run() const { return may_have_run_; }

    /// The number of the current attempt, from 1; 0 before the first one.
    unsigned attempt_number() const { return static_cast<unsigned>(tried_targets_.size()); }

    /// The targets of all attempts, in order.
    std::span<const std::string> tried_targets() const { return tried_targets_; }

    /// True if the request may be sent to another target after an attempt that failed to connect.
    bool can_retry_unsent() const;

    /// True if the request may be sent to another target after one that received it. A request that
    /// may have run is sent again only if its kind may be repeated.
    bool can_resend(request_kind kind, unsigned max_attempts) const;

private:
    std::vector<std::string> tried_targets_;
    unsigned unsent_attempts_ = 0;
    unsigned refusals_ = 0;
    bool may_have_run_ = false;
};

}  // namespace wrenswitch
