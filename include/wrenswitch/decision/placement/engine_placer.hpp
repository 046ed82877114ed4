#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/candidate_constraints.hpp"
#include "wrenswitch/decision/gateway/reported_slowdown.hpp"
#include "wrenswitch/decision/placement/engine_load.hpp"
#include "wrenswitch/decision/placement/engine_profile.hpp"
#include "wrenswitch/decision/placement/event_interval_estimator.hpp"
#include "wrenswitch/decision/placement/prefill_model.hpp"
#include "wrenswitch/decision/placement/prefix_cache_model.hpp"
#include "wrenswitch/decision/placement/prompt_profile.hpp"

namespace wrenswitch {

/// A request to an engine and the latency that its caller accepts.
struct engine_request {
    prompt_profile prompt;
    engine_profile engine;
    /// The time to the first event within which the response has its full value; zero if unlimited.
    microseconds first_event_objective{};
    /// The longest acceptable pause between events; zero if unlimited.
    microseconds max_event_gap{};
    /// Restricts the engines that may serve the request.
    candidate_constraints constraints;
    /// Added to the time to the first event: the round trip time from the request's entry to the
    /// region of the coordinator's engines.
    microseconds round_trip{};
    /// The account and the priority, from 0, the most urgent. Without a priority the request does
    /// not take part in admission control.
    std::string account{};
    std::optional<unsigned> priority{};
    /// True if no other coordinator is asked if this one does not admit the request.
    bool is_last_query = false;
    /// The factor by which its loss counts when other requests are placed beside it.
    double loss_weight = 1.0;
};

/// An engine that may serve a request.
struct engine_candidate {
    std::string_view id;
    unsigned slots = 1;
    /// The share of its recent requests that failed.
    double failure_rate = 0.0;
    /// The time until a request may be sent to it, in ms.
    double wait_ms = 0.0;
    /// Its region. Engines copy prompts only within one region.
    std::string_view region{};
    /// The round trip time in ms if it is in another region than the request's entry, otherwise
    /// zero.
    double round_trip_ms = 0.0;
};

/// An engine from which another engine may copy cached parts of a prompt.
struct copy_source {
    std::string_view id;
    std::string_view region{};
};

/// The expected cost of placing a request on an engine, in tokens, and its components.
struct placement_cost {
    /// The expected time to the first event, in ms, and the part of it that is spent on other
    /// prompts.
    double first_event_ms = 0.0;
    double backlog_ms = 0.0;
    /// The pause that the request's prefill causes in the engine's streams, in ms.
    double pause_ms = 0.0;
    /// The request's own part of it, and the pause that is pending without the request, in ms.
    double prefill_ms = 0.0;
    double pending_pause_ms = 0.0;
    /// The probability that the response is late or fails.
    double late_probability = 0.0;
    /// The expected loss of the request itself and of the engine's streams.
    double own_cost = 0.0;
    double stream_cost = 0.0;
    /// All losses, the cost of engine time and the preferences between engines.
    double total = 0.0;
};

/// The engine chosen for a request.
struct engine_choice {
    /// The index of the engine among the candidates.
    std::size_t index = 0;
    /// The engine from which the cached part of the prompt should be copied; empty if none.
    std::string copy_from;
    /// The prompt tokens that the engine is expected to process.
    tokens uncached_tokens = 0;
    placement_cost cost;
    /// The least time that any other candidate needs for pending prefills, in ms; infinite if there
    /// is no other candidate.
    double other_backlog_ms = std::numeric_limits<double>::infinity();
};

/// The minimum number of tokens worth copying: a shorter part is processed as fast as a copy is set
/// up.
constexpr tokens min_copied_tokens = 256;

/// Chooses an engine for each request by the expected loss: of the request itself, if its first
/// event is late or other prefills interrupt its events, and of the streams that its own prefill
/// interrupts. As a result, long prompts and latency-sensitive streams run on different engines as
/// far as capacity allows. Prefill times and slow engines are learnt from responses.
class engine_placer {
public:
    /// The best of the candidates, which must not be empty. An engine may copy missing parts of the
    /// prompt from one of the sources.
    engine_choice choose(instant now, const std::string& service,
                         std::span<const engine_candidate> candidates,
                         std::span<const copy_source> sources, const engine_request& request);

