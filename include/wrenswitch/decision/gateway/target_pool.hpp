#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/gateway/advertised_limits.hpp"
#include "wrenswitch/decision/gateway/candidate_constraints.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/gateway/region_table.hpp"
#include "wrenswitch/decision/gateway/target_backoffs.hpp"
#include "wrenswitch/decision/gateway/target_speed.hpp"
#include "wrenswitch/decision/gateway/warmup_limiter.hpp"
#include "wrenswitch/decision/placement/engine_admission.hpp"
#include "wrenswitch/decision/placement/engine_placer.hpp"
#include "wrenswitch/decision/rollout/version_quarantine.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// A target as the platform's target list describes it. The identifier and the start time together
/// identify one incarnation of it.
struct gateway_target {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    unsigned slots = 1;
    bool draining = false;
    /// Version of the target's software; empty if it reports none.
    std::string version;
    /// When the target's process started, in Unix milliseconds by its own clock; no value if it
    /// doesn't report this. A process that restarts under the same identifier has a later start
    /// time.
    std::optional<std::int64_t> started{};

    friend bool operator==(const gateway_target&, const gateway_target&) = default;
};

/// A target's record in the target list.
struct listed_target {
    gateway_target target;
    /// How much longer the target stays cold, as of when it wrote the record.
    microseconds cold_remaining{};
};

/// Settings of a target pool.
struct target_pool_settings {
    std::string failure_domain;
    region_table regions;
    /// Assumed network round trip to another region.
    microseconds far_round_trip = milliseconds(40);
    /// Cost of a target in another failure domain, as a fraction of the target's slots.
    double other_domain_cost = 0.05;
    /// Cost of a target in another region, as a fraction of the target's slots, in addition to the
    /// round trip. Targets of the own region are used until they are nearly full, because a request
    /// doesn't wait for anything before that.
    double other_region_cost = 0.6;
    microseconds first_ejection = milliseconds(500);
    microseconds max_ejection = seconds(8);
    /// How long a load report stays valid.
    microseconds report_lifetime = milliseconds(500);
    /// How long a target that left the list may still get requests that no listed one can take. It
    /// keeps serving for a little longer than that, unless it has crashed.
    microseconds unlisted_use = milliseconds(1600);
    /// Returns the number of gateways that share the rate of a cold target; zero while it isn't
    /// known. If the function isn't set, the number is one.
    std::function<std::size_t()> gateway_count;
    /// The gateways that share the limits that targets advertise.
    limit_peers peers;
};

/// Which send permits a request accepts at targets with an advertised limit or a backoff.
struct permit_request {
    /// The longest acceptable time until the permit is due.
    microseconds max_wait{};
    /// For a request with a lower priority than others that arrive: it uses a permit only if
    /// another target still has one that is due within this time. Zero if no permit has to be
    /// spared.
    microseconds spare_permit_within{};
};

/// Permission to send one request to a target at a certain time.
struct send_permit {
    /// How long the request has to wait until it is sent.
    microseconds wait{};
    /// The target's limit epoch when the permit was reserved. The permit is void in any later
    /// epoch.
    std::uint64_t limit_epoch = 0;
};

/// The target chosen for a request.
struct target_choice {
    /// Null if no target was found.
    const gateway_target* target = nullptr;
    /// Another engine from which the target should copy the cached memory of the prompt, or null.
    const gateway_target* copy_from = nullptr;
    /// The tokens of the prompt that the target is expected to process itself, since no cached
    /// memory covers them.
    tokens uncached_tokens = 0;
    /// The estimated cost that an engine was chosen by.
    placement_cost price;
    /// The least time that any other candidate engine needs for pending prefills, in ms, and the
    /// number of candidates. Known only to the coordinator.
    double other_backlog_ms = 0.0;
    std::size_t candidates = 1;
    /// A choice that is held or refused by admission control has no target. The time is the longest
    /// hold or the time after which the request may be sent again.
    admission_outcome admission = admission_outcome::admit;
    microseconds admission_wait{};
    /// How long the request has to wait before it is sent, because the target is cold.
    microseconds wait{};
    /// True if no target was found only because the remaining ones are cold and have no permit in
    /// time.
    bool all_cold = false;
};

/// Which regions rendezvous_engine() considers.
enum class rendezvous_scope {
    /// The own region if it has engines, unless the prompt justifies a round trip to another one.
    nearest,
    /// Only other regions.
    another_region,
};

/// Chooses a target for each request that the gateway sends directly to one, and keeps the state of
/// all targets. The choice is based on the load that responses report, this gateway's own requests
/// in flight, and recent failures. The engine placer chooses among the eligible engines for a
/// request with a prompt.
class target_pool {
public:
    target_pool(target_pool_settings settings, random_source& random);

