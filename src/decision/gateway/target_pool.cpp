#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// The weight of one answer in a target's failure rate.
constexpr double failure_weight = 0.15;

/// After this time failures count half: about as long as the troubles of a target last.
constexpr microseconds failure_half_life = seconds(4);

/// What a target that fails all its requests counts as, in full targets.
constexpr double failure_cost = 3.0;

/// Random tie-break between targets that are equally good.
constexpr double jitter = 0.02;

/// A target that left the list is used only in need, and only for so long.
constexpr microseconds unlisted_life = seconds(20);

/// How long a request waits for a turn at a cold target if its route has no aim: what most routes
/// allow.
constexpr microseconds usual_wait = milliseconds(300);

/// How long a request may wait for a turn and still be answered in time, by its route's aim.
microseconds bearable_wait(microseconds aim) {
    return aim > microseconds(0) ? aim : usual_wait;
}

}  // namespace

target_pool::target_pool(target_pool_settings settings, random_source& random)
    : settings_(std::move(settings)),
      has_several_regions_(settings_.regions.has_several()),
      random_(random),
      cold_(settings_.entries, random),
      limits_(settings_.sharers, random),
      rests_(random) {}

void target_pool::apply(const gateway_target& target, std::uint64_t position) {
    target_state& state = targets_[target.id];
    state.target = target;
    state.position = position;
    state.listed = true;
    state.replaced = false;
    state.withdrawn = false;
    settle_address(state);
}

void target_pool::withdraw(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.withdrawn = true;
    }
}

/// Requests that are under way there are still counted: each is told its end by its connection.
void target_pool::restarted(std::string_view id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state fresh;
    fresh.target = found->second.target;
    fresh.position = found->second.position;
    fresh.in_flight = found->second.in_flight;
    found->second = std::move(fresh);
    placer_.forget(id);
    cold_.forget(id);
    limits_.forget(id);
    rests_.forget(id);
}

/// Of those at one address all but the one that was listed last are gone.
void target_pool::settle_address(target_state& changed) {
    for (auto& [id, other] : targets_) {
        if (other.target.address != changed.target.address) {
            continue;
        }
        other.replaced = other.replaced || other.position < changed.position;
        changed.replaced = changed.replaced || changed.position < other.position;
    }
}

void target_pool::note_cold(instant now, std::string_view id, microseconds left) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        cold_.note(now, id, found->second.target.service, left);
    }
}

bool target_pool::set_emptied(instant now, std::string_view failure_domain, bool emptied) {
    if (emptied) {
        return emptied_.emplace(failure_domain).second;
    }
    const auto found = emptied_.find(failure_domain);
    if (found == emptied_.end()) {
        return false;
    }
    emptied_.erase(found);
    for (const auto& [id, state] : targets_) {
        if (state.target.failure_domain == failure_domain) {
            note_cold(now, id, cold_.warmup_length(state.target.service));
        }
    }
    return true;
}

