#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wrenswitch/decision/grants/grant_holder.hpp"

namespace wrenswitch {

/// Requests that wait for tokens of their accounts, first in first out per account, so that small
/// requests don't overtake a large one that came earlier.
class token_wait_queue {
public:
    /// Called when the wait ends, with reserved or exhausted.
    using outcome_hook = std::function<void(reserve_outcome)>;

    /// The holder must outlive the queue.
    explicit token_wait_queue(grant_holder& holder) : holder_(holder) {}

    /// Destroying the handle cancels the wait.
    struct handle {};

    /// The immediate result of reserve().
    struct wait_result {
        reserve_outcome outcome = reserve_outcome::short_of_tokens;
        /// Set if the request waits.
        std::shared_ptr<handle> waiting_handle;
    };

    /// Reserves at once if no request of the account waits and the tokens are available. Otherwise
    /// the hook is called later, unless the handle is destroyed first. The handle is
    /// `caller_handle`, or a new one if that is null.
    wait_result reserve(instant now, const std::string& account, tokens amount,
                        outcome_hook on_outcome, std::shared_ptr<handle> caller_handle = nullptr);

    /// True if requests wait for tokens of the account.
    bool has_waiting(const std::string& account) const;

    /// Serves waiting requests after the holder's tokens have changed.
    void serve(instant now);

    std::size_t size() const;

private:
    struct waiter {
        tokens amount = 0;
        outcome_hook on_outcome;
        std::weak_ptr<handle> caller_handle;
    };
    using queue = std::deque<waiter>;

    void serve_account(instant now, const std::string& account, queue& waiting);
    void update_demand(const std::string& account, const queue& waiting);

    grant_holder& holder_;
    std::map<std::string, queue> queues_;
};

}  // namespace wrenswitch
