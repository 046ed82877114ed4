#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/candidate_constraints.hpp"
#include "wrenswitch/decision/rollout/exposure_budget.hpp"
#include "wrenswitch/decision/rollout/rollout_directive.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"
#include "wrenswitch/decision/rollout/rollout_order.hpp"

namespace wrenswitch {

/// The properties of a request that decide which version it may go to.
struct rollout_request {
    std::string route;
    /// Equal for all requests of a session, so that a session stays with one version.
    std::uint64_t session = 0;
    /// True if the request can be retried at another target after its connection breaks.
    bool retryable = false;
    /// True if the response is a stream, which takes longer than other responses.
    bool streaming = false;
    /// True if the request was sent to a target before: it isn't retried at an unproven version.
    bool already_sent = false;
    /// True if the versions that it may go to have no available target.
    bool no_candidates = false;
};

/// The rollout of one service as seen by one entry. Decides which version each request may go to,
/// bounds the requests that an unproven version gets, and collects the evidence of the responses.
/// The bound is enforced locally: no directive, late or lost, makes an unproven version exceed it.
class rollout_gate {
public:
    /// `excluded` are the versions of earlier orders that weren't completed; they get no requests.
    rollout_gate(instant now, rollout_order order, double exposed_share, version_set excluded = {});

    const rollout_order& order() const { return order_; }
    const rollout_directive& directive() const { return directive_; }
    const version_set& excluded() const { return excluded_; }

    /// The versions to exclude once another order follows: includes this order's version unless it
    /// was completed or already deployed.
    version_set excluded_after() const;

    /// Applies a directive of the decider or a final state from the log. Ignores those for another
    /// order, and everything after a final phase. True if the phase changed.
    bool apply(instant now, const rollout_directive& directive);

    /// Ends the rollout because the operator withdrew the order; has no effect once completed. True
    /// if the phase changed.
    bool withdraw(instant now);

    /// All targets of the service already had the ordered version before the order: there is
    /// nothing to prove and nothing to move.
    void mark_already_deployed() { already_deployed_ = true; }

    /// The versions that a request may go to; empty if there is none at the moment. That can only
    /// happen in the cutover window; past the deadline there is one again.
    std::optional<version_constraint> constraint_for(instant now,
                                                     const rollout_request& request) const;

    /// The versions to fall back to if those of `preferred` have no candidates. The new version is
    /// included only within the exposure bound; empty if the request has to be refused.
    std::optional<version_constraint> fallback_constraint(
        const version_constraint& preferred) const;

    /// The constraint for a stream that has to continue at the version that began it; empty if the
    /// rollout allows that version nothing any more. `suspected` is true for a request that may
    /// have crashed targets, which an unproven version doesn't get.
    std::optional<version_constraint> continuation_constraint(instant now,
                                                              const rollout_request& request,
                                                              const std::string& version,
                                                              bool suspected) const;

    /// Starts an attempt at a target of this version. To be called right before sending: false if
    /// the request must no longer go there because the bound is used up or the phase has changed.
    bool begin_attempt(instant now, const rollout_request& request, const std::string& version,
                       const std::string& target);

    /// Records the outcome of an attempt. `first_event` is the time to the first event or the
    /// response head, if one arrived; `event_interval` is the mean time per event after it, if
    /// known.
    enum class outcome { succeeded, failed, inconclusive };
    void end_attempt(const rollout_request& request, const std::string& version,
                     const std::string& target, outcome result,
                     std::optional<microseconds> first_event,
                     std::optional<microseconds> event_interval);

    /// Counts the requests that were in flight at an old target when the order arrived and that
    /// can't be retried elsewhere.
    void add_pinned_request() { pinned_to_old_ += 1; }
    void remove_pinned_request() { pinned_to_old_ -= pinned_to_old_ > 0 ? 1 : 0; }

    /// Counts a request of the service, of any version, that reached a target.
    void note_reached() { exposure_.note_reached(); }

    const exposure_budget& exposure() const { return exposure_; }
    const rollout_evidence& evidence() const { return evidence_; }
    rollout_report report(instant now) const;

    /// Time left of the order's duration according to the newest directive.
    microseconds remaining(instant now) const {
        return directive_.remaining - (now - directive_received_at_);
    }

private:
    /// The requests of one route sent to each version.
    struct route_counts {
        std::uint64_t to_old = 0;
        std::uint64_t to_new = 0;
    };

    bool is_new(const std::string& version) const { return version == order_.version; }
    bool in_cutover(instant now) const;
    bool past_deadline(instant now) const;
    bool must_avoid_old(instant now, const rollout_request& request) const;
    bool may_expose(instant now, const rollout_request& request) const;
    bool may_begin_at_new(instant now) const;
    bool may_begin_at_old(instant now, const rollout_request& request) const;
    bool has_just_completed(instant now) const;
    bool is_selected_for_canary(const rollout_request& request) const;
    double usable_fraction(instant now, const rollout_request& request) const;
    version_constraint constraint(version_rule rule) const {
        return {rule, order_.version, 0, 0, excluded_};
    }
    version_constraint only_new() const;
    version_constraint only_old() const { return constraint(version_rule::other_than); }
    std::optional<version_constraint> constraint_while_running(
        instant now, const rollout_request& request) const;
    void update_found_bad();

    rollout_order order_;
    double exposed_share_;
    version_set excluded_;
    instant order_known_since_;
    rollout_directive directive_;
    instant directive_received_at_;
    exposure_budget exposure_;
    rollout_evidence evidence_;
    std::map<std::string, route_counts, std::less<>> routes_;
    /// Requests in flight at old targets that can't be retried elsewhere.
    std::uint64_t pinned_to_old_ = 0;
    /// The budget fraction of the last directive in the canary phase.
    double canary_fraction_ = 0.0;
    bool already_deployed_ = false;
    bool found_bad_ = false;
};

}  // namespace wrenswitch
