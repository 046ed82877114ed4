#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "roles/gateway/entry_rollouts.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

/// One request's part in the roll-out of its service: the version it goes to, the permission to be
/// sent there, and what came of each attempt. Without a roll-out it does nothing.
class request_rollout {
public:
    explicit request_rollout(entry_rollouts& rollouts) : rollouts_(rollouts) {}

    /// The request is for this service and route. `session` as in rollout_request.
    void belongs_to(const std::string& service, const gateway_route& route, std::uint64_t session);

    /// The versions that an attempt may go to, by its number from 1; nothing if there is none
    /// right now. Begins the choice of a target anew. A request that may have ended targets isn't
    /// tried at an unproved version: if it ends well at another, the version was to blame, and if
    /// not, the version isn't blamed for it.
    std::optional<version_constraint> choose_versions(instant now, unsigned attempt,
                                                      bool suspected = false);

    /// No target of the versions chosen can be had, `all_cold` as in target_choice. The versions to
    /// look among instead, or nothing.
    std::optional<version_constraint> look_further(bool all_cold);

    /// An attempt is about to be sent to a target. False if it must not go there any more: the
    /// versions are to be chosen again.
    bool begin(instant now, const gateway_target& target);

    /// An order came while an attempt was under way that it knows nothing of.
    void join(const gateway_target* target);

    /// The target of the attempt has the request, as its answer shows.
    void note_reached();

    /// The first event of a stream came, or the head of another answer.
    void note_first(instant now);

    /// The attempt under way ended. `pace` is the time from one event to the next.
    void end(rollout_gate::outcome how, std::optional<microseconds> pace = {});

private:
    /// The gate of the roll-out that the attempt under way is counted by, or null.
    rollout_gate* gate_under_way();

    entry_rollouts& rollouts_;
    std::string service_;
    rollout_request request_;
    version_constraint limit_;
    bool may_repeat_ = false;
    unsigned most_attempts_ = 1;
    /// The order under which it has been counted as having reached a target: once, however often
    /// it is sent.
    std::optional<std::uint64_t> reached_in_;

    /// Of the attempt under way; without an order it isn't counted.
    std::optional<std::uint64_t> order_;
    std::string version_;
    std::string target_;
    instant began_{};
    std::optional<microseconds> first_;
    /// True if the attempt began before the order.
    bool joined_ = false;
};

}  // namespace wrenswitch
