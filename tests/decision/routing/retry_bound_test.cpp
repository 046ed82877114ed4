#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/routing/retry_budget.hpp"

namespace {

using namespace wrenswitch;

constexpr double ratio = 0.2;
constexpr microseconds window = seconds(10);
const instant start{seconds(1000)};

/// The retry decisions of one run of a process.
struct retry_policy {
    std::function<void(instant)> record_first_try;
    std::function<bool(instant)> try_acquire_retry;
};

using policy_factory = std::function<retry_policy(int host, instant now)>;

retry_policy policy_using(const std::shared_ptr<retry_budget>& budget) {
    return {[budget](instant now) { budget->record_first_try(now); },
            [budget](instant now) { return budget->try_acquire_retry(now); }};
}

retry_policy current_policy(int, instant) {
    return policy_using(std::make_shared<retry_budget>(ratio, window));
}

/// Simulates a fleet in time steps and counts the first tries that callers send and the retries
/// that reach targets.
class fleet_simulation {
public:
    static constexpr microseconds step = milliseconds(50);
    static constexpr int steps = 1600;
    static constexpr int window_steps = 200;

    fleet_simulation(std::uint64_t seed, policy_factory make_policy)
        : random_(seed),
          make_policy_(std::move(make_policy)),
          requests_(steps + 1),
          retries_(steps + 1) {}

    /// Runs the simulation: load jumps and moves between processes, targets refuse requests for a
    /// time, processes are killed, started, added and removed. Every retry that the policy allows
    /// is sent.
    void run() {
        const int hosts = 1 + static_cast<int>(random_.unit() * 40.0);
        for (int host = 0; host < hosts; ++host) {
            add_process(host, 0);
        }
        for (int now = 0; now < steps; ++now) {
            apply_random_event(now);
            for (simulated_process& process : processes_) {
                simulate_process(process, now);
            }
        }
    }

    /// The largest excess of the retries of any window over the ratio times the first tries of that
    /// window, the previous one, or the one half a window before.
    double max_excess() const {
        const std::vector<double> requests = prefix_sums(requests_);
        const std::vector<double> retries = prefix_sums(retries_);
        double largest = -std::numeric_limits<double>::infinity();
        for (int from = 0; from + window_steps <= steps; ++from) {
            const auto sum_in_window = [&](const std::vector<double>& sum, int begin) {
                const int first = std::max(begin, 0);
                return sum[first + window_steps - (first - begin)] - sum[first];
            };
            const double allowed =
                ratio *
                std::max({sum_in_window(requests, from),
                          from >= window_steps ? sum_in_window(requests, from - window_steps) : 0.0,
                          sum_in_window(requests, from - window_steps / 2)});
            largest = std::max(largest, sum_in_window(retries, from) - allowed);
        }
        return largest;
    }

    double total_retries() const { return prefix_sums(retries_).back(); }

private:
    struct simulated_process {
        int host = 0;
        retry_policy policy;
        double rate = 0.0;
        bool rejecting = false;
    };

    static std::vector<double> prefix_sums(const std::vector<double>& counts) {
        std::vector<double> sum{0.0};
        for (const double count : counts) {
            sum.push_back(sum.back() + count);
        }
        return sum;
    }

    static instant at(int now) { return start + now * step; }

    void add_process(int host, int now) {
        processes_.push_back(
            {host, make_policy_(host, at(now)), random_rate(), random_.unit() < 0.5});
    }

    /// Requests per step: usually a few, sometimes none or a burst.
    double random_rate() {
        const double kind = random_.unit();
        if (kind < 0.2) {
            return 0.0;
        }
        return kind < 0.8 ? random_.unit() : 10.0 * random_.unit();
    }

    void apply_random_event(int now) {
        if (random_.unit() < 0.02) {
            // All targets start or stop refusing requests.
            const bool all_rejecting = random_.unit() < 0.6;
            for (simulated_process& process : processes_) {
                process.rejecting = all_rejecting;
            }
        }
        if (random_.unit() < 0.01) {
            for (simulated_process& process : processes_) {
                process.rate = random_rate();
            }
        }
        if (random_.unit() < 0.01) {
            const double killed_share = random_.unit();
            for (simulated_process& process : processes_) {
                if (random_.unit() < killed_share) {
                    process.policy = make_policy_(process.host, at(now));
                }
            }
        }
        if (random_.unit() < 0.01) {
            add_process(static_cast<int>(processes_.size()), now);
        }
        if (random_.unit() < 0.005 && processes_.size() > 1) {
            processes_.pop_back();
        }
    }

    void simulate_process(simulated_process& process, int now) {
        const int requests = static_cast<int>(process.rate + random_.unit());
        for (int number = 0; number < requests; ++number) {
            process.policy.record_first_try(at(now));
            // The request left its caller up to a second before.
            requests_[std::max(0, now - static_cast<int>(random_.unit() * 20.0))] += 1.0;
        }
        while (process.rejecting && process.policy.try_acquire_retry(at(now))) {
            // The retry arrives up to half a second later.
            retries_[std::min(steps, now + static_cast<int>(random_.unit() * 10.0))] += 1.0;
        }
    }

