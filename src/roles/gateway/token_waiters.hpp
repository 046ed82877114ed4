#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wrenswitch/decision/grants/grant_holder.hpp"

namespace wrenswitch {

/// Requests that wait for tokens of their accounts, each account's in the order of arrival: a large
/// request isn't passed by small ones that came later.
class token_waiters {
public:
    /// Told what became of the wait: reserved or exhausted.
    using answer_hook = std::function<void(reserve_outcome)>;

    /// The holder must outlive the waiters.
    explicit token_waiters(grant_holder& holder) : holder_(holder) {}

    /// Stands for a wait: destroying it ends the wait.
    struct handle {};

    /// What reserve() found at once.
    struct wait_result {
        reserve_outcome now = reserve_outcome::short_of_tokens;
        /// Set if the request waits.
        std::shared_ptr<handle> waiting;
    };

    /// Reserves at once if nothing waits before and the tokens are there. Else the hook is called
    /// later, unless the handle is destroyed before: the one given, or else a new one.
    wait_result reserve(instant now, const std::string& account, tokens amount, answer_hook told,
                        std::shared_ptr<handle> wanted = nullptr);

    /// True if requests wait for tokens of an account.
    bool waits(const std::string& account) const;

    /// The holder may have more tokens, or know of fewer: serves those that wait.
    void serve(instant now);

    std::size_t size() const;

private:
    struct waiter {
        tokens amount = 0;
        answer_hook told;
        std::weak_ptr<handle> wanted;
    };
    using queue = std::deque<waiter>;

    void serve_account(instant now, const std::string& account, queue& waiting);
    void tell_holder(const std::string& account, const queue& waiting);

    grant_holder& holder_;
    std::map<std::string, queue> queues_;
};

}  // namespace wrenswitch
