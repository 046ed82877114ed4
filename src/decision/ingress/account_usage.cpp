#include "wrenswitch/decision/ingress/account_usage.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

constexpr std::size_t max_accounts = 256;

/// The time constant of the decay. Bursts of a caller that sends 200 requests a second last a few
/// milliseconds, and a move to another entry takes about two seconds.
constexpr microseconds time_constant = seconds(1);

double decay(microseconds elapsed) {
    return std::exp(-std::max(0.0, as_seconds(elapsed)) / as_seconds(time_constant));
}

}  // namespace

double account_usage::usage::rate(instant now) const {
    return std::max(received, sent) * decay(now - updated);
}

void account_usage::record(instant now, std::string_view account, std::uint64_t received,
                           std::uint64_t sent) {
    auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        if (accounts_.size() >= max_accounts) {
            evict_quietest(now);
        }
        found = accounts_.emplace(std::string(account), usage{now}).first;
    }
    usage& known = found->second;
    const double kept = decay(now - known.updated);
    known.received =
        known.received * kept + static_cast<double>(received) / as_seconds(time_constant);
    known.sent = known.sent * kept + static_cast<double>(sent) / as_seconds(time_constant);
    known.updated = std::max(known.updated, now);
}

std::vector<account_demand> account_usage::top(instant now, std::size_t count) const {
    std::vector<account_demand> all;
    all.reserve(accounts_.size());
    for (const auto& [account, known] : accounts_) {
        all.push_back({account, known.rate(now)});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const account_demand& left, const account_demand& right) {
                         return left.bytes_per_second > right.bytes_per_second;
                     });
    all.resize(std::min(count, all.size()));
    return all;
}

void account_usage::evict_quietest(instant now) {
    accounts_.erase(std::min_element(accounts_.begin(), accounts_.end(),
                                     [now](const auto& left, const auto& right) {
                                         return left.second.rate(now) < right.second.rate(now);
                                     }));
}

}  // namespace wrenswitch
