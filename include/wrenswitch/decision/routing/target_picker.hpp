#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The load that a guard or a target last reported.
struct load_report {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned limit = 1;
    bool draining = false;
    /// How many times as long as usual work takes there now; no value if it wasn't reported.
    std::optional<double> slowdown{};
};

/// A guard that an entry can send requests to.
struct routable_target {
    incarnation_id guard{};
    std::string service;
    std::string failure_domain;
    std::string host;
    std::string endpoint;
};

/// How an entry selects among guards.
enum class routing_policy { random, least_loaded, two_choices, expected_wait };

/// Settings of a picker.
struct picker_settings {
    routing_policy policy = routing_policy::expected_wait;
    /// The number of guards of a service that an entry sends to, which bounds its connections.
    std::size_t subset_size = 24;
    /// The number of guards of the subset that are compared for one request.
    std::size_t candidates = 3;
    std::string failure_domain;
    /// The cost of sending to another failure domain, in queued requests.
    double cross_domain_penalty = 0.5;
    /// The benefit of a probable prefix cache hit, in queued requests.
    double prefix_hit_bonus = 2.0;
    /// How long a guard is ejected after its first failure; doubles with each further failure.
    microseconds initial_ejection = seconds(1);
    microseconds max_ejection = seconds(60);
    /// The seed of this entry's subset. It differs between entries so that they spread over all
    /// guards.
    std::uint64_t subset_seed = 0;
};

/// Selects a target for each request from delayed load reports, corrected by the requests sent
/// since, the guards that received the same prompt prefix before, and recent failures. The cost of
/// a selection depends on the number of candidates, not on the number of targets.
class target_picker {
public:
    target_picker(picker_settings settings, random_source& random);

    /// Replaces the set of guards. The state of those that remain is kept.
    void set_targets(std::span<const routable_target> targets);

    /// Selects a target for a request of a service, excluding those already tried. Null if none is
    /// usable. `prefix` is a hash of the beginning of the request, or zero.
    const routable_target* pick(instant now, std::string_view service, std::uint64_t prefix,
                                std::span<const incarnation_id> tried);

    /// A request was sent to this guard.
    void record_sent(incarnation_id guard, std::uint64_t prefix);

    /// A guard reported its load. The report includes every request that the guard responded to
    /// before.
    void update_load(incarnation_id guard, const load_report& load);

    /// A request that was sent to this guard was answered or refused.
    void record_finished(incarnation_id guard);

    /// A guard did not respond, or its target is down.
    void record_failure(instant now, incarnation_id guard);

    /// A guard responded normally.
    void record_success(incarnation_id guard);

    /// The guards of a service in this entry's subset.
    std::vector<incarnation_id> subset_of(std::string_view service) const;

    std::size_t size() const { return targets_.size(); }

private:
    struct target_state {
        routable_target target;
        load_report load;
        /// Requests from this entry that are in transit or running.
        unsigned in_flight = 0;
        /// Requests sent since the last report.
        unsigned sent_since_report = 0;
        unsigned failures = 0;
        instant ejected_until{};
    };

    void rebuild_subsets();
    bool is_usable(const target_state& state, instant now,
                   std::span<const incarnation_id> tried) const;
    double expected_wait(const target_state& state) const;
    double score(const target_state& state, bool prefix_hit) const;

    picker_settings settings_;
    random_source& random_;
    std::unordered_map<incarnation_id, target_state> targets_;
    std::map<std::string, std::vector<incarnation_id>, std::less<>> subsets_;
    /// The guard to which each prefix was last sent; only a hint.
    std::unordered_map<std::uint64_t, incarnation_id> prefix_guards_;
};

}  // namespace wrenswitch
