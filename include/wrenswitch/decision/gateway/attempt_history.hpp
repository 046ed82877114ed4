#pragma once

#include <span>
#include <string>
#include <vector>

#include "wrenswitch/decision/gateway/gateway_configuration.hpp"

namespace wrenswitch {

/// The attempts of one request at targets, and whether another may follow. It knows what may be
/// told to the caller: that the request did not run, or that it may have.
class attempt_history {
public:
    /// An attempt is made at a target.
    void begin(const std::string& target);

    /// The present attempt failed before a byte of it was sent.
    void note_unsent();

    /// The target of the present attempt certainly didn't run the request, and said so.
    void note_refused();

    /// The target of the present attempt ran the request, or may have.
    void note_may_have_run() { may_have_run_ = true; }

    /// True if some attempt may have run.
    bool may_have_run() const { return may_have_run_; }

    /// The number of the present attempt, from 1; 0 before the first.
    unsigned number() const { return static_cast<unsigned>(tried_.size()); }

    /// The targets that were tried.
    std::span<const std::string> tried() const { return tried_; }

    /// True if the request may be offered to another target after one that couldn't be reached.
    bool may_offer_again() const;

    /// True if the request may be sent to another target after one that had it. A request that may
    /// have run is sent again only if its kind bears that.
    bool may_send_again(request_kind kind, unsigned most_attempts) const;

private:
    std::vector<std::string> tried_;
    unsigned unsent_ = 0;
    unsigned refusals_ = 0;
    bool may_have_run_ = false;
};

}  // namespace wrenswitch