void target_pool::hold_back_new_version(instant now, std::string_view id) {
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

/// An order before this one's targets may be unread: whatever it is of, another version serves. An
/// order that is known says of its own version only that it isn't that.
bool target_pool::is_held_back(const target_state& state, const version_limit& version) const {
    if (version.rule == version_rule::only || !quarantine_.contains(state.target.id)) {
        return false;
    }
    version_set others = version.excluded;
    if (version.rule == version_rule::other_than) {
        others.insert(version.version);
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
    const microseconds rest = rests_.left(now, id);
    text += rest > microseconds(0) ? ",rests=" + millis_text(rest) + "ms" : "";
    text += state.says_it_leaves ? ",says_it_leaves" : "";
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

std::vector<std::string> target_pool::take_forgotten(instant now) {
    std::vector<std::string> forgotten;
    for (auto it = targets_.begin(); it != targets_.end();) {
        const target_state& state = it->second;
        const bool done =
            !state.listed && state.in_flight == 0 && now - state.unlisted_since > unlisted_life;
        if (done) {
            forgotten.push_back(it->first);
            placer_.forget(it->first);
            cold_.forget(it->first);
            limits_.forget(it->first);
            rests_.forget(it->first);
            quarantine_.remove(it->first);
            it = targets_.erase(it);
        } else {
            ++it;
        }
    }
    return forgotten;
}

bool target_pool::may_be_chosen(const target_state& state, std::string_view service,
                                const candidate_limits& limits) const {
    return state.target.service == service && !state.target.leaving && !state.says_it_leaves &&
           !state.replaced && !state.withdrawn && !is_emptied(state.target.failure_domain) &&
           may_hold(state, limits.regions) && limits.version.admits(state.target.version) &&
           !is_held_back(state, limits.version);
}

bool target_pool::may_hold(const target_state& state, const allowed_regions& regions) const {
    return may_be_in(regions, settings_.regions.region_of(state.target.failure_domain));
}

/// The first of the version's targets in an order that the seed gives and that is the same at every
/// process. A target that fails stays in the group: what belongs to the version must show.
void target_pool::keep_group(std::vector<target_state*>& targets, const version_limit& version) {
    if (version.rule != version_rule::only || version.group_size == 0 ||
        targets.size() <= version.group_size) {
        return;
    }
    const auto rank = [&version](const target_state* state) {
        return spread_hash(state->target.id, version.group_seed);
    };
    std::sort(targets.begin(), targets.end(),
              [&rank](const auto* left, const auto* right) { return rank(left) < rank(right); });
    targets.resize(version.group_size);
}

/// The best group that isn't empty: listed and sound; listed and ejected; then, in need, those that
/// left the list, since the list loses targets that are well while the platform is down.
std::vector<target_pool::target_state*> target_pool::candidates(instant now,
                                                                std::string_view service,
                                                                std::span<const std::string> tried,
                                                                const candidate_limits& limits,
                                                                const state_filter& admits) {
    std::vector<target_state*> allowed;
    std::vector<target_state*> unlisted;
    for (auto& [id, state] : targets_) {
        if (may_be_chosen(state, service, limits)) {
            (state.listed ? allowed : unlisted).push_back(&state);
        }
    }
    keep_group(allowed, limits.version);
    const bool any_listed = !allowed.empty();
    const auto left_out = [&](const target_state* state) {
        return std::find(tried.begin(), tried.end(), state->target.id) != tried.end() ||
               !admits(*state);
    };
    std::erase_if(allowed, left_out);
    std::erase_if(unlisted, left_out);
    std::vector<target_state*> sound;
    std::vector<target_state*> ejected;
    for (target_state* state : allowed) {
        (state->ejected_until > now ? ejected : sound).push_back(state);
    }
    if (!sound.empty()) {
        return sound;
    }
    if (!ejected.empty()) {
        return ejected;
    }
    return any_listed ? std::vector<target_state*>{} : unlisted;
}

/// The candidates of which those that are cold have a turn in time.
target_pool::candidate_group target_pool::with_turns(instant now, std::string_view service,
                                                     std::span<const std::string> tried,
                                                     turn_owner owner, microseconds longest_wait,
                                                     const candidate_limits& limits) {
    candidate_group group;
    group.targets = candidates(now, service, tried, limits, [&](const target_state& state) {
        const bool admitted = cold_.wait(now, state.target.id, owner) <= longest_wait;
        group.some_cold = group.some_cold || !admitted;
        return admitted;
    });
    return group;
}

/// A request that may be repeated finds out whether a silent target speaks again: it loses nothing,
/// since it goes elsewhere if not. One that may not be repeated would be lost, so that it goes
/// there only if there is nothing else.
void target_pool::keep_silent_apart(std::vector<target_state*>& targets, bool repeatable) {
    const auto untried = std::find_if(targets.begin(), targets.end(), [](const auto* state) {
        return state->silent && state->in_flight == 0;
    });
    if (repeatable && untried != targets.end()) {
        targets = {*untried};
        return;
    }
    const auto speaks = [](const target_state* state) { return !state->silent; };
    if (std::any_of(targets.begin(), targets.end(), speaks)) {
        std::erase_if(targets, [](const target_state* state) { return state->silent; });
    }
}

target_choice target_pool::pick(instant now, std::string_view service,
                                std::span<const std::string> tried, microseconds aim,
                                bool repeatable, const candidate_limits& limits) {
    target_choice choice;
    double least = std::numeric_limits<double>::infinity();
    const microseconds longest_wait = bearable_wait(aim);
    candidate_group group =
        with_turns(now, service, tried, turn_owner::equal, longest_wait, limits);
    keep_silent_apart(group.targets, repeatable);
    for (const target_state* state : group.targets) {
        const microseconds wait = cold_.wait(now, state->target.id, turn_owner::equal);
        const microseconds way = is_far(*state) ? settings_.far_round_trip : microseconds(0);
        const double value = plain_cost(*state, now) +
                             as_seconds(wait + way) / as_seconds(longest_wait) +
                             jitter * random_.unit();
        if (value < least) {
            least = value;
            choice.target = &state->target;
        }
    }
    choice.all_cold = choice.target == nullptr && group.some_cold;
    if (choice.target != nullptr) {
        choice.wait = cold_.take(now, choice.target->id, turn_owner::equal);
    }
    return choice;
}

target_choice target_pool::pick_engine(instant now, std::string_view service,
                                       const engine_request& request,
                                       std::span<const std::string> tried,
                                       const target_filter& passes, turn_owner owner) {
    std::vector<const target_state*> among;
    std::vector<engine_candidate> offered;
    const candidate_group group = with_turns(
        now, service, tried, owner, bearable_wait(request.first_event_aim), request.limits);
    for (const target_state* state : group.targets) {
        if (passes(state->target.id)) {
            among.push_back(state);
            const microseconds way =
                request.way + (is_far(*state) ? settings_.far_round_trip : microseconds(0));
            offered.push_back({state->target.id, state->target.slots, failure_rate(*state, now),
                               as_milliseconds(cold_.wait(now, state->target.id, owner)),
                               copies_within(*state), as_milliseconds(way)});
        }
    }
    target_choice choice;
    choice.all_cold = among.empty() && group.some_cold;
    if (among.empty()) {
        return choice;
    }
    const engine_choice chosen = placer_.choose(
        now, std::string(service), offered, sources(now, service, request.limits.regions), request);
    choice.target = &among[chosen.index]->target;
    choice.copy_from = chosen.copy_from.empty() ? nullptr : find(chosen.copy_from);
    choice.unread = chosen.unread;
    choice.price = chosen.price;
    choice.wait = cold_.take(now, choice.target->id, owner);
    return choice;
}

/// A keeper knows what the engines that it keeps have read, and an entry what its own requests were
/// read by, at the engines of all keepers.
void target_pool::improve_source(instant now, const engine_request& request,
                                 target_choice& choice) const {
    const prompt_shape& shape = request.shape;
    if (request.engine.copy_ms_per_token <= 0.0 || shape.parts.empty()) {
        return;
    }
    const tokens shared = shape.prompt - shape.parts.back().length;
    const tokens there = shape.prompt - choice.unread;
    if (shared - there < least_copied) {
        return;
    }
    const engine_placer::kept_prompt most =
        placer_.most_kept(sources(now, choice.target->service, request.limits.regions),
                          copies_within(targets_.find(choice.target->id)->second), shape);
    if (most.kept - there >= least_copied && most.engine != choice.target->id) {
        choice.copy_from = find(most.engine);
        choice.unread = shape.prompt - most.kept;
    }
}

std::string_view target_pool::meeting_engine(instant now, std::string_view service,
                                             const engine_request& request,
                                             std::span<const std::string> tried,
                                             meeting_place place) {
    std::vector<std::string_view> engines;
    const auto any = [](const target_state&) { return true; };
    std::vector<target_state*> among = candidates(now, service, tried, request.limits, any);
    if (place == meeting_place::another_region) {
        std::erase_if(among, [this](const target_state* state) { return !is_far(*state); });
    } else if (has_several_regions_ && !is_worth_the_way(service, request.shape)) {
        keep_near(among);
    }
    engines.reserve(among.size());
    for (const target_state* state : among) {
        engines.push_back(state->target.id);
    }
    if (engines.empty()) {
        return {};
    }
    const std::string_view home = home_of(engines, request.shape);
    return home.empty() ? engines[random_.below(engines.size())] : home;
}

/// A session whose shared parts take longer to read than the way there and back, once to ask and
/// once to go, meets at one engine for all regions: with one in each, parts were read again twice
/// as often.
bool target_pool::is_worth_the_way(std::string_view service, const prompt_shape& shape) const {
    if (shape.parts.empty()) {
        return false;
    }
    const tokens shared = shape.prompt - shape.parts.back().length;
    return placer_.reading_ms(service, shared) > 2.0 * as_milliseconds(settings_.far_round_trip);
}

bool target_pool::is_far(const target_state& state) const {
    return has_several_regions_ &&
           !settings_.regions.are_near(settings_.failure_domain, state.target.failure_domain);
}

/// Engines copy from those of the same place alone: what is bound to its region stays there, and of
/// a token's memory, some hundred thousand bytes, a region's link bears 45 a second. Without a
/// table of regions nothing that is bound was ever read, and all are in one place.
std::string_view target_pool::copies_within(const target_state& state) const {
    if (settings_.regions.empty()) {
        return {};
    }
    const std::string_view region = settings_.regions.region_of(state.target.failure_domain);
    return region.empty() ? std::string_view(state.target.failure_domain) : region;
}

void target_pool::keep_near(std::vector<target_state*>& targets) const {
    const auto far = [this](const target_state* state) { return is_far(*state); };
    if (!std::all_of(targets.begin(), targets.end(), far)) {
        std::erase_if(targets, far);
    }
}

bool target_pool::usable(std::string_view id, std::string_view service,
                         const candidate_limits& limits) const {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return false;
    }
    return found->second.listed && may_be_chosen(found->second, service, limits);
}

bool target_pool::is_listed(std::string_view id) const {
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.listed;
}

bool target_pool::has_target_in(std::string_view service, const allowed_regions& regions) const {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& known) {
        const target_state& state = known.second;
        return state.target.service == service && !state.replaced && may_hold(state, regions);
    });
}

