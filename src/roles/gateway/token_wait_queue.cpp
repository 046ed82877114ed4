#include "roles/gateway/token_wait_queue.hpp"

#include <vector>

namespace wrenswitch {

token_wait_queue::wait_result token_wait_queue::reserve(instant now, const std::string& account,
                                                        tokens amount, outcome_hook on_outcome,
                                                        std::shared_ptr<handle> caller_handle) {
    queue& waiting = queues_[account];
    if (waiting.empty()) {
        const reserve_outcome outcome = holder_.reserve(now, account, amount);
        if (outcome != reserve_outcome::short_of_tokens) {
            return {outcome, nullptr};
        }
    }
    if (!caller_handle) {
        caller_handle = std::make_shared<handle>();
    }
    waiting.push_back({amount, std::move(on_outcome), caller_handle});
    update_demand(account, waiting);
    return {reserve_outcome::short_of_tokens, std::move(caller_handle)};
}

bool token_wait_queue::has_waiting(const std::string& account) const {
    const auto found = queues_.find(account);
    return found != queues_.end() && !found->second.empty();
}

void token_wait_queue::update_demand(const std::string& account, const queue& waiting) {
    tokens total = 0;
    tokens first = 0;
    for (const waiter& each : waiting) {
        if (!each.caller_handle.expired()) {
            total += each.amount;
            first = first == 0 ? each.amount : first;
        }
    }
    holder_.set_waiting(account, total, first);
}

void token_wait_queue::serve_account(instant now, const std::string& account, queue& waiting) {
    std::vector<std::pair<outcome_hook, reserve_outcome>> outcomes;
    while (!waiting.empty()) {
        waiter& first = waiting.front();
        if (first.caller_handle.expired()) {
            waiting.pop_front();
            continue;
        }
        const reserve_outcome outcome = holder_.reserve(now, account, first.amount);
        if (outcome == reserve_outcome::short_of_tokens) {
            break;
        }
        outcomes.emplace_back(std::move(first.on_outcome), outcome);
        waiting.pop_front();
    }
    update_demand(account, waiting);
    for (const auto& [on_outcome, outcome] : outcomes) {
        on_outcome(outcome);
    }
}

void token_wait_queue::serve(instant now) {
    std::vector<std::string> accounts;
    for (const auto& [account, waiting] : queues_) {
        if (!waiting.empty()) {
            accounts.push_back(account);
        }
    }
    for (const std::string& account : accounts) {
        serve_account(now, account, queues_[account]);
    }
}

std::size_t token_wait_queue::size() const {
    std::size_t total = 0;
    for (const auto& [account, waiting] : queues_) {
        total += waiting.size();
    }
    return total;
}

}  // namespace wrenswitch
