#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/candidate_limits.hpp"
#include "wrenswitch/decision/placement/engine_load.hpp"
#include "wrenswitch/decision/placement/engine_shape.hpp"
#include "wrenswitch/decision/placement/event_pace.hpp"
#include "wrenswitch/decision/placement/prompt_memory.hpp"
#include "wrenswitch/decision/placement/prompt_shape.hpp"
#include "wrenswitch/decision/placement/reading_model.hpp"

namespace wrenswitch {

/// What a request asks of a model engine, and what its caller bears.
struct engine_request {
    prompt_shape shape;
    engine_shape engine;
    /// The time within which the first event is worth all; zero if any is.
    microseconds first_event_aim{};
    /// The longest pause between events that is still in time; zero if any is.
    microseconds longest_pause{};
    /// Which engines it may go to.
    candidate_constraints limits;
    /// What the way from its entry to the engines of the keeper's region and back adds to the time
    /// to the first event.
    microseconds way{};
};

/// An engine that a request may go to.
struct engine_candidate {
    std::string_view id;
    unsigned slots = 1;
    /// The share of its requests that failed of late.
    double failure_rate = 0.0;
    /// How long the request would have to wait before it may be sent there, in ms.
    double wait_ms = 0.0;
    /// Where it is; engines of one region alone copy from each other.
    std::string_view region{};
    /// The way there and back, in ms, if it is in another region than the caller's entry.
    double way_ms = 0.0;
};

/// An engine from which another one may copy.
struct engine_source {
    std::string_view id;
    std::string_view region{};
};

/// What a request is expected to lose at an engine, in tokens of requests, and why.
struct placement_price {
    /// The time until its first event, in ms, and the part of it that others' prompts take.
    double first_event_ms = 0.0;
    double backlog_ms = 0.0;
    /// The pause that reading its prompt forces on the streams there, in ms.
    double pause_ms = 0.0;
    /// Lost by the request itself, and by the streams there.
    double lost_here = 0.0;
    double lost_beside = 0.0;
    /// Everything, with what using the engine costs.
    double sum = 0.0;
};

/// Where a request goes.
struct engine_choice {
    /// The engine's place among the candidates.
    std::size_t index = 0;
    /// Another engine from which it should copy what that one keeps of the prompt, or empty.
    std::string copy_from;
    /// The tokens that the engine is expected to read.
    tokens unread = 0;
    placement_price price;
};

/// Parts shorter than this are read as fast as a copy is set up, in tokens.
constexpr tokens least_copied = 256;

/// Chooses a model engine for each request by what is expected to be lost: by the request itself,
/// if its first event comes late or prompts that are read beside it hold its events up, and by the
/// streams that its own prompt holds up. Long prompts and streams that bear no pause part company
/// by that as far as there is room. What engines take for reading, and which are slow, is learnt
/// from answers.
class engine_placer {
public:
    /// The best of the candidates, of which there must be one. An engine may copy what it lacks
    /// from one of the sources.
    engine_choice choose(instant now, const std::string& service,
                         std::span<const engine_candidate> candidates,
                         std::span<const engine_source> sources, const engine_request& request);

    /// Where a prompt's memory is known to be kept.
    struct kept_prompt {
        std::string_view engine;
        tokens kept = 0;
    };

    /// The source in a region that keeps most of a prompt. Without an engine if none is known to
    /// keep any.
    kept_prompt most_kept(std::span<const engine_source> sources, std::string_view region,
                          const prompt_shape& shape) const;

    /// A request went to an engine with this much to read. Returns its number there. Times are
    /// learnt from it only if `all_known`: if no other requests go there of which this placer
    /// doesn't hear.
    std::uint64_t begin(instant now, const std::string& service, const std::string& target,
                        const engine_request& request, tokens unread, bool all_known);

    /// The first event of an answer came.
    void first_event(instant now, std::string_view target, std::uint64_t number);

    /// A whole span of later events of an answer came, within this time.
    void next_events(instant now, std::string_view target, microseconds span);

    /// A request's answer has ended, or never came.
    void end(instant now, std::string_view target, std::uint64_t number);

    /// How long an ordinary engine of a service reads a whole prompt, in ms.
    double reading_ms(std::string_view service, tokens prompt) const;

    /// What is believed of a target, for logs.
    std::string describe(instant now, std::string_view target) const;

    /// The target is gone.
    void forget(std::string_view target);

private:
    /// A prompt whose first event will tell how long reading takes.
    struct watched_reading {
        instant begun{};
        tokens prompt = 0;
        tokens unread = 0;
    };

    struct engine_state {
        std::string service;
        prompt_memory memory{0};
        engine_load load;
        event_pace pace;
        std::map<std::uint64_t, watched_reading> watched;
    };

    struct service_state {
        reading_model model;
        /// The median pace of the service's targets, in ms; zero until one is known.
        double usual_pace_ms = 0.0;
    };

    /// What is the same for all candidates of one choice that are in one region.
    struct asked {
        std::string_view region;
        const engine_request& request;
        const service_state& service;
        std::string_view home;
        double stake = 0.0;
        /// The most of the prompt that any source keeps, and which one that is.
        tokens most_kept = 0;
        std::string_view keeper;
    };

    engine_state& state_of(const std::string& service, const std::string& target,
                           const engine_shape& engine);
    void learn_usual_pace(const std::string& service, std::span<engine_state* const> states);
    std::vector<asked> ask_by_region(std::span<const engine_candidate> candidates,
                                     std::span<const engine_source> sources,
                                     const engine_request& request, const service_state& service);
    void find_keeper(asked& question, std::span<const engine_source> sources) const;
    static engine_choice price_at(instant now, const engine_candidate& candidate,
                                  const engine_state& state, const asked& question);
    static placement_price price(instant now, const engine_candidate& candidate,
                                 const engine_state& state, const asked& question, tokens unread,
                                 tokens copied);
    static double first_event_at(instant now, const engine_candidate& candidate,
                                 const engine_state& state, const asked& question, tokens unread,
                                 tokens copied);
    static double chance_in_time(instant now, const engine_state& state, const asked& question,
                                 double first_event_ms);
    static double chance_preempted(const engine_state& state, const asked& question);
    static double slowness(const engine_state& state, const service_state& service);
    static double pause_at(instant now, const engine_state& state, const service_state& service,
                           const engine_request& request, tokens unread);
    static double answer_ms(const engine_state& state, const service_state& service,
                            const engine_request& request);

    std::map<std::string, engine_state, std::less<>> engines_;
    std::map<std::string, service_state, std::less<>> services_;
    std::uint64_t last_number_ = 0;
};

}  // namespace wrenswitch
