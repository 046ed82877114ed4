#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/placement/engine_admission.hpp"
#include "wrenswitch/decision/placement/engine_coordinators.hpp"

namespace wrenswitch::wire {
class RunNewsBatch;
}  // namespace wrenswitch::wire

namespace wrenswitch {

class rate_limited_log;

/// How an attempt at an engine ended, as far as it bears on the engine's health.
enum class attempt_outcome {
    /// Says nothing about the engine: the caller left or the request was never sent.
    abandoned,
    succeeded,
    error_response,
    /// The engine couldn't be reached or the connection broke.
    failed,
};

/// A query for an engine.
struct placement_query {
    /// Unique in the fleet.
    std::uint64_t attempt = 0;
    std::string service;
    engine_request request;
    /// Engines that were offered the request before.
    std::vector<std::string> tried;
    /// The time until the caller's deadline.
    microseconds remaining{};
};

/// Places requests on the engines that this process coordinates, for every gateway that sends a
/// query. It counts the attempt at the chosen engine in the same step and receives updates on its
/// progress, so that no two choices use the same view of an engine's load, however many gateways
/// there are.
class placement_coordinator {
public:
    /// All references, and the log if there is one, must outlive the coordinator.
    placement_coordinator(target_pool& targets, engine_coordinators& coordinators,
                          metrics& counters, rate_limited_log* log = nullptr);

    /// Chooses one of the engines that this process coordinates and counts the attempt there for at
    /// most `remaining`, the time until the caller's deadline. The id `attempt` is unique in the
    /// fleet. The result has no target if no engine can be offered.
    target_choice place(instant now, std::uint64_t attempt, const std::string& service,
                        const engine_request& request, std::span<const std::string> tried,
                        microseconds remaining);

    /// Called with a choice. One that is held is followed by the final choice.
    using decision_hook = std::function<void(const target_choice&)>;

    /// Chooses one of the engines as place() does, subject to admission control if the request has
    /// a priority. Held requests that are at least as urgent are tried first.
    void place_or_hold(instant now, placement_query query, const decision_hook& on_decided);

    /// Tries held requests again, in the order in which they rank: by priority, by the admitted
    /// work of their accounts and by arrival.
    void retry_held(instant now);

    /// The number of requests that are held.
    std::size_t held_count() const { return held_.size(); }

    /// The attempt's first event arrived.
    void record_first_event(instant now, std::uint64_t attempt);

    /// A full span of later events of the attempt arrived within this time.
    void record_event_span(instant now, std::uint64_t attempt, microseconds span);

    /// The engine reported this slowdown to the gateway that sent the attempt.
    void record_slowdown(instant now, std::uint64_t attempt, std::uint32_t percent);

    /// An attempt that another gateway sent has ended; the outcome that it saw counts for the
    /// engine's health.
    void end_remote_attempt(instant now, std::uint64_t attempt, attempt_outcome outcome);

    /// An attempt that this process sent has ended.
    void end_local_attempt(instant now, std::uint64_t attempt);

    /// Applies the updates that another gateway sent on its attempts.
    void apply_updates(instant now, const wire::RunNewsBatch& batch);

    /// Ends attempts whose lease has expired, because the gateway that sent them is presumed lost.
    void drop_expired(instant now);

    /// The number of attempts that are counted at engines.
    std::size_t attempt_count() const { return attempts_.size(); }

private:
    struct counted_attempt {
        std::string target;
        /// The attempt's number in the target pool.
        std::uint64_t pool_attempt = 0;
        /// When the attempt is dropped if no update reports its end.
        instant lease_until{};
    };

    struct held_query {
        placement_query query;
        decision_hook on_decided;
        instant arrived{};
    };

    target_choice place_competing(instant now, const placement_query& query, microseconds held);
    void track_pressure(instant now, const competing_request& request, const engine_estimate& best,
                        const admission_decision& decision);
    target_choice pick(instant now, const std::string& service, const engine_request& request,
                       std::span<const std::string> tried);
    void begin_attempt(instant now, std::uint64_t attempt, const engine_request& request,
                       const target_choice& choice, microseconds remaining);
    const counted_attempt* find(std::uint64_t attempt) const;
    bool may_offer(instant now, std::string_view engine);
    void track_assignments(instant now);

    target_pool& targets_;
    engine_coordinators& coordinators_;
    metrics& counters_;
    rate_limited_log* log_;
    std::map<std::uint64_t, counted_attempt> attempts_;
    engine_admission admission_;
    std::vector<held_query> held_;
    /// When a request of each service was last held or refused, as long as that counts as pressure.
    std::map<std::string, instant> pressed_at_;
    /// The version of the engine assignment for which send permits at cold engines are issued.
    std::uint64_t seen_assignments_ = 0;
};

}  // namespace wrenswitch
