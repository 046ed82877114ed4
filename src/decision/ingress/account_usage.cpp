#include "wrenswitch/decision/ingress/account_usage.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// The time constant of all averages. Load that matters to a link of 10 Mbit/s has to be seen
/// within a second, because such a link saturates 0.6 s after a flood begins.
constexpr double time_constant_seconds = 1.0;

/// An account below this rate is not reported as a source of load.
constexpr double min_reported_bytes_per_second = 1.0;

}  // namespace

account_rates account_usage::decayed(const entry& kept, instant now) {
    const double elapsed = std::max(0.0, as_seconds(now - kept.updated));
    const double factor = std::exp(-elapsed / time_constant_seconds);
    account_rates rates = kept.rates;
    rates.received_bytes *= factor;
    rates.sent_bytes *= factor;
    rates.requests *= factor;
    rates.late *= factor;
    rates.refused *= factor;
    return rates;
}

account_usage::entry& account_usage::updated_entry(instant now, std::string_view account) {
    auto found = entries_.find(account);
    if (found == entries_.end()) {
        if (entries_.size() >= max_accounts) {
            evict_quietest(now);
        }
        found = entries_.emplace(std::string(account), entry{{}, now}).first;
    }
    entry& kept = found->second;
    kept.rates = decayed(kept, now);
    kept.updated = std::max(kept.updated, now);
    return kept;
}

void account_usage::evict_quietest(instant now) {
    const auto rank = [now](const auto& item) {
        const account_rates rates = decayed(item.second, now);
        return std::pair(rates.busier_direction(), rates.requests);
    };
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); }));
}

void account_usage::record(instant now, std::string_view account, std::uint64_t received,
                           std::uint64_t sent) {
    entry& kept = updated_entry(now, account);
    kept.rates.received_bytes += static_cast<double>(received) / time_constant_seconds;
    kept.rates.sent_bytes += static_cast<double>(sent) / time_constant_seconds;
}

void account_usage::record_request(instant now, std::string_view account) {
    updated_entry(now, account).rates.requests += 1.0 / time_constant_seconds;
}

void account_usage::record_late(instant now, std::string_view account) {
    updated_entry(now, account).rates.late += 1.0 / time_constant_seconds;
}

void account_usage::record_refused(instant now, std::string_view account) {
    updated_entry(now, account).rates.refused += 1.0 / time_constant_seconds;
}

std::vector<account_demand> account_usage::top(instant now, std::size_t count) const {
    std::vector<account_demand> demands;
    demands.reserve(entries_.size());
    for (const auto& [account, kept] : entries_) {
        const double rate = decayed(kept, now).busier_direction();
        if (!account.empty() && rate >= min_reported_bytes_per_second) {
            demands.push_back({account, rate});
        }
    }
    std::sort(demands.begin(), demands.end(),
              [](const account_demand& left, const account_demand& right) {
                  return left.bytes_per_second != right.bytes_per_second
                             ? left.bytes_per_second > right.bytes_per_second
                             : left.account < right.account;
              });
    if (demands.size() > count) {
        demands.erase(demands.begin() + static_cast<std::ptrdiff_t>(count), demands.end());
    }
    return demands;
}

double account_usage::total(instant now) const {
    double sum = 0.0;
    for (const auto& [account, kept] : entries_) {
        sum += decayed(kept, now).busier_direction();
    }
    return sum;
}

account_rates account_usage::rates(instant now, std::string_view account) const {
    const auto found = entries_.find(account);
    return found == entries_.end() ? account_rates{} : decayed(found->second, now);
}

}  // namespace wrenswitch