    /// Applies a target's latest record, which is at this position in the list. An address belongs
    /// to the target that was listed there last; earlier targets at the same address are gone.
    void apply(const gateway_target& target, std::uint64_t list_position = 0);

    /// Handles a target that is new in the list. If no other target of its service has the same
    /// version, it is held back until the rollout orders have been read, unless all targets of the
    /// service have that version.
    void quarantine_new_version(instant now, std::string_view id);

    /// Handles the end of a complete read of the rollout orders that began at `began`.
    void orders_read(instant began) { quarantine_.release_before(began); }

    /// True if targets are held back until the rollout orders have been read.
    bool waits_for_orders(instant now) const;

    /// True if the service has targets and all known ones, including those that left the list
    /// recently, have this version. Targets of the excluded versions are ignored.
    bool has_only_version(std::string_view service, std::string_view version,
                          const version_set& excluded = {}) const;

    /// The versions of the service's targets, including those that left the list recently.
    version_set versions_of(std::string_view service) const;

    /// Handles a target that is no longer in the list because it left, crashed, or was lost by the
    /// list. For a short time it is used if no listed target can be.
    void remove(instant now, std::string_view id);

    /// Handles a target that the list lost and that hasn't come back in time: it gets no requests.
    void remove_lost(instant now, std::string_view id);

    /// Handles a target record that can't be parsed: the target gets no requests, not even as a
    /// fallback, until a readable record arrives.
    void mark_unreadable(std::string_view id);

    /// Handles a restart of the target's process under the same identifier: discards what is known
    /// of its load, failures, cached prompts, limit and backoff.
    void on_restarted(std::string_view id);

    /// Marks the target as cold for this long, or keeps a later end that is already known.
    void mark_cold(instant now, std::string_view id, microseconds remaining);

    /// True if the target is known to be cold.
    bool is_cold(instant now, std::string_view id) const { return warmup_.is_cold(now, id); }

    /// Updates the number of gateways that share the rate of cold targets.
    void refresh_gateway_count(instant now) { warmup_.refresh_gateway_count(now); }

    /// Sets the warm-up limits of a service's targets.
    void set_warmup(instant now, const std::string& service, const target_warmup& warmup) {
        warmup_.set_warmup(now, service, warmup);
    }

    /// Defers the permits at cold engines, because another process may have issued them until now.
    void defer_cold_permits(instant now) { warmup_.defer_permits(now); }

    /// Starts or ends the evacuation of a failure domain, which an operator requests. Targets of a
    /// domain that returns count as cold, since they may have restarted in the meantime. Returns
    /// false if nothing changed.
    bool set_evacuated(instant now, std::string_view failure_domain, bool evacuated);

    /// True if the failure domain is evacuated and gets no requests.
    bool is_evacuated(std::string_view failure_domain) const {
        return evacuated_.contains(failure_domain);
    }

    /// Returns true if the target may be chosen.
    using target_filter = std::function<bool(std::string_view id)>;

    /// Chooses a target for a request without a prompt, which should be answered within the
    /// objective if it is set, and skips those already tried. An unresponsive target is probed with
    /// requests that are safe to repeat; other requests use it only as a fallback.
    target_choice pick(instant now, std::string_view service, std::span<const std::string> tried,
                       microseconds objective = {}, bool repeatable = false,
                       const candidate_constraints& constraints = {});

    /// Chooses an engine for a request with a prompt among those that pass the filter, and skips
    /// those already tried.
    target_choice pick_engine(instant now, std::string_view service, const engine_request& request,
                              std::span<const std::string> tried, const target_filter& passes,
                              permit_share share);

    /// Replaces the source that the engine copies from if this gateway knows an engine that has
    /// more of the prompt cached than the chosen engine will have.
    void improve_copy_source(instant now, const engine_request& request,
                             target_choice& choice) const;

    /// The engine whose coordinator is asked to place this prompt: the one that the session's hash
    /// selects among the eligible engines, or a random one if there is no session. Engines of the
    /// own region come first, unless processing the parts that the session shares takes longer than
    /// two round trips to another region. Empty if there is no engine.
    std::string_view rendezvous_engine(instant now, std::string_view service,
                                       const engine_request& request,
                                       std::span<const std::string> tried,
                                       rendezvous_scope scope = rendezvous_scope::nearest);

    /// True if the target currently accepts requests of the service under these constraints.
    bool is_usable(instant now, std::string_view id, std::string_view service,
                   const candidate_constraints& constraints = {}) const;

