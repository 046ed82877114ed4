#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// The weight of one response in a target's failure rate.
constexpr double failure_weight = 0.15;

/// Half-life of the failure rate: about as long as a disturbance of a target lasts.
constexpr microseconds failure_half_life = seconds(4);

/// Cost of a target that fails all its requests, in units of a fully loaded target.
constexpr double failure_cost = 3.0;

/// Size of the random term that breaks ties between equally good targets.
constexpr double tie_break_jitter = 0.02;

/// How long a target that left the list is kept. It is used only as a fallback.
constexpr microseconds unlisted_lifetime = seconds(20);

/// The longest wait for a permit at a cold target if the route has no latency objective. Most
/// routes allow this much.
constexpr microseconds default_max_wait = milliseconds(300);

/// The longest wait for a permit with which a request can still meet its route's objective.
microseconds max_wait_for(microseconds objective) {
    return objective > microseconds(0) ? objective : default_max_wait;
}

}  // namespace

target_pool::target_pool(target_pool_settings settings, random_source& random)
    : settings_(std::move(settings)),
      has_multiple_regions_(settings_.regions.has_multiple_regions()),
      random_(random),
      warmup_(settings_.gateway_count, random),
      limits_(settings_.peers, random),
      backoffs_(random) {}

void target_pool::apply(const gateway_target& target, std::uint64_t list_position) {
    target_state& state = targets_[target.id];
    if (state.target.address != target.address) {
        remove_address(state.target);
        ids_by_address_[target.address].insert(target.id);
    }
    state.target = target;
    state.list_position = list_position;
    state.listed = true;
    state.replaced = false;
    state.unreadable = false;
    resolve_address_conflicts(state);
}

void target_pool::mark_unreadable(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.unreadable = true;
    }
}

/// Requests in flight are still counted: the end of each is reported by its connection.
void target_pool::on_restarted(std::string_view id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state fresh;
    fresh.target = found->second.target;
    fresh.list_position = found->second.list_position;
    fresh.in_flight = found->second.in_flight;
    found->second = std::move(fresh);
    placer_.remove_target(id);
    warmup_.forget(id);
    limits_.forget(id);
    backoffs_.forget(id);
}

/// Of the targets at one address all but the one that was listed last count as replaced.
void target_pool::resolve_address_conflicts(target_state& changed) {
    for (const std::string& id : ids_by_address_[changed.target.address]) {
        target_state& other = targets_.at(id);
        other.replaced = other.replaced || other.list_position < changed.list_position;
        changed.replaced = changed.replaced || changed.list_position < other.list_position;
    }
}

void target_pool::remove_address(const gateway_target& target) {
    const auto found = ids_by_address_.find(target.address);
    if (found == ids_by_address_.end()) {
        return;
    }
    found->second.erase(target.id);
    if (found->second.empty()) {
        ids_by_address_.erase(found);
    }
}

void target_pool::mark_cold(instant now, std::string_view id, microseconds remaining) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        warmup_.mark_cold(now, id, found->second.target.service, remaining);
    }
}

bool target_pool::set_evacuated(instant now, std::string_view failure_domain, bool evacuated) {
    if (evacuated) {
        return evacuated_.emplace(failure_domain).second;
    }
    const auto found = evacuated_.find(failure_domain);
    if (found == evacuated_.end()) {
        return false;
    }
    evacuated_.erase(found);
    for (const auto& [id, state] : targets_) {
        if (state.target.failure_domain == failure_domain) {
            mark_cold(now, id, warmup_.warmup_duration(state.target.service));
        }
    }
    return true;
}

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
bool target_pool::is_held_back(const target_state& state,
                               const version_constraint& constraint) const {
    if (constraint.rule == version_rule::only || !quarantine_.contains(state.target.id)) {
        return false;
    }
    version_set others = constraint.excluded;
    if (constraint.rule == version_rule::other_than) {
        others.insert(constraint.version);
    }
    return !has_only_version(state.target.service, state.target.version, others);
}

bool target_pool::waits_for_orders() const {
    return std::any_of(targets_.begin(), targets_.end(),
                       [this](const auto& entry) { return is_held_back(entry.second, {}); });
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

void target_pool::remove(instant now, std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end() && found->second.listed) {
        found->second.listed = false;
        found->second.unlisted_since = now;
    }
}

const gateway_target* target_pool::find(std::string_view id) const {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.target;
}

