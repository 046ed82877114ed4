#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/routing/retry_budget.hpp"

namespace wrenswitch {

/// The retry budgets of a gateway, one per service, so that a failing service can't use up the
/// retries of another. It counts and logs the first tries, retries and denials of each budget, so
/// that the total of all gateways can be computed from their metrics or their logs.
class service_retry_budgets {
public:
    /// `share` is the number of retries that are allowed per first try, `window` the period over
    /// which they are counted.
    service_retry_budgets(double share, microseconds window, metrics& counters)
        : share_(share), window_(window), counters_(counters) {}

    /// Counts the first try of a request.
    void record_first_try(instant now, const std::string& service);

    /// Returns true, and counts the retry, if the budget allows one now.
    bool try_acquire_retry(instant now, const std::string& service);

    /// Counts an attempt that follows one which failed to connect, and so needs no budget.
    void record_unbudgeted_retry(const std::string& service);

    /// The number of retries that the service is allowed now.
    double available_retries(instant now, const std::string& service);

    /// Updates the metrics, and periodically logs the services that had retries.
    void tick(instant now);

private:
    struct service_state {
        retry_budget budget;
        std::uint64_t& first_tries;
        std::uint64_t& taken;
        std::uint64_t& denied;
        std::uint64_t& unbudgeted;
        double& allowed;
        double& first_tries_in_window;
        double& taken_in_window;
        /// The sum of taken, denied and unbudgeted retries when it was last logged.
        std::uint64_t logged_total = 0;
    };

    service_state& state_of(const std::string& service);
    static void log_counts(service_state& state, const std::string& service);

    double share_;
    microseconds window_;
    metrics& counters_;
    std::map<std::string, service_state> services_;
    instant last_logged_{};
};

}  // namespace wrenswitch
