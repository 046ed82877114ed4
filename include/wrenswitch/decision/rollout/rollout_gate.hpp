#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/candidate_limits.hpp"
#include "wrenswitch/decision/rollout/exposure_budget.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"
#include "wrenswitch/decision/rollout/rollout_order.hpp"
#include "wrenswitch/decision/rollout/rollout_stand.hpp"

namespace wrenswitch {

/// What a roll-out needs to know of one request.
struct rollout_request {
    std::string route;
    /// The same for all requests of a session, so that it stays with one version.
    std::uint64_t session = 0;
    /// True if the request can go on at another target after a break.
    bool can_move = false;
};

/// One service's roll-out as one entry sees it: which version each request goes to, the bound on
/// what an unproved version gets, and the evidence of the answers. It keeps the bound by itself;
/// whatever it is told, or isn't told, the version gets no more before it is proved.
class rollout_gate {
public:
    rollout_gate(instant now, rollout_order order, double exposed_share);

    const rollout_order& order() const { return order_; }
    const rollout_stand& stand() const { return stand_; }

    /// Takes the decider's word, or the log's final state. One for another order is ignored, and
    /// nothing follows a final phase.
    void take(const rollout_stand& stand);

    /// The versions that a request may go to.
    version_limit limit_for(instant now, const rollout_request& request);

    /// A request goes to a target of this version. To be asked right before the send: false if the
    /// version isn't proved and the bound is used up meanwhile; the request must not go there.
    bool begin(instant now, const rollout_request& request, const std::string& version);

    /// What came of a request that began at a target of this version. `first` is the time to its
    /// first event or head, if one came, and `pace` that of an event after it, if it is known.
    enum class answer { well, badly, silent };
    void end(const rollout_request& request, const std::string& version, const std::string& target,
             answer how, std::optional<microseconds> first, std::optional<microseconds> pace);

    /// A request of the service has reached a target, of whatever version.
    void note_reached() { exposure_.note_reached(); }

    const rollout_evidence& evidence() const { return evidence_; }
    rollout_report report(instant now) const;

private:
    bool is_new(const std::string& version) const { return version == order_.version; }

    rollout_order order_;
    instant known_since_;
    rollout_stand stand_;
    exposure_budget exposure_;
    rollout_evidence evidence_;
    /// Requests under way at old targets that can't go on elsewhere.
    std::uint64_t bound_to_old_ = 0;
    bool found_bad_ = false;
};

}  // namespace wrenswitch
