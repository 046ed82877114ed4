#include "wrenswitch/decision/rollout/rollout_gate.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// The part of what the operator allows that is used: others count over slightly other spans.
constexpr double used_part = 0.9;

/// The part of the budget that lasting requests may use before the last moments, and requests that
/// can go on elsewhere in them: what is left is for those that can't stay at old targets.
constexpr double early_part = 0.75;
constexpr double movable_part = 0.6;

/// Streams that can't go on elsewhere leave the old targets so long before the deadline: those of
/// some 7 events take 0.3 to 0.8 s, and one that is left there holds up the end.
constexpr microseconds lasting_moments = milliseconds(1200);

/// Before the deadline everything moves for so long: a report takes 250 ms to the decider, its
/// append some 10 ms, and plain answers 20 ms. A tenth of the traffic of 8 s, less what the canary
/// had, is the traffic of 430 ms.
constexpr microseconds last_moments = milliseconds(400);

/// More sessions than the canary's part, since the budget is only used to the full if requests that
/// may go wait for it, and not it for them.
constexpr double cohort_excess = 1.5;

/// Between these shares of its part a route takes sessions of the cohort; below the first any
/// request of it, above the second none. Sessions differ in size by orders of magnitude.
constexpr double least_route_share = 0.5;
constexpr double most_route_share = 1.5;

/// If less than this of the canary's part is used, any request is taken whose route has less than
/// its own: the part may have risen, and sessions that are on their way don't follow so fast.
constexpr double least_used = 0.8;

/// So many bad answers of the new version beyond the old one's share are enough for an entry by
/// itself. Half of the 50 in all from which on each further request counts.
constexpr double sure_bad_answers = 25.0;

/// Bad answers of other targets than the worst one, without which the fault may be that target's.
constexpr std::uint64_t bad_elsewhere = 5;

/// How long requests keep to the new version after the end. Later there is no other one, until the
/// next comes without an order.
constexpr microseconds completed_hold = seconds(10);

/// A place in [0, 1) that is the same for a session at all entries, and another in each roll-out.
double place_of(std::uint64_t session, std::uint64_t order) {
    constexpr double steps = 18446744073709551616.0;
    return static_cast<double>(spread_hash(std::to_string(session), order)) / steps;
}

}  // namespace

rollout_gate::rollout_gate(instant now, rollout_order order, double exposed_share,
                           version_set excluded)
    : order_(std::move(order)),
      exposed_share_(exposed_share * used_part),
      excluded_(std::move(excluded)),
      known_since_(now),
      stand_at_(now),
      exposure_(exposed_share_) {
    stand_.service = order_.service;
    stand_.order = order_.number;
    stand_.version = order_.version;
    stand_.left = order_.duration;
}

version_set rollout_gate::excluded_after() const {
    version_set versions = excluded_;
    if (!in_force_ && stand_.phase != rollout_phase::completed) {
        versions.insert(order_.version);
    }
    return versions;
}

bool rollout_gate::take(instant now, const rollout_stand& stand) {
    if (stand.order != order_.number || stand.version != order_.version || is_over(stand_.phase)) {
        return false;
    }
    const rollout_phase before = stand_.phase;
    stand_ = stand;
    stand_at_ = now;
    found_bad_ = found_bad_ || stand.held_for_bad;
    if (stand.phase == rollout_phase::canary) {
        canary_part_ = stand.canary_part;
    }
    return stand_.phase != before;
}

bool rollout_gate::withdraw(instant now) {
    rollout_stand ended = stand_;
    ended.phase = in_force_ ? rollout_phase::completed : rollout_phase::rolled_back;
    return take(now, ended);
}

bool rollout_gate::past_deadline(instant now) const {
    return stand_.phase == rollout_phase::moving && !found_bad_ && left(now) <= microseconds(0);
}

bool rollout_gate::in_last_moments(instant now) const {
    return stand_.phase == rollout_phase::moving && !found_bad_ && left(now) <= last_moments;
}

/// From the last moments on nothing may begin at old targets that would be lost with them.
bool rollout_gate::must_leave_old(instant now, const rollout_request& request) const {
    return in_last_moments(now) && !request.can_move;
}

/// The old targets are being ended, so that nothing may begin there.
bool rollout_gate::has_just_completed(instant now) const {
    return stand_.phase == rollout_phase::completed && now - stand_at_ < completed_hold;
}

version_constraint rollout_gate::only_new() const {
    version_constraint limit = limited(version_rule::only);
    if (stand_.phase == rollout_phase::canary) {
        limit.group_size = stand_.group_size;
        limit.group_seed = stand_.group_seed;
    }
    return limit;
}

/// True if the canary wants a request, as far as its session and its route go.
bool rollout_gate::wanted_by_canary(const rollout_request& request) const {
    const double part = exposed_share_ * canary_part_;
    const auto found = routes_.find(request.route);
    const route_sums sums = found == routes_.end() ? route_sums{} : found->second;
    const double fair = part * static_cast<double>(sums.of_old + sums.of_new);
    const double with_this = static_cast<double>(sums.of_new + 1);
    const bool behind = exposure_.used(canary_part_) < least_used;
    if (with_this <= (behind ? 1.0 : least_route_share) * fair) {
        return true;
    }
    return with_this <= most_route_share * fair + 1.0 &&
           place_of(request.session, order_.number) < cohort_excess * part;
}

