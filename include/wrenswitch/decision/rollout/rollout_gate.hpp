#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

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
    /// True if its answer is a stream, which takes longer than others.
    bool lasts = false;
    /// True if it was sent to a target before: an unproved version isn't tried with it again.
    bool again = false;
    /// True if the versions that it should go to have no target for it.
    bool in_need = false;
};

/// One service's roll-out as one entry sees it: which version each request goes to, the bound on
/// what an unproved version gets, and the evidence of the answers. It keeps the bound by itself;
/// whatever it is told, or isn't told, the version gets no more before it is proved.
class rollout_gate {
public:
    /// `excluded` are the versions of earlier orders that weren't completed: nothing goes there.
    rollout_gate(instant now, rollout_order order, double exposed_share, version_set excluded = {});

    const rollout_order& order() const { return order_; }
    const rollout_stand& stand() const { return stand_; }
    const version_set& excluded() const { return excluded_; }

    /// The versions that get nothing once another order follows: this one's too, unless it serves.
    version_set excluded_after() const;

    /// Takes the decider's word, or the log's final state. One for another order is ignored, and
    /// nothing follows a final phase. True if the phase changed.
    bool take(instant now, const rollout_stand& stand);

    /// The operator took the order back. What is completed stays so.
    bool withdraw(instant now);

    /// All targets that the service has were of the ordered version before the order came: there is
    /// nothing to be proved and nothing to move from.
    void note_in_force() { in_force_ = true; }

    /// The versions that a request may go to; nothing if there is none right now: after
    /// the deadline there is one again.
    std::optional<version_constraint> limit_for(instant now, const rollout_request& request) const;

    /// The versions that are left for a request whose limit has no candidates. The new one gets it
    /// only within the bound; nothing if the request has to be refused.
    std::optional<version_constraint> limit_without_candidates(
        const version_constraint& limit) const;

    /// A request goes to a target of this version. To be asked right before the send: false if the
    /// request must not go there any more, since the bound is used up or the phase changed
    /// meanwhile.
    bool begin(instant now, const rollout_request& request, const std::string& version,
               const std::string& target);

    /// What came of a request that began at a target of this version. `first` is the time to its
    /// first event or head, if one came, and `pace` that of an event after it, if it is known.
    enum class answer { well, badly, silent };
    void end(const rollout_request& request, const std::string& version, const std::string& target,
             answer how, std::optional<microseconds> first, std::optional<microseconds> pace);

    /// A request that was under way at an old target when the order came, and that can't go on
    /// elsewhere, or its end.
    void note_bound_to_old() { bound_to_old_ += 1; }
    void note_unbound() { bound_to_old_ -= bound_to_old_ > 0 ? 1 : 0; }

    /// A request of the service has reached a target, of whatever version.
    void note_reached() { exposure_.note_reached(); }

    const exposure_budget& exposure() const { return exposure_; }
    const rollout_evidence& evidence() const { return evidence_; }
    rollout_report report(instant now) const;

    /// How much of the order's time is left by the newest word of the decider.
    microseconds left(instant now) const { return stand_.left - (now - stand_at_); }

private:
    /// How many requests of a route went to either version.
    struct route_sums {
        std::uint64_t of_old = 0;
        std::uint64_t of_new = 0;
    };

    bool is_new(const std::string& version) const { return version == order_.version; }
    bool in_last_moments(instant now) const;
    bool past_deadline(instant now) const;
    bool must_leave_old(instant now, const rollout_request& request) const;
    bool may_expose(instant now, const rollout_request& request) const;
    bool may_begin_at_new(instant now) const;
    bool has_just_completed(instant now) const;
    bool wanted_by_canary(const rollout_request& request) const;
    double usable_part(instant now, const rollout_request& request) const;
    version_constraint limited(version_rule rule) const {
        return {rule, order_.version, 0, 0, excluded_};
    }
    version_constraint only_new() const;
    version_constraint only_old() const { return limited(version_rule::other_than); }
    std::optional<version_constraint> limit_under_way(instant now,
                                                      const rollout_request& request) const;
    void look_whether_bad();

    rollout_order order_;
    double exposed_share_;
    version_set excluded_;
    instant known_since_;
    rollout_stand stand_;
    instant stand_at_;
    exposure_budget exposure_;
    rollout_evidence evidence_;
    std::map<std::string, route_sums, std::less<>> routes_;
    /// Requests under way at old targets that can't go on elsewhere.
    std::uint64_t bound_to_old_ = 0;
    /// The part of the budget that the canary had last.
    double canary_part_ = 0.0;
    bool in_force_ = false;
    bool found_bad_ = false;
};

}  // namespace wrenswitch
