#include <algorithm>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

void target_pool::quarantine_new_version(instant now, std::string_view id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    const gateway_target& target = found->second.target;
    const bool known = std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
        const target_state& other = entry.second;
        return other.listed && other.target.id != target.id &&
               other.target.service == target.service && other.target.version == target.version &&
               !quarantine_.contains(entry.first);
    });
    if (!known) {
        quarantine_.add(now, id);
    }
}

/// The rollout order for this target's version may not have been read yet; until it is, targets of
/// other versions serve the requests. A known order excludes only the version that it names, so
/// that the target is still held back if further versions remain.
bool target_pool::is_held_back(instant now, const target_state& state,
                               const version_constraint& constraint) const {
    if (constraint.rule == version_rule::only || !quarantine_.contains(state.target.id)) {
        return false;
    }
    version_set excluded = constraint.excluded;
    if (constraint.rule == version_rule::other_than) {
        excluded.insert(constraint.version);
    }
    return has_alternative(now, state.target, excluded);
}

/// True if a target of another version can serve the requests in place of this one.
bool target_pool::has_alternative(instant now, const gateway_target& target,
                                  const version_set& excluded) const {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
        const gateway_target& other = entry.second.target;
        return other.service == target.service && other.version != target.version &&
               !excluded.contains(other.version) && !has_gone(now, entry.second);
    });
}

bool target_pool::waits_for_orders(instant now) const {
    return std::any_of(targets_.begin(), targets_.end(), [this, now](const auto& entry) {
        return is_held_back(now, entry.second, {});
    });
}

bool target_pool::has_only_version(std::string_view service, std::string_view version,
                                   const version_set& excluded) const {
    bool any = false;
    for (const auto& [id, state] : targets_) {
        if (state.target.service != service || excluded.contains(state.target.version)) {
            continue;
        }
        if (state.target.version != version) {
            return false;
        }
        any = true;
    }
    return any;
}

version_set target_pool::versions_of(std::string_view service) const {
    version_set versions;
    for (const auto& [id, state] : targets_) {
        if (state.target.service == service) {
            versions.insert(state.target.version);
        }
    }
    return versions;
}

/// The list loses targets that can't renew their entries while the platform is away, so one that
/// left it may be needed until it is listed again. Since it may also have left for good, that
/// doesn't last longer than leaving targets take requests.
bool target_pool::has_gone(instant now, const target_state& state) {
    return !state.listed && now >= state.gone_from;
}

bool target_pool::is_eligible(instant now, const target_state& state, std::string_view service,
                              const candidate_constraints& constraints) const {
    return state.target.service == service && !has_gone(now, state) && !state.target.draining &&
           !state.announced_draining && !state.replaced && !state.unreadable &&
           !is_evacuated(state.target.failure_domain) &&
           is_in_allowed_region(state, constraints.regions) &&
           constraints.version.admits(state.target.version) &&
           !is_held_back(now, state, constraints.version);
}

bool target_pool::is_in_allowed_region(const target_state& state,
                                       const allowed_regions& regions) const {
    return allows_region(regions, settings_.regions.region_of(state.target.failure_domain));
}

/// Keeps the first targets of the version in an order that the seed determines and that is the same
/// in every process. A target that fails stays in the group, because the failures of the version
/// must show in its results.
void target_pool::select_group(std::vector<target_state*>& targets,
                               const version_constraint& constraint) {
    if (constraint.rule != version_rule::only || constraint.group_size == 0 ||
        targets.size() <= constraint.group_size) {
        return;
    }
    const auto rank = [&constraint](const target_state* state) {
        return spread_hash(state->target.id, constraint.group_seed);
    };
    std::sort(targets.begin(), targets.end(),
              [&rank](const auto* left, const auto* right) { return rank(left) < rank(right); });
    targets.resize(constraint.group_size);
}

/// Returns the best class of targets that isn't empty: listed and healthy; listed and ejected; and,
/// as a fallback, those that left the list a moment ago.
std::vector<target_pool::target_state*> target_pool::candidates(
    instant now, std::string_view service, std::span<const std::string> tried,
    const candidate_constraints& constraints, const state_filter& admits) {
    std::vector<target_state*> allowed;
    std::vector<target_state*> unlisted;
    for (auto& [id, state] : targets_) {
        if (is_eligible(now, state, service, constraints)) {
            (state.listed ? allowed : unlisted).push_back(&state);
        }
    }
    select_group(allowed, constraints.version);
    const bool any_listed = !allowed.empty();
    const auto is_excluded = [&](const target_state* state) {
        return std::find(tried.begin(), tried.end(), state->target.id) != tried.end() ||
               !admits(*state);
    };
    std::erase_if(allowed, is_excluded);
    std::erase_if(unlisted, is_excluded);
    std::vector<target_state*> healthy;
    std::vector<target_state*> ejected;
    for (target_state* state : allowed) {
        (state->ejected_until > now ? ejected : healthy).push_back(state);
    }
    if (!healthy.empty()) {
        return healthy;
    }
    if (!ejected.empty()) {
        return ejected;
    }
    return any_listed ? std::vector<target_state*>{} : unlisted;
}

/// Returns the candidates without the cold targets that have no permit in time.
target_pool::permitted_candidates target_pool::candidates_with_permits(
    instant now, std::string_view service, std::span<const std::string> tried, permit_share share,
    microseconds max_wait, const candidate_constraints& constraints) {
    permitted_candidates group;
    group.targets = candidates(now, service, tried, constraints, [&](const target_state& state) {
        const bool admitted = warmup_.delay(now, state.target.id, share) <= max_wait;
        group.excluded_cold = group.excluded_cold || !admitted;
        return admitted;
    });
    return group;
}

/// Sends a request that is safe to repeat to an unresponsive target, to find out whether it
/// responds again; if it doesn't, the request is retried elsewhere and nothing is lost. A request
/// that isn't safe to repeat would be lost, so it uses such a target only if there is no other.
void target_pool::filter_unresponsive(std::vector<target_state*>& targets, bool repeatable) {
    const auto probe = std::find_if(targets.begin(), targets.end(), [](const auto* state) {
        return state->unresponsive && state->in_flight == 0;
    });
    if (repeatable && probe != targets.end()) {
        targets = {*probe};
        return;
    }
    const auto responds = [](const target_state* state) { return !state->unresponsive; };
    if (std::any_of(targets.begin(), targets.end(), responds)) {
        std::erase_if(targets, [](const target_state* state) { return state->unresponsive; });
    }
}

bool target_pool::is_usable(instant now, std::string_view id, std::string_view service,
                            const candidate_constraints& constraints) const {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return false;
    }
    return found->second.listed && is_eligible(now, found->second, service, constraints);
}

bool target_pool::has_target_in(instant now, std::string_view service,
                                const allowed_regions& regions) const {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& known) {
        const target_state& state = known.second;
        return state.target.service == service && !state.replaced && !has_gone(now, state) &&
               is_in_allowed_region(state, regions);
    });
}

bool target_pool::has_untried(instant now, std::string_view service,
                              std::span<const std::string> tried,
                              const candidate_constraints& constraints) {
    const auto any = [](const target_state&) { return true; };
    return !candidates(now, service, tried, constraints, any).empty();
}

}  // namespace wrenswitch