    /// An engine and the length of the prompt prefix that it is expected to have cached.
    struct cached_prefix {
        std::string_view engine;
        tokens cached_tokens = 0;
    };

    /// The source in a region with the longest cached prefix of a prompt. The engine is empty if no
    /// source is known to have any.
    cached_prefix longest_cached_prefix(std::span<const copy_source> sources,
                                        std::string_view region,
                                        const prompt_profile& prompt) const;

    /// Records that a request was sent to an engine that has to process this many prompt tokens.
    /// Returns the attempt's identifier. Its prefill time is learnt only if `all_requests_known`,
    /// that is, if this placer is told of all requests to the engine.
    std::uint64_t begin_attempt(instant now, const std::string& service, const std::string& target,
                                const engine_request& request, tokens uncached_tokens,
                                bool all_requests_known);

    /// Records the first event of a response.
    void record_first_event(instant now, std::string_view target, std::uint64_t attempt_id);

    /// Records a complete span of later events of a response and its duration.
    void record_event_span(instant now, std::string_view target, microseconds span);

    /// Records the slowdown that an engine reported.
    void record_slowdown(instant now, std::string_view target, double factor);

    /// Records that a request ended, with or without a response.
    void end_attempt(instant now, std::string_view target, std::uint64_t attempt_id);

    /// The expected prefill time of an uncached prompt on an engine of the service with normal
    /// speed, in ms.
    double prefill_ms(std::string_view service, tokens prompt_tokens) const;

    /// The estimated state of a target, for log lines.
    std::string describe(instant now, std::string_view target) const;

    /// Discards the state of a removed target.
    void remove_target(std::string_view target);

private:
    /// A prefill whose duration is measured by the first event.
    struct timed_prefill {
        instant started_at{};
        tokens prompt_tokens = 0;
        tokens uncached_tokens = 0;
    };

    struct engine_state {
        std::string service;
        prefix_cache_model cache{0};
        engine_load load;
        event_interval_estimator event_interval;
        reported_slowdown slowdown;
        std::map<std::uint64_t, timed_prefill> timed_prefills;
    };

    struct service_state {
        prefill_model model;
        /// The median event interval of the service's targets, in ms; zero until one is known.
        double median_event_interval_ms = 0.0;
    };

    /// What all candidates of a choice within one region have in common.
    struct region_context {
        std::string_view region;
        const engine_request& request;
        const service_state& service;
        std::string_view preferred_engine;
        double total_tokens = 0.0;
        /// The longest prefix of the prompt that a source has cached, and the source to copy from.
        tokens best_cached_tokens = 0;
        std::string_view source;
    };

    engine_state& state_of(const std::string& service, const std::string& target,
                           const engine_profile& engine);
    void update_median_event_interval(const std::string& service,
                                      std::span<engine_state* const> states);
    std::vector<region_context> contexts_by_region(std::span<const engine_candidate> candidates,
                                                   std::span<const copy_source> sources,
                                                   const engine_request& request,
                                                   const service_state& service);
    void select_copy_source(region_context& context, std::span<const copy_source> sources) const;
    static engine_choice evaluate(instant now, const engine_candidate& candidate,
                                  const engine_state& state, const region_context& context);
    static placement_cost estimate_cost(instant now, const engine_candidate& candidate,
                                        const engine_state& state, const region_context& context,
                                        tokens uncached_tokens, tokens copied);
    static double estimate_first_event_ms(instant now, const engine_candidate& candidate,
                                          const engine_state& state, const region_context& context,
                                          tokens uncached_tokens, tokens copied);
    static double in_time_probability(instant now, const engine_state& state,
                                      const region_context& context, double first_event_ms);
    static double preemption_probability(const engine_state& state, const region_context& context);
    static double slowness(instant now, const engine_state& state, const service_state& service);
    static double estimate_pause_ms(instant now, const engine_state& state,
                                    const service_state& service, const engine_request& request,
                                    tokens uncached_tokens);
    static double response_ms(instant now, const engine_state& state, const service_state& service,
                              const engine_request& request);

    std::map<std::string, engine_state, std::less<>> engines_;
    std::map<std::string, service_state, std::less<>> services_;
    std::uint64_t last_attempt_id_ = 0;
};

}  // namespace wrenswitch