    /// True if the service has a target in one of these regions, healthy or not: a request that is
    /// restricted to them and finds none available may find one later.
    bool has_target_in(instant now, std::string_view service, const allowed_regions& regions) const;

    /// True if there is an eligible target besides those already tried.
    bool has_untried(instant now, std::string_view service, std::span<const std::string> tried,
                     const candidate_constraints& constraints);

    /// True if cached prompt memory may be copied from one engine to another for a request with
    /// this region restriction. Memory stays in its region, because it is derived from prompts
    /// processed there, some of which may be restricted to the region, while unrestricted requests
    /// share the same parts.
    bool may_copy(std::string_view from, std::string_view to, const allowed_regions& regions) const;

    /// The region of a target, for logs and metrics; empty if it isn't known.
    std::string_view region_of(std::string_view id) const;

    /// The limits that targets advertise.
    advertised_limits& limits() { return limits_; }

    /// The targets of the service for which this request gets no acceptable permit, because of
    /// their advertised limits and backoffs.
    std::vector<std::string> targets_without_permit(instant now, std::string_view service,
                                                    const permit_request& wanted);

    /// True if a target of the service with an advertised limit has a permit for this gateway that
    /// is due within this time.
    bool has_permit(instant now, std::string_view service, microseconds within);

    /// When this gateway may send to a target again that has a limit or a backoff.
    struct next_permit {
        microseconds wait{};
        /// True if the target has asked for a backoff, false if its advertised limit is the reason.
        bool is_backoff = false;
    };

    /// The earliest one among the service's targets; no value if none of them makes this gateway
    /// wait.
    std::optional<next_permit> earliest_permit(instant now, std::string_view service);

    /// Reserves this gateway's next permit at a target under its advertised limit and backoff.
    /// Returns no value if none is due within `max_wait`.
    std::optional<send_permit> reserve_permit(instant now, std::string_view id,
                                              microseconds max_wait);

    /// True if a request with this permit may be sent to the target now, which is the case unless
    /// the target has said otherwise since the permit was reserved. Must be checked at the moment
    /// of sending, however the target was chosen.
    bool may_send(instant now, std::string_view id, const send_permit& permit) const;

    /// Records that the target announced that it is draining: it gets no new requests until its
    /// process restarts, whatever the list says. Returns true if this wasn't known before.
    bool mark_draining(std::string_view id);

    /// True if the target has announced since its last restart that it is draining.
    bool has_announced_draining(std::string_view id) const;

    /// The backoffs that targets have requested from this gateway.
    target_backoffs& backoffs() { return backoffs_; }

    /// Counts a request that was sent to a target.
    void on_sent(std::string_view id);

    /// Records a request that was sent to an engine, which has `uncached_tokens` of the prompt to
    /// process. Returns the number of the attempt at that engine, or zero if the engine isn't
    /// known. `all_known` as in engine_placer.
    std::uint64_t begin_attempt(instant now, std::string_view id, const engine_request& request,
                                tokens uncached_tokens, bool all_known);
    /// Records the first event of a response from an engine.
    void record_first_event(instant now, std::string_view id, std::uint64_t attempt);
    /// Records that a whole span of later events arrived from an engine within this time.
    void record_event_span(instant now, std::string_view id, microseconds span);
    /// Records the end of an attempt at an engine, whatever its outcome.
    void end_attempt(instant now, std::string_view id, std::uint64_t attempt);
    /// Records the end of a request that on_sent() counted, whatever its outcome.
    void on_finished(std::string_view id);

    /// Records the load that the target reported. Returns true if its service is from now on known
    /// to report slowdowns, which changes how its targets are selected.
    bool on_load_report(instant now, std::string_view id, const load_report& load);

    /// Records how long a target took for a successful response, which reported this load.
    void record_response_time(instant now, std::string_view id, microseconds time,
                              const load_report& load);

    /// Records the slowdown of an engine that another gateway was told. It is ignored if the
    /// engine itself has reported one to this gateway recently.
    void record_peer_slowdown(instant now, std::string_view id, double factor);

    /// The present slowdown of a target by its reports; 1 if it reports none.
    double slowdown_of(instant now, std::string_view id) const;

    /// The same, if the target has reported its slowdown to this gateway recently.
    std::optional<double> recent_slowdown(instant now, std::string_view id) const;

    /// Handles a target that hasn't responded for longer than responses take.
    void on_unresponsive(instant now, std::string_view id);

    /// Handles a target that couldn't be reached or closed the connection early.
    void on_failure(instant now, std::string_view id);
    /// Records the response of a target, which succeeded or was a failure of the target itself.
    void on_response(instant now, std::string_view id, bool succeeded);

    const gateway_target* find(std::string_view id) const;