std::string target_pool::describe(instant now, std::string_view id) const {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return "unknown";
    }
    const target_state& state = found->second;
    std::string text = "own=" + std::to_string(state.in_flight);
    if (state.reported_at != instant{}) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - state.reported_at);
        text += ",reported=" + std::to_string(state.load.running) + "+" +
                std::to_string(state.load.queued) + "/" + std::to_string(age.count()) + "ms";
    }
    text += "," + placer_.describe(now, id);
    text += is_cold(now, id) ? ",cold" : "";
    const std::string limit = limits_.describe(now, id);
    text += limit.empty() ? "" : "," + limit;
    const microseconds backoff = backoffs_.remaining(now, id);
    text += backoff > microseconds(0) ? ",rests=" + millis_text(backoff) + "ms" : "";
    text += state.announced_draining ? ",says_it_leaves" : "";
    return text + (state.listed ? "" : ",unlisted");
}

std::vector<gateway_target> target_pool::listed() const {
    std::vector<gateway_target> all;
    for (const auto& [id, state] : targets_) {
        if (state.listed) {
            all.push_back(state.target);
        }
    }
    return all;
}

std::vector<std::string> target_pool::expire_unlisted(instant now) {
    std::vector<std::string> expired_ids;
    for (auto it = targets_.begin(); it != targets_.end();) {
        const target_state& state = it->second;
        const bool expired =
            !state.listed && state.in_flight == 0 && now - state.unlisted_since > unlisted_lifetime;
        if (expired) {
            expired_ids.push_back(it->first);
            placer_.remove_target(it->first);
            warmup_.forget(it->first);
            limits_.forget(it->first);
            backoffs_.forget(it->first);
            quarantine_.remove(it->first);
            remove_address(state.target);
            it = targets_.erase(it);
        } else {
            ++it;
        }
    }
    return expired_ids;
}