double rollout_gate::usable_part(instant now, const rollout_request& request) const {
    if (stand_.phase != rollout_phase::moving) {
        return stand_.canary_part;
    }
    if (!in_last_moments(now)) {
        // The canary goes on meanwhile: what turns bad late shows by nothing else.
        const bool leaves = request.lasts && !request.can_move && left(now) <= lasting_moments;
        return leaves ? early_part : canary_part_;
    }
    return request.can_move ? movable_part : 1.0;
}

/// True if a request should go to the version that isn't proved, within what it may have.
bool rollout_gate::may_expose(instant now, const rollout_request& request) const {
    if (found_bad_ || request.again || !exposure_.may_send(usable_part(now, request))) {
        return false;
    }
    const bool moves = stand_.phase == rollout_phase::moving && left(now) <= lasting_moments;
    return moves || wanted_by_canary(request);
}

std::optional<version_constraint> rollout_gate::limit_for(instant now,
                                                          const rollout_request& request) const {
    if (in_force_) {
        return limited(version_rule::any);
    }
    if (stand_.phase == rollout_phase::completed) {
        return has_just_completed(now) ? only_new() : limited(version_rule::any);
    }
    if (stand_.phase == rollout_phase::rolled_back) {
        return only_old();
    }
    return stand_.phase == rollout_phase::waiting ? only_old() : limit_under_way(now, request);
}

std::optional<version_constraint> rollout_gate::limit_under_way(
    instant now, const rollout_request& request) const {
    if (past_deadline(now)) {
        return only_new();
    }
    if (must_leave_old(now, request)) {
        return exposure_.may_send() ? std::optional(only_new()) : std::nullopt;
    }
    return may_expose(now, request) ? only_new() : only_old();
}

std::optional<version_constraint> rollout_gate::limit_without_candidates(
    const version_constraint& limit) const {
    if (limit.rule == version_rule::only) {
        return only_old();
    }
    const bool may_be_new =
        limit.rule == version_rule::other_than && !is_over(stand_.phase) && !found_bad_;
    if (!may_be_new || !exposure_.may_send()) {
        return std::nullopt;
    }
    return limited(version_rule::only);
}

bool rollout_gate::begin(instant now, const rollout_request& request, const std::string& version,
                         const std::string& target) {
    if (excluded_.contains(version)) {
        // It was chosen before this order came.
        return false;
    }
    const bool to_new = is_new(version);
    const bool leaves_old = must_leave_old(now, request) || has_just_completed(now);
    const bool too_late_for_old = leaves_old && !request.in_need && !in_force_;
    if (to_new ? !may_begin_at_new(now) : too_late_for_old) {
        return false;
    }
    if (to_new) {
        exposure_.note_sent();
    } else if (!request.can_move) {
        note_bound_to_old();
    }
    route_sums& sums = routes_[request.route];
    (to_new ? sums.of_new : sums.of_old) += 1;
    evidence_.counts[{request.route, to_new ? target : std::string()}].sent += 1;
    return true;
}

bool rollout_gate::may_begin_at_new(instant now) const {
    if (in_force_) {
        return true;
    }
    if (stand_.phase == rollout_phase::rolled_back) {
        return false;
    }
    const bool unbound = stand_.phase == rollout_phase::completed || past_deadline(now);
    return unbound || (!found_bad_ && exposure_.may_send());
}

void rollout_gate::end(const rollout_request& request, const std::string& version,
                       const std::string& target, answer how, std::optional<microseconds> first,
                       std::optional<microseconds> pace) {
    const bool to_new = is_new(version);
    answer_counts& counts = evidence_.counts[{request.route, to_new ? target : std::string()}];
    counts.well += how == answer::well ? 1 : 0;
    counts.badly += how == answer::badly ? 1 : 0;
    counts.silent += how == answer::silent ? 1 : 0;
    if (first) {
        counts.first.add(*first);
    }
    if (pace) {
        counts.pace.add(*pace);
    }
    if (!to_new && !request.can_move) {
        note_unbound();
    }
    if (to_new && how == answer::badly) {
        look_whether_bad();
    }
}

void rollout_gate::look_whether_bad() {
    const answer_counts of_new = evidence_.of_new_version();
    const answer_counts of_old = evidence_.of_old_version();
    const double old_answers = static_cast<double>(of_old.well + of_old.badly);
    if (in_force_ || old_answers <= 0.0) {
        // Without the old version's answers nobody knows what is usual.
        return;
    }
    const double usual = static_cast<double>(of_old.badly) / old_answers;
    const double expected = usual * static_cast<double>(of_new.well + of_new.badly);
    std::map<std::string_view, std::uint64_t> by_target;
    for (const auto& [key, counts] : evidence_.counts) {
        if (!key.target.empty()) {
            by_target[key.target] += counts.badly;
        }
    }
    std::uint64_t worst = 0;
    for (const auto& [target, badly] : by_target) {
        worst = std::max(worst, badly);
    }
    const bool not_one_target = by_target.size() == 1 || of_new.badly - worst >= bad_elsewhere;
    const bool sure = static_cast<double>(of_new.badly) - expected >= sure_bad_answers;
    found_bad_ = found_bad_ || (sure && not_one_target);
}

rollout_report rollout_gate::report(instant now) const {
    rollout_report told;
    told.service = order_.service;
    told.order = order_.number;
    told.known_for = now - known_since_;
    told.moved = in_last_moments(now) && bound_to_old_ == 0;
    told.reached = exposure_.reached();
    told.exposed = exposure_.sent();
    told.found_bad = found_bad_;
    return told;
}

}  // namespace wrenswitch