    random_source random_;
    policy_factory make_policy_;
    std::vector<simulated_process> processes_;
    std::vector<double> requests_;
    std::vector<double> retries_;
};

/// The largest excess over the bound in several simulations.
double max_excess(int runs, const policy_factory& make_policy) {
    double largest = -std::numeric_limits<double>::infinity();
    for (int seed = 1; seed <= runs; ++seed) {
        fleet_simulation simulation(static_cast<std::uint64_t>(seed), make_policy);
        simulation.run();
        largest = std::max(largest, simulation.max_excess());
    }
    return largest;
}

BOOST_AUTO_TEST_SUITE(retry_budget_test)

BOOST_AUTO_TEST_CASE(
    processes_that_start_stop_and_change_stay_within_the_common_bound_without_slack) {
    BOOST_TEST(max_excess(200, current_policy) <= 0.0);
}

BOOST_AUTO_TEST_CASE(ratio_that_is_fully_available_in_both_windows_exceeds_the_bound) {
    BOOST_TEST(max_excess(20, [](int, instant) {
                   return policy_using(std::make_shared<retry_budget>(2.0 * ratio, window));
               }) > 0.0);
}

BOOST_AUTO_TEST_CASE(process_that_starts_with_extra_retries_exceeds_the_bound) {
    BOOST_TEST(max_excess(20, [](int, instant) {
                   return policy_using(std::make_shared<retry_budget>(ratio, window, 3.0));
               }) > 0.0);
}

BOOST_AUTO_TEST_CASE(process_that_inherits_its_predecessors_earnings_exceeds_the_bound) {
    // Keeps what the requests of a host earned across its restarts, and forgets what was spent.
    auto earned = std::make_shared<std::map<int, std::vector<instant>>>();
    BOOST_TEST(max_excess(20, [earned](int host, instant) {
                   auto budget = std::make_shared<retry_budget>(ratio, window);
                   std::vector<instant>& first_tries = (*earned)[host];
                   for (const instant time : first_tries) {
                       budget->record_first_try(time);
                   }
                   return retry_policy{
                       [budget, &first_tries](instant now) {
                           first_tries.push_back(now);
                           budget->record_first_try(now);
                       },
                       [budget](instant now) { return budget->try_acquire_retry(now); }};
               }) > 0.0);
}

BOOST_AUTO_TEST_CASE(slack_divided_by_too_low_a_process_count_is_exceeded) {
    // A token bucket that starts full with the share of the slack that each process computes for
    // itself.
    constexpr double slack = 100.0;
    constexpr double assumed_processes = 4.0;
    BOOST_TEST(max_excess(20, [](int, instant) {
                   auto bucket = std::make_shared<double>(slack / assumed_processes);
                   return retry_policy{[bucket](instant) {
                                           *bucket =
                                               std::min(*bucket + ratio, slack / assumed_processes);
                                       },
                                       [bucket](instant) {
                                           const bool taken = *bucket >= 1.0;
                                           *bucket -= taken ? 1.0 : 0.0;
                                           return taken;
                                       }};
               }) > slack);
}

BOOST_AUTO_TEST_CASE(steady_refusals_get_nearly_the_full_ratio) {
    retry_budget budget(ratio, window);
    int retries = 0;
    for (int request = 0; request < 6000; ++request) {
        const instant now = start + request * milliseconds(10);
        budget.record_first_try(now);
        retries += budget.try_acquire_retry(now) ? 1 : 0;
    }
    BOOST_TEST(retries <= 1200);
    BOOST_TEST(retries >= 1000);
}

BOOST_AUTO_TEST_CASE(process_that_starts_retries_only_what_its_requests_earned) {
    retry_budget budget(ratio, window);
    BOOST_TEST(!budget.try_acquire_retry(start));
    for (int request = 0; request < 10; ++request) {
        budget.record_first_try(start);
    }
    BOOST_TEST(budget.try_acquire_retry(start));
    BOOST_TEST(!budget.try_acquire_retry(start));
}

BOOST_AUTO_TEST_CASE(half_of_a_windows_retries_are_available_at_once) {
    retry_budget budget(ratio, window);
    for (int request = 0; request < 1000; ++request) {
        budget.record_first_try(start + request * milliseconds(10));
    }
    const instant now = start + seconds(10);
    const double allowed = budget.available_retries(now);
    BOOST_TEST(allowed >= 80.0);
    BOOST_TEST(allowed <= 100.0);
    int retries = 0;
    while (budget.try_acquire_retry(now)) {
        retries += 1;
    }
    BOOST_TEST(retries == static_cast<int>(allowed));
    BOOST_TEST(budget.retries_in_window(now) == static_cast<unsigned>(retries));
    BOOST_TEST(!budget.try_acquire_retry(now + seconds(10)));
    BOOST_TEST(budget.first_tries_in_window(now + seconds(30)) == 0U);
}

BOOST_AUTO_TEST_CASE(extra_retries_are_available_again_after_a_window) {
    retry_budget budget(0.1, window, 2.0);
    BOOST_TEST(budget.try_acquire_retry(start));
    BOOST_TEST(budget.try_acquire_retry(start));
    BOOST_TEST(!budget.try_acquire_retry(start + seconds(10)));
    BOOST_TEST(budget.try_acquire_retry(start + seconds(11)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