bool target_pool::is_eligible(const target_state& state, std::string_view service,
                              const candidate_constraints& constraints) const {
    return state.target.service == service && !state.target.draining && !state.announced_draining &&
           !state.replaced && !state.unreadable && !is_evacuated(state.target.failure_domain) &&
           is_in_allowed_region(state, constraints.regions) &&
           constraints.version.admits(state.target.version) &&
           !is_held_back(state, constraints.version);
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
/// as a fallback, those that left the list, because the list loses healthy targets while the
/// platform is down.
std::vector<target_pool::target_state*> target_pool::candidates(
    instant now, std::string_view service, std::span<const std::string> tried,
    const candidate_constraints& constraints, const state_filter& admits) {
    std::vector<target_state*> allowed;
    std::vector<target_state*> unlisted;
    for (auto& [id, state] : targets_) {
        if (is_eligible(state, service, constraints)) {
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

target_choice target_pool::pick(instant now, std::string_view service,
                                std::span<const std::string> tried, microseconds objective,
                                bool repeatable, const candidate_constraints& constraints) {
    target_choice choice;
    double lowest_cost = std::numeric_limits<double>::infinity();
    const microseconds max_wait = max_wait_for(objective);
    permitted_candidates group =
        candidates_with_permits(now, service, tried, permit_share::equal, max_wait, constraints);
    filter_unresponsive(group.targets, repeatable);
    for (const target_state* state : group.targets) {
        const microseconds wait = warmup_.delay(now, state->target.id, permit_share::equal);
        const microseconds round_trip =
            is_in_other_region(*state) ? settings_.far_round_trip : microseconds(0);
        const double value = direct_cost(*state, now) +
                             as_seconds(wait + round_trip) / as_seconds(max_wait) +
                             tie_break_jitter * random_.unit();
        if (value < lowest_cost) {
            lowest_cost = value;
            choice.target = &state->target;
        }
    }
    choice.all_cold = choice.target == nullptr && group.excluded_cold;
    if (choice.target != nullptr) {
        choice.wait = warmup_.reserve(now, choice.target->id, permit_share::equal);
    }
    return choice;
}

target_choice target_pool::pick_engine(instant now, std::string_view service,
                                       const engine_request& request,
                                       std::span<const std::string> tried,
                                       const target_filter& passes, permit_share share) {
    std::vector<const target_state*> eligible;
    std::vector<engine_candidate> offered;
    const permitted_candidates group =
        candidates_with_permits(now, service, tried, share,
                                max_wait_for(request.first_event_objective), request.constraints);
    for (const target_state* state : group.targets) {
        if (passes(state->target.id)) {
            eligible.push_back(state);
            const microseconds round_trip =
                request.round_trip +
                (is_in_other_region(*state) ? settings_.far_round_trip : microseconds(0));
            offered.push_back({state->target.id, state->target.slots, failure_rate(*state, now),
                               as_milliseconds(warmup_.delay(now, state->target.id, share)),
                               copy_scope_of(*state), as_milliseconds(round_trip)});
        }
    }
    target_choice choice;
    choice.all_cold = eligible.empty() && group.excluded_cold;
    if (eligible.empty()) {
        return choice;
    }
    const engine_choice chosen =
        placer_.choose(now, std::string(service), offered,
                       copy_sources(now, service, request.constraints.regions), request);
    choice.target = &eligible[chosen.index]->target;
    choice.copy_from = chosen.copy_from.empty() ? nullptr : find(chosen.copy_from);
    choice.uncached_tokens = chosen.uncached_tokens;
    choice.price = chosen.cost;
    choice.other_backlog_ms = chosen.other_backlog_ms;
    choice.candidates = offered.size();
    choice.wait = warmup_.reserve(now, choice.target->id, share);
    return choice;
}

/// The engine's coordinator knows the prompts processed by the engines that it coordinates. This
/// gateway also knows which engines processed its own requests, whatever gateways coordinate them.
void target_pool::improve_copy_source(instant now, const engine_request& request,
                                      target_choice& choice) const {
    const prompt_profile& shape = request.prompt;
    if (request.engine.copy_ms_per_token <= 0.0 || shape.parts.empty()) {
        return;
    }
    const tokens shared = shape.prompt_tokens - shape.parts.back().length;
    const tokens cached = shape.prompt_tokens - choice.uncached_tokens;
    if (shared - cached < min_copied_tokens) {
        return;
    }
    const engine_placer::cached_prefix most = placer_.longest_cached_prefix(
        copy_sources(now, choice.target->service, request.constraints.regions),
        copy_scope_of(targets_.find(choice.target->id)->second), shape);
    if (most.cached_tokens - cached >= min_copied_tokens && most.engine != choice.target->id) {
        choice.copy_from = find(most.engine);
        choice.uncached_tokens = shape.prompt_tokens - most.cached_tokens;
    }
}

std::string_view target_pool::rendezvous_engine(instant now, std::string_view service,
                                                const engine_request& request,
                                                std::span<const std::string> tried,
                                                rendezvous_scope scope) {
    std::vector<std::string_view> engines;
    const auto any = [](const target_state&) { return true; };
    std::vector<target_state*> eligible = candidates(now, service, tried, request.constraints, any);
    if (scope == rendezvous_scope::another_region) {
        std::erase_if(eligible,
                      [this](const target_state* state) { return !is_in_other_region(*state); });
    } else if (has_multiple_regions_ && !justifies_remote_region(service, request.prompt)) {
        prefer_own_region(eligible);
    }
    engines.reserve(eligible.size());
    for (const target_state* state : eligible) {
        engines.push_back(state->target.id);
    }
    if (engines.empty()) {
        return {};
    }
    const std::string_view home = session_engine(engines, request.prompt);
    return home.empty() ? engines[random_.below(engines.size())] : home;
}

/// A session whose shared parts take longer to process than two round trips, one to ask for a
/// placement and one to send the request, uses one engine for all regions. With one engine per
/// region, parts were processed again twice as often.
bool target_pool::justifies_remote_region(std::string_view service,
                                          const prompt_profile& shape) const {
    if (shape.parts.empty()) {
        return false;
    }
    const tokens shared = shape.prompt_tokens - shape.parts.back().length;
    return placer_.prefill_ms(service, shared) > 2.0 * as_milliseconds(settings_.far_round_trip);
}

bool target_pool::is_in_other_region(const target_state& state) const {
    return has_multiple_regions_ &&
           !settings_.regions.in_same_region(settings_.failure_domain, state.target.failure_domain);
}

/// Engines copy only from engines in the same region: data that is restricted to a region stays
/// there, and at some hundred thousand bytes of memory per token a link between regions carries
/// only 45 tokens per second. Without a region table no restricted request was ever processed, and
/// all engines are in one place.
std::string_view target_pool::copy_scope_of(const target_state& state) const {
    if (settings_.regions.empty()) {
        return {};
    }
    const std::string_view region = settings_.regions.region_of(state.target.failure_domain);
    return region.empty() ? std::string_view(state.target.failure_domain) : region;
}

void target_pool::prefer_own_region(std::vector<target_state*>& targets) const {
    const auto in_other_region = [this](const target_state* state) {
        return is_in_other_region(*state);
    };
    if (!std::all_of(targets.begin(), targets.end(), in_other_region)) {
        std::erase_if(targets, in_other_region);
    }
}

bool target_pool::is_usable(std::string_view id, std::string_view service,
                            const candidate_constraints& constraints) const {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return false;
    }
    return found->second.listed && is_eligible(found->second, service, constraints);
}

bool target_pool::is_listed(std::string_view id) const {
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.listed;
}

bool target_pool::has_target_in(std::string_view service, const allowed_regions& regions) const {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& known) {
        const target_state& state = known.second;
        return state.target.service == service && !state.replaced &&
               is_in_allowed_region(state, regions);
    });
}

bool target_pool::has_untried(instant now, std::string_view service,
                              std::span<const std::string> tried,
                              const candidate_constraints& constraints) {
    const auto any = [](const target_state&) { return true; };
    return !candidates(now, service, tried, constraints, any).empty();
}

bool target_pool::may_copy(std::string_view from, std::string_view to,
                           const allowed_regions& regions) const {
    const auto source = targets_.find(from);
    const auto destination = targets_.find(to);
    if (source == targets_.end() || destination == targets_.end() ||
        !is_in_allowed_region(source->second, regions) ||
        !is_in_allowed_region(destination->second, regions)) {
        return false;
    }
    return copy_scope_of(source->second) == copy_scope_of(destination->second);
}

std::string_view target_pool::region_of(std::string_view id) const {
    const auto found = targets_.find(id);
    return found == targets_.end()
               ? std::string_view{}
               : settings_.regions.region_of(found->second.target.failure_domain);
}

/// Returns the engines that others may copy from, including draining ones, which still serve
/// copies.
std::vector<copy_source> target_pool::copy_sources(instant now, std::string_view service,
                                                   const allowed_regions& regions) const {
    std::vector<copy_source> found;
    for (const auto& [id, state] : targets_) {
        const bool can_serve = state.listed && !state.replaced && state.ejected_until <= now &&
                               is_in_allowed_region(state, regions);
        if (can_serve && state.target.service == service) {
            found.push_back({id, copy_scope_of(state)});
        }
    }
    return found;
}

double target_pool::occupancy(const target_state& state, instant now) const {
    const double own = state.in_flight;
    const bool fresh =
        state.reported_at != instant{} && now - state.reported_at < settings_.report_lifetime;
    if (!fresh) {
        return own;
    }
    return std::max(own, static_cast<double>(state.load.running + state.load.queued));
}

double target_pool::direct_cost(const target_state& state, instant now) const {
    const bool other_domain = state.target.failure_domain != settings_.failure_domain;
    const double slots = std::max(1U, state.target.slots);
    return occupancy(state, now) / slots + failure_cost * failure_rate(state, now) +
           (other_domain ? settings_.other_domain_cost : 0.0) +
           (is_in_other_region(state) ? settings_.other_region_cost : 0.0);
}

void target_pool::on_sent(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight += 1;
    }
}

