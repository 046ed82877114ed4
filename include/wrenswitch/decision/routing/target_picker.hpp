#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What a guard last said of its load.
struct load_report {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned limit = 1;
    bool leaving = false;
};

/// A guard that an entry may send to.
struct routable_target {
    incarnation_id guard{};
    std::string service;
    std::string failure_domain;
    std::string host;
    std::string endpoint;
};

/// How an entry chooses.
enum class routing_policy { random, least_loaded, two_choices, expected_wait };

/// Settings of a picker.
struct picker_settings {
    routing_policy policy = routing_policy::expected_wait;
    /// How many guards of a service an entry sends to; bounds its connections.
    std::size_t subset_size = 24;
    /// How many of the subset are compared for one request.
    std::size_t candidates = 3;
    std::string failure_domain;
    /// What crossing to another failure domain counts as, in requests waiting.
    double other_domain_cost = 0.5;
    /// What a likely cache hit counts as, in requests waiting.
    double prefix_gain = 2.0;
    /// How long a guard that failed is left out at first; doubles with each further failure.
    microseconds first_ejection = seconds(1);
    microseconds longest_ejection = seconds(60);
    /// The entry's own seed for its subset, so that entries spread over all guards.
    std::uint64_t subset_seed = 0;
};

/// Chooses a target for each request from lagging load reports, corrected by what this entry has
/// sent since, by where prefixes went before, and by failures seen. The cost of a choice depends on
/// the number of candidates, not on the number of targets.
class target_picker {
public:
    target_picker(picker_settings settings, random_source& random);

    /// Replaces the set of guards. What is known of those that stay is kept.
    void set_targets(std::span<const routable_target> targets);

    /// A target for a request of a service, leaving out those already tried. `prefix` is a hash of
    /// the request's beginning, or zero.
    const routable_target* pick(instant now, std::string_view service, std::uint64_t prefix,
                                std::span<const incarnation_id> tried);

    /// A request went to this guard.
    void sent(incarnation_id guard, std::uint64_t prefix);

    /// A guard reported its load; its count of what it has includes all that it answered before.
    void reported(incarnation_id guard, const load_report& load);

    /// A request that was sent there is answered or refused.
    void finished(incarnation_id guard);

    /// A guard failed to answer or its target is down.
    void failed(instant now, incarnation_id guard);

    /// A guard answered as it should.
    void succeeded(incarnation_id guard);

    /// The guards of a service in this entry's subset.
    std::vector<incarnation_id> subset_of(std::string_view service) const;

    std::size_t size() const { return targets_.size(); }

private:
    struct target_state {
        routable_target target;
        load_report load;
        /// Requests of this entry that are on their way or running there.
        unsigned in_flight = 0;
        /// Those sent since the last report.
        unsigned since_report = 0;
        unsigned failures = 0;
        instant ejected_until{};
    };

    void rebuild_subsets();
    bool usable(const target_state& state, instant now,
                std::span<const incarnation_id> tried) const;
    double expected_wait(const target_state& state) const;
    double score(const target_state& state, bool prefix_hit) const;

    picker_settings settings_;
    random_source& random_;
    std::unordered_map<incarnation_id, target_state> targets_;
    std::map<std::string, std::vector<incarnation_id>, std::less<>> subsets_;
    /// Where a prefix was sent last: a hint, never a promise.
    std::unordered_map<std::uint64_t, incarnation_id> prefixes_;
};

}  // namespace wrenswitch
