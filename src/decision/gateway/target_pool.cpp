#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace wrenswitch {
namespace {

/// Size of the random term that breaks ties between equally good targets.
constexpr double tie_break_jitter = 0.02;

/// How long a target that left the list is kept, so that what is known of it is still known if it
/// is listed again.
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

void target_pool::remove(instant now, std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end() && found->second.listed) {
        found->second.listed = false;
        found->second.unlisted_since = now;
        found->second.gone_from = now + settings_.unlisted_use;
    }
}

void target_pool::remove_lost(instant now, std::string_view id) {
    remove(now, id);
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.gone_from = now;
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
    if (const std::optional<double> slowdown = recent_slowdown(now, id)) {
        constexpr double whole_percent = 100.0;
        text += ",slowdown_pct=" + std::to_string(std::lround(whole_percent * *slowdown)) +
                ",service_ms=" + std::to_string(std::lround(state.speed.average_ms()));
    }
    text += "," + placer_.describe(now, id);
    text += is_cold(now, id) ? ",cold" : "";
    const std::string limit = limits_.describe(now, id);
    text += limit.empty() ? "" : "," + limit;
    const microseconds backoff = backoffs_.remaining(now, id);
    text += backoff > microseconds(0) ? ",rests=" + millis_text(backoff) + "ms" : "";
    text += state.announced_draining ? ",says_it_leaves" : "";
    if (!state.listed) {
        const auto since = std::chrono::duration_cast<milliseconds>(now - state.unlisted_since);
        text += ",unlisted_ms=" + std::to_string(since.count());
    }
    return text;
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

target_choice target_pool::pick(instant now, std::string_view service,
                                std::span<const std::string> tried, microseconds objective,
                                bool repeatable, const candidate_constraints& constraints) {
    target_choice choice;
    double lowest_cost = std::numeric_limits<double>::infinity();
    const microseconds max_wait = max_wait_for(objective);
    permitted_candidates group =
        candidates_with_permits(now, service, tried, permit_share::equal, max_wait, constraints);
    filter_unresponsive(group.targets, repeatable);
    const std::optional<service_speed> speed = speed_of_service(now, service);
    for (const target_state* state : group.targets) {
        const microseconds wait = warmup_.delay(now, state->target.id, permit_share::equal);
        const microseconds round_trip =
            is_in_other_region(*state) ? settings_.far_round_trip : microseconds(0);
        const double value = direct_cost(*state, now, speed) +
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

bool target_pool::is_listed(std::string_view id) const {
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.listed;
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

std::uint64_t target_pool::begin_attempt(instant now, std::string_view id,
                                         const engine_request& request, tokens uncached_tokens,
                                         bool all_known) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return 0;
    }
    services_[found->second.target.service].has_engines = true;
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

}  // namespace wrenswitch