bool target_pool::has_another(instant now, std::string_view service,
                              std::span<const std::string> tried, const candidate_limits& limits) {
    const auto any = [](const target_state&) { return true; };
    return !candidates(now, service, tried, limits, any).empty();
}

bool target_pool::may_copy(std::string_view from, std::string_view to,
                           const allowed_regions& regions) const {
    const auto source = targets_.find(from);
    const auto goal = targets_.find(to);
    if (source == targets_.end() || goal == targets_.end() || !may_hold(source->second, regions) ||
        !may_hold(goal->second, regions)) {
        return false;
    }
    return copies_within(source->second) == copies_within(goal->second);
}

std::string_view target_pool::region_of(std::string_view id) const {
    const auto found = targets_.find(id);
    return found == targets_.end()
               ? std::string_view{}
               : settings_.regions.region_of(found->second.target.failure_domain);
}

/// The engines that others may copy from. Those that leave still serve that.
std::vector<engine_source> target_pool::sources(instant now, std::string_view service,
                                                const allowed_regions& regions) const {
    std::vector<engine_source> found;
    for (const auto& [id, state] : targets_) {
        const bool usable = state.listed && !state.replaced && state.ejected_until <= now &&
                            may_hold(state, regions);
        if (usable && state.target.service == service) {
            found.push_back({id, copies_within(state)});
        }
    }
    return found;
}

