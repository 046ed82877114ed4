#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "roles/gateway/rollout_gates.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

/// The state of one request in the rollout of its service: the versions it may be sent to, the
/// permission for each attempt, and the outcome of each attempt. It does nothing without a rollout.
class request_rollout {
public:
    explicit request_rollout(rollout_gates& rollouts) : rollouts_(rollouts) {}

    /// Sets the service and route of the request. `session` has the meaning of
    /// rollout_request::session.
    void set_request(const std::string& service, const gateway_route& route, std::uint64_t session);

    /// Starts the choice of a target. Returns the versions that the attempt with this number,
    /// counted from 1, may use, or nothing if none is currently allowed. A request that may have
    /// crashed targets isn't sent to an unproven version: if it succeeds at another one, the
    /// version caused the crashes, and if not, the version isn't blamed for it.
    std::optional<version_constraint> choose_versions(instant now, unsigned attempt,
                                                      bool suspected = false);

    /// Like choose_versions, for a stream that has to continue at the version that began it.
    /// Returns nothing if the rollout allows that version no more requests.
    std::optional<version_constraint> choose_continuation(instant now, unsigned attempt,
                                                          const std::string& version,
                                                          bool suspected = false);

    /// The chosen versions have no available target; `all_cold` has the meaning of
    /// target_choice::all_cold. Returns the versions to choose from instead, or nothing.
    std::optional<version_constraint> choose_fallback_versions(bool all_cold);

    /// Starts an attempt at a target. Returns false if the request must not be sent there any more
    /// and the versions have to be chosen again.
    bool begin_attempt(instant now, const gateway_target& target);

    /// Handles an order that arrived while an attempt, which was started without it, is active.
    void adopt_order(const gateway_target* target);

    /// Records that the target of the current attempt has received the request, as its response
    /// shows.
    void record_target_reached();

    /// Records the arrival of the first event of a stream, or of the head of another response.
    void record_first_event(instant now);

    /// Ends the current attempt. `event_interval` is the mean time between events.
    void end_attempt(rollout_gate::outcome outcome,
                     std::optional<microseconds> event_interval = {});

private:
    void begin_choice(unsigned attempt, bool suspected);

    /// The gate of the rollout in which the current attempt is counted, or null.
    rollout_gate* active_gate();

    rollout_gates& rollouts_;
    std::string service_;
    rollout_request request_;
    version_constraint constraint_;
    bool repeatable_ = false;
    unsigned max_attempts_ = 1;
    /// The order under which the request was counted as having reached a target. It is counted once
    /// per order, however often it is sent.
    std::optional<std::uint64_t> reached_order_;

    /// The order under which the current attempt is counted, if any. The members below also belong
    /// to the current attempt.
    std::optional<std::uint64_t> attempt_order_;
    std::string version_;
    std::string target_;
    instant attempt_start_{};
    std::optional<microseconds> time_to_first_event_;
    /// True if the attempt began before the order.
    bool adopted_ = false;
};

}  // namespace wrenswitch
