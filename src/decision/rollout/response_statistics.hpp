#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "decision/rollout/route_comparison.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

namespace wrenswitch {

/// Which latency of a response.
enum class latency_kind { first_event, event_interval };

/// Defines slow responses: slower than `factor` times the latency that a share `level` of the old
/// version's responses on the route exceed.
struct slowness_criterion {
    latency_kind latency = latency_kind::first_event;
    double factor = 2.0;
    double level = 0.01;
    /// The number of slow responses per target that are ignored on stream routes because of cold
    /// caches.
    double max_cold_responses = 0.0;
    /// True to ignore stream routes.
    bool skip_streams = false;
};

/// The shares of the old version's responses that may exceed the normal latency: 0.5 is best at
/// detecting versions that are slower in all responses, 0.01 those that are slower in a part of
/// them.
inline constexpr std::array slowness_levels{0.5, 0.2, 0.05, 0.01};

/// The number of slow responses per target that are attributed to cold prompt caches on stream
/// routes. Plain responses use no prompt cache and have no allowance: with 4 ignored there, 150
/// instead of 196 of 200 versions that are 4 times slower would be detected within 24 s at 124
/// requests/s.
inline constexpr double cold_cache_allowance = 20.0;

/// The evidence of a rollout in a form that many tests can be run on: one evaluation uses about
/// forty kinds of flags.
class response_statistics {
public:
    /// Takes several intervals, in each of which the new version's share of the traffic was
    /// constant. Changes from one interval to the next that affect both versions aren't attributed
    /// to the new one.
    explicit response_statistics(std::span<const rollout_evidence> intervals);

    /// One comparison for each route that both versions have responses on, preceded by one of all
    /// routes together if there are several.
    std::vector<route_comparison> failures() const;
    std::vector<route_comparison> slow(const slowness_criterion& criterion) const;

    /// The number of responses of each version on a route.
    struct route_responses {
        std::string route;
        double old_responses = 0.0;
        double new_responses = 0.0;
    };
    std::vector<route_responses> routes() const;

    const std::string& target_name(std::size_t target) const { return targets_[target]; }

private:
    /// For each bucket the number of responses in it and in all later ones.
    using tail_counts = std::array<double, latency_histogram::buckets + 1>;

    struct response_samples {
        sample_proportion failed;
        tail_counts first_event{};
        tail_counts event_interval{};

        const tail_counts& of(latency_kind latency) const {
            return latency == latency_kind::first_event ? first_event : event_interval;
        }
    };

    /// The samples of one route in one interval.
    struct route_samples {
        std::string route;
        response_samples control;
        std::vector<response_samples> targets;
    };

    static response_samples samples_of(const response_counts& responses);
    static tail_counts tail_counts_of(const latency_histogram& times);
    static double count_above(const tail_counts& tails, int bucket);
    static std::optional<int> slow_bucket(const tail_counts& control, int shift, double level);
    static route_comparison pool(std::span<const route_comparison> comparisons);
    static std::vector<route_comparison> merge_by_route(std::vector<route_comparison> comparisons);

    void add(const rollout_evidence& interval);
    std::size_t target_index(const std::string& target);

    std::vector<std::string> targets_;
    std::vector<route_samples> routes_;
};

}  // namespace wrenswitch