double target_pool::occupancy(const target_state& state, instant now) const {
    const double own = state.in_flight;
    const bool fresh =
        state.reported_at != instant{} && now - state.reported_at < settings_.report_life;
    if (!fresh) {
        return own;
    }
    return std::max(own, static_cast<double>(state.load.running + state.load.queued));
}

double target_pool::plain_cost(const target_state& state, instant now) const {
    const bool other_domain = state.target.failure_domain != settings_.failure_domain;
    const double slots = std::max(1U, state.target.slots);
    return occupancy(state, now) / slots + failure_cost * failure_rate(state, now) +
           (other_domain ? settings_.other_domain_cost : 0.0) +
           (is_far(state) ? settings_.other_region_cost : 0.0);
}

void target_pool::sent(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight += 1;
    }
}

std::uint64_t target_pool::begin_run(instant now, std::string_view id,
                                     const engine_request& request, tokens unread, bool all_known) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return 0;
    }
    return placer_.begin(now, found->second.target.service, found->first, request, unread,
                         all_known);
}

void target_pool::first_event(instant now, std::string_view id, std::uint64_t run) {
    placer_.first_event(now, id, run);
}

void target_pool::next_events(instant now, std::string_view id, microseconds span) {
    placer_.next_events(now, id, span);
}

void target_pool::end_run(instant now, std::string_view id, std::uint64_t run) {
    placer_.end(now, id, run);
}

void target_pool::finished(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight -= found->second.in_flight > 0 ? 1 : 0;
    }
}

void target_pool::reported(instant now, std::string_view id, const load_report& load) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.load = load;
        found->second.reported_at = now;
    }
}

void target_pool::failed(instant now, std::string_view id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& state = found->second;
    const unsigned doublings = std::min(state.failures, 5U);
    const microseconds length = settings_.first_ejection * (1U << doublings);
    state.ejected_until = now + std::min(length, settings_.longest_ejection);
    state.failures += 1;
    rate(state, now, false);
}

void target_pool::silent(instant now, std::string_view id) {
    failed(now, id);
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.silent = true;
    }
}

void target_pool::answered(instant now, std::string_view id, bool well) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    found->second.silent = false;
    rate(found->second, now, well);
    if (well) {
        found->second.failures = 0;
    }
}

/// Old failures count less, so that a target which is avoided for them is tried again.
double target_pool::failure_rate(const target_state& state, instant now) {
    const double age = std::chrono::duration<double>(now - state.rated_at).count();
    return state.failure_rate *
           std::exp2(-age / std::chrono::duration<double>(failure_half_life).count());
}

void target_pool::rate(target_state& state, instant now, bool well) {
    const double before = failure_rate(state, now);
    state.failure_rate = before + failure_weight * ((well ? 0.0 : 1.0) - before);
    state.rated_at = now;
}

}  // namespace wrenswitch