    /// True if the target is in the list.
    bool is_listed(std::string_view id) const;

    /// Describes the estimated load of a target and the age of its last report, for logs.
    std::string describe(instant now, std::string_view id) const;

    /// All targets that are in the list, including draining ones.
    std::vector<gateway_target> listed() const;

    /// Removes the targets that left the list a while ago and have no requests in flight. Returns
    /// their identifiers.
    std::vector<std::string> expire_unlisted(instant now);

private:
    struct target_state {
        gateway_target target;
        /// Position of the target's latest record in the list.
        std::uint64_t list_position = 0;
        bool listed = true;
        /// True once a newer target was listed at the same address, so that this one can't be
        /// reached any more.
        bool replaced = false;
        /// True while the target's record can't be parsed.
        bool unreadable = false;
        /// True once a response since the last restart has said that the target is draining.
        bool announced_draining = false;
        instant unlisted_since{};
        /// From when on a target that isn't listed gets no requests at all.
        instant gone_from{};
        unsigned in_flight = 0;
        load_report load;
        instant reported_at{};
        target_speed speed;
        /// The share of its responses that failed, weighted by age, as of the last response or
        /// failure.
        double failure_rate = 0.0;
        instant failure_rate_at{};
        unsigned consecutive_failures = 0;
        instant ejected_until{};
        /// True from a missing response until the next one.
        bool unresponsive = false;
    };

    using states = std::map<std::string, target_state, std::less<>>;

    using state_filter = std::function<bool(const target_state& state)>;

    /// Eligible targets that a request can use in time.
    struct permitted_candidates {
        std::vector<target_state*> targets;
        bool excluded_cold = false;
    };

    /// The service times of a service's targets.
    struct service_speed {
        /// Assumed for a target of which nothing is known.
        double assumed_ms = 0.0;
        double mean_ms = 0.0;
    };

    /// What is known of a service by its targets.
    struct service_traits {
        /// A target of the service has reported its slowdown.
        bool reports_slowdown = false;
        /// The targets are engines.
        bool has_engines = false;
    };

    void resolve_address_conflicts(target_state& changed);
    void remove_address(const gateway_target& target);
    static double failure_rate(const target_state& state, instant now);
    static void record_outcome(target_state& state, instant now, bool succeeded);
    static bool has_gone(instant now, const target_state& state);
    bool is_eligible(instant now, const target_state& state, std::string_view service,
                     const candidate_constraints& constraints) const;
    bool is_in_allowed_region(const target_state& state, const allowed_regions& regions) const;
    std::vector<target_state*> candidates(instant now, std::string_view service,
                                          std::span<const std::string> tried,
                                          const candidate_constraints& constraints,
                                          const state_filter& admits);
    bool is_held_back(instant now, const target_state& state,
                      const version_constraint& constraint) const;
    bool has_alternative(instant now, const gateway_target& target,
                         const version_set& excluded) const;
    static void select_group(std::vector<target_state*>& targets,
                             const version_constraint& constraint);
    permitted_candidates candidates_with_permits(instant now, std::string_view service,
                                                 std::span<const std::string> tried,
                                                 permit_share share, microseconds max_wait,
                                                 const candidate_constraints& constraints);
    static void filter_unresponsive(std::vector<target_state*>& targets, bool repeatable);
    bool is_in_other_region(const target_state& state) const;
    std::string_view copy_scope_of(const target_state& state) const;
    bool justifies_remote_region(std::string_view service, const prompt_profile& shape) const;
    void prefer_own_region(std::vector<target_state*>& targets) const;
    double occupancy(const target_state& state, instant now) const;
    std::optional<service_speed> speed_of_service(instant now, std::string_view service) const;
    double load_cost(const target_state& state, instant now,
                     const std::optional<service_speed>& service) const;
    double direct_cost(const target_state& state, instant now,
                       const std::optional<service_speed>& service) const;
    std::vector<copy_source> copy_sources(instant now, std::string_view service,
                                          const allowed_regions& regions) const;

    target_pool_settings settings_;
    bool has_multiple_regions_;
    random_source& random_;
    states targets_;
    std::map<std::string, service_traits, std::less<>> services_;
    /// The targets at each address. Each renewal of a target's entry looks for others at its
    /// address.
    std::unordered_map<std::string, std::set<std::string>> ids_by_address_;
    warmup_limiter warmup_;
    advertised_limits limits_;
    target_backoffs backoffs_;
    /// Evacuated failure domains, which get no requests.
    std::set<std::string, std::less<>> evacuated_;
    version_quarantine quarantine_;
    engine_placer placer_;
};

}  // namespace wrenswitch