std::uint64_t target_pool::begin_attempt(instant now, std::string_view id,
                                         const engine_request& request, tokens uncached_tokens,
                                         bool all_known) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return 0;
    }
    return placer_.begin_attempt(now, found->second.target.service, found->first, request,
                                 uncached_tokens, all_known);
}

void target_pool::record_first_event(instant now, std::string_view id, std::uint64_t attempt) {
    placer_.record_first_event(now, id, attempt);
}

void target_pool::record_event_span(instant now, std::string_view id, microseconds span) {
    placer_.record_event_span(now, id, span);
}

void target_pool::end_attempt(instant now, std::string_view id, std::uint64_t attempt) {
    placer_.end_attempt(now, id, attempt);
}

void target_pool::on_finished(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight -= found->second.in_flight > 0 ? 1 : 0;
    }
}

void target_pool::on_load_report(instant now, std::string_view id, const load_report& load) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.load = load;
        found->second.reported_at = now;
    }
}

void target_pool::on_failure(instant now, std::string_view id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& state = found->second;
    const unsigned doublings = std::min(state.consecutive_failures, 5U);
    const microseconds length = settings_.first_ejection * (1U << doublings);
    state.ejected_until = now + std::min(length, settings_.max_ejection);
    state.consecutive_failures += 1;
    record_outcome(state, now, false);
}

void target_pool::on_unresponsive(instant now, std::string_view id) {
    on_failure(now, id);
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.unresponsive = true;
    }
}

void target_pool::on_response(instant now, std::string_view id, bool succeeded) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    found->second.unresponsive = false;
    record_outcome(found->second, now, succeeded);
    if (succeeded) {
        found->second.consecutive_failures = 0;
    }
}

/// Failures decay with age, so that a target that is avoided because of them is tried again.
double target_pool::failure_rate(const target_state& state, instant now) {
    const double age = std::chrono::duration<double>(now - state.failure_rate_at).count();
    return state.failure_rate *
           std::exp2(-age / std::chrono::duration<double>(failure_half_life).count());
}

void target_pool::record_outcome(target_state& state, instant now, bool succeeded) {
    const double before = failure_rate(state, now);
    state.failure_rate = before + failure_weight * ((succeeded ? 0.0 : 1.0) - before);
    state.failure_rate_at = now;
}

}  // namespace wrenswitch
