#include "roles/gateway/token_waiters.hpp"

#include <vector>

namespace wrenswitch {

token_waiters::wait_result token_waiters::reserve(instant now, const std::string& account,
                                                  tokens amount, answer_hook told,
                                                  std::shared_ptr<handle> wanted) {
    queue& waiting = queues_[account];
    if (waiting.empty()) {
        const reserve_outcome outcome = holder_.reserve(now, account, amount);
        if (outcome != reserve_outcome::short_of_tokens) {
            return {outcome, nullptr};
        }
    }
    if (!wanted) {
        wanted = std::make_shared<handle>();
    }
    waiting.push_back({amount, std::move(told), wanted});
    tell_holder(account, waiting);
    return {reserve_outcome::short_of_tokens, std::move(wanted)};
}

bool token_waiters::waits(const std::string& account) const {
    const auto found = queues_.find(account);
    return found != queues_.end() && !found->second.empty();
}

void token_waiters::tell_holder(const std::string& account, const queue& waiting) {
    tokens sum = 0;
    tokens first = 0;
    for (const waiter& each : waiting) {
        if (!each.wanted.expired()) {
            sum += each.amount;
            first = first == 0 ? each.amount : first;
        }
    }
    holder_.set_waiting(account, sum, first);
}

void token_waiters::serve_account(instant now, const std::string& account, queue& waiting) {
    std::vector<std::pair<answer_hook, reserve_outcome>> answers;
    while (!waiting.empty()) {
        waiter& first = waiting.front();
        if (first.wanted.expired()) {
            waiting.pop_front();
            continue;
        }
        const reserve_outcome outcome = holder_.reserve(now, account, first.amount);
        if (outcome == reserve_outcome::short_of_tokens) {
            break;
        }
        answers.emplace_back(std::move(first.told), outcome);
        waiting.pop_front();
    }
    tell_holder(account, waiting);
    for (const auto& [told, outcome] : answers) {
        told(outcome);
    }
}

void token_waiters::serve(instant now) {
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

std::size_t token_waiters::size() const {
    std::size_t sum = 0;
    for (const auto& [account, waiting] : queues_) {
        sum += waiting.size();
    }
    return sum;
}

}  // namespace wrenswitch
