#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <algorithm>
#include <limits>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// The weight of one answer in a target's failure rate.
constexpr double failure_weight = 0.15;

/// What a target that fails all its requests counts as, in full targets.
constexpr double failure_cost = 3.0;

/// Random tie-break between targets that are equally good.
constexpr double jitter = 0.02;

/// A target that left the list is used only in need, and only for so long.
constexpr microseconds unlisted_life = seconds(20);

}  // namespace

target_pool::target_pool(target_pool_settings settings, random_source& random)
    : settings_(std::move(settings)), random_(random) {}

void target_pool::apply(const gateway_target& target, std::uint64_t position) {
    target_state& state = targets_[target.id];
    state.target = target;
    state.position = position;
    state.listed = true;
    state.replaced = false;
    settle_address(state);
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
            it = targets_.erase(it);
        } else {
            ++it;
        }
    }
    return forgotten;
}

/// The best group that isn't empty: listed and sound; listed and ejected; then, in need, those that
/// left the list, since the list loses targets that are well while the platform is down.
std::vector<target_pool::target_state*> target_pool::candidates(
    instant now, std::string_view service, std::span<const std::string> tried) {
    std::vector<target_state*> sound;
    std::vector<target_state*> ejected;
    std::vector<target_state*> unlisted;
    bool any_listed = false;
    for (auto& [id, state] : targets_) {
        if (state.target.service != service || state.target.leaving || state.replaced) {
            continue;
        }
        any_listed = any_listed || state.listed;
        if (std::find(tried.begin(), tried.end(), id) != tried.end()) {
            continue;
        }
        if (!state.listed) {
            unlisted.push_back(&state);
        } else if (state.ejected_until > now) {
            ejected.push_back(&state);
        } else {
            sound.push_back(&state);
        }
    }
    if (!sound.empty()) {
        return sound;
    }
    if (!ejected.empty()) {
        return ejected;
    }
    return any_listed ? std::vector<target_state*>{} : unlisted;
}

const gateway_target* target_pool::pick(instant now, std::string_view service,
                                        const prompt_shape& shape,
                                        std::span<const std::string> tried) {
    const std::vector<target_state*> among = candidates(now, service, tried);
    const target_state* home = home_of(among, shape);
    const target_state* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const target_state* state : among) {
        const double value = shape.prompt > 0 ? cost(*state, now, shape, state == home)
                                              : plain_cost(*state, now) + jitter * random_.unit();
        if (value < least) {
            least = value;
            best = state;
        }
    }
    return best == nullptr ? nullptr : &best->target;
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
    return occupancy(state, now) / slots + failure_cost * state.failure_rate +
           (other_domain ? settings_.other_domain_cost : 0.0);
}

/// The expected time to the first token, in ms, with what the request costs the others.
double target_pool::cost(const target_state& state, instant now, const prompt_shape& shape,
                         bool is_home) const {
    const auto unread = static_cast<double>(unread_tokens(state, shape, is_home));
    const auto before = static_cast<double>(state.unread_prompt);
    const double reading = (unread + before) / settings_.tokens_per_ms;
    const double slots = std::max(1U, state.target.slots);
    const double running = occupancy(state, now);
    const double full = running >= slots ? running / slots : 0.0;
    constexpr double full_cost_ms = 500.0;
    constexpr double failing_cost_ms = 1000.0;
    return reading + settings_.running_cost_ms * running + full_cost_ms * full +
           failing_cost_ms * state.failure_rate;
}

/// The tokens of a prompt that the target has to read: those behind the parts that it keeps.
tokens target_pool::unread_tokens(const target_state& state, const prompt_shape& shape,
                                  bool is_home) const {
    tokens kept = 0;
    tokens shared = 0;
    bool whole = true;
    for (const prompt_part& part : shape.parts) {
        whole = whole && state.parts.contains(part.id);
        kept += whole ? part.length : 0;
        shared += &part == &shape.parts.back() ? 0 : part.length;
    }
    if (is_home) {
        const double expected = settings_.home_hit_share * static_cast<double>(shared);
        kept = std::max(kept, static_cast<tokens>(expected));
    }
    return std::max<tokens>(0, shape.prompt - kept);
}

const target_pool::target_state* target_pool::home_of(std::span<target_state* const> among,
                                                      const prompt_shape& shape) {
    if (shape.parts.empty()) {
        return nullptr;
    }
    // The last part is the request's own; the one before it is what its session shares.
    const std::size_t parts = shape.parts.size();
    const std::uint64_t session = shape.parts[parts > 1 ? parts - 2 : 0].id;
    const target_state* best = nullptr;
    std::uint64_t highest = 0;
    for (const target_state* state : among) {
        const std::uint64_t rank = spread_hash(state->target.id, session);
        if (best == nullptr || rank > highest) {
            best = state;
            highest = rank;
        }
    }
    return best;
}

void target_pool::remember(target_state& state, const prompt_shape& shape) const {
    if (state.parts.size() > settings_.remembered_parts) {
        state.parts.clear();
    }
    for (const prompt_part& part : shape.parts) {
        state.parts.insert(part.id);
    }
}

tokens target_pool::sent(std::string_view id, const prompt_shape& shape) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return 0;
    }
    target_state& state = found->second;
    const tokens unread = unread_tokens(state, shape, false);
    state.in_flight += 1;
    state.unread_prompt += unread;
    remember(state, shape);
    return unread;
}

void target_pool::read(std::string_view id, tokens prompt) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.unread_prompt -= prompt;
    }
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
    // What it kept may be gone with its process.
    state.parts.clear();
}

void target_pool::answered(std::string_view id, bool well) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& state = found->second;
    state.failure_rate += failure_weight * ((well ? 0.0 : 1.0) - state.failure_rate);
    if (well) {
        state.failures = 0;
    }
}

}  // namespace wrenswitch
