#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/routing/retry_budget.hpp"

namespace wrenswitch {

/// What bounds an entry's retries, by service, so that one that fails can't use up another's. It
/// counts and tells what each budget earned, gave and denied, so that the sum over all entries can
/// be had from their figures or their logs.
class service_retries {
public:
    /// What a service may save up; nothing if it may save what it last might.
    using most_hook = std::function<std::optional<double>(const std::string& service)>;

    /// `share` is the part of a retry that a first try earns.
    service_retries(double share, most_hook most, metrics& counters)
        : share_(share), most_(std::move(most)), counters_(counters) {}

    /// Counts a request's first try.
    void first_try(const std::string& service);

    /// True, and counted, if a retry is allowed now.
    bool take(const std::string& service);

    /// Counts an attempt after one that reached nobody, which asks no budget.
    void followed_unsent(const std::string& service);

    /// What is saved up for a service.
    double held(const std::string& service);

    /// Takes in what the services may save up now, shows the figures, and tells now and then of
    /// services with retries.
    void tick(instant now);

private:
    struct service_account {
        retry_budget budget;
        std::uint64_t& first_tries;
        std::uint64_t& taken;
        std::uint64_t& denied;
        std::uint64_t& unasked;
        double& held;
        double& most;
        /// What was taken, denied and unasked when it was last told.
        std::uint64_t told = 0;
    };

    service_account& account_of(const std::string& service);
    static void tell(service_account& account, const std::string& service);

    double share_;
    most_hook most_;
    metrics& counters_;
    std::map<std::string, service_account> accounts_;
    instant told_at_{};
};

}  // namespace wrenswitch
