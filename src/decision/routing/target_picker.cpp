#include "wrenswitch/decision/routing/target_picker.hpp"

#include <algorithm>

#include "wrenswitch/decision/routing/rendezvous.hpp"

namespace wrenswitch {
namespace {

/// Prefixes beyond this number are forgotten all at once: they are hints and soon learned anew.
constexpr std::size_t most_prefixes = 65'536;

/// Doubling an ejection more often than this would overflow before it reaches the longest one.
constexpr unsigned most_doublings = 10;

}  // namespace

target_picker::target_picker(picker_settings settings, random_source& random)
    : settings_(std::move(settings)), random_(random) {}

void target_picker::set_targets(std::span<const routable_target> targets) {
    std::unordered_map<incarnation_id, target_state> next;
    for (const routable_target& target : targets) {
        const auto known = targets_.find(target.guard);
        target_state state = known == targets_.end() ? target_state{} : known->second;
        state.target = target;
        next.emplace(target.guard, std::move(state));
    }
    targets_ = std::move(next);
    rebuild_subsets();
}

void target_picker::rebuild_subsets() {
    std::map<std::string, std::vector<rendezvous_candidate>, std::less<>> by_service;
    for (const auto& [guard, state] : targets_) {
        by_service[state.target.service].push_back({guard, state.target.endpoint});
    }
    subsets_.clear();
    for (const auto& [service, candidates] : by_service) {
        std::vector<incarnation_id> order = rendezvous_order(settings_.subset_seed, candidates);
        order.resize(std::min(order.size(), settings_.subset_size));
        subsets_[service] = std::move(order);
    }
}

const routable_target* target_picker::pick(instant now, std::string_view service,
                                           std::uint64_t prefix,
                                           std::span<const incarnation_id> tried) {
    const auto subset = subsets_.find(service);
    if (subset == subsets_.end()) {
        return nullptr;
    }
    const std::vector<incarnation_id>& guards = subset->second;
    incarnation_id hinted{};
    const auto hint = prefix == 0 ? prefixes_.end() : prefixes_.find(prefix);
    if (hint != prefixes_.end()) {
        hinted = hint->second;
    }

    const target_state* best = nullptr;
    double best_score = 0.0;
    const auto consider = [&](incarnation_id guard) {
        const auto found = targets_.find(guard);
        if (found == targets_.end() || !usable(found->second, now, tried)) {
            return false;
        }
        const double value = score(found->second, guard == hinted);
        if (best == nullptr || value < best_score) {
            best = &found->second;
            best_score = value;
        }
        return true;
    };

    // A random start and then the next ones in order: as good as independent draws, and it ends
    // after one round when few are usable.
    const std::size_t start = random_.below(guards.size());
    const std::size_t wanted = settings_.policy == routing_policy::random        ? 1
                               : settings_.policy == routing_policy::two_choices ? 2
                               : settings_.policy == routing_policy::least_loaded
                                   ? guards.size()
                                   : settings_.candidates;
    std::size_t considered = 0;
    for (std::size_t step = 0; step < guards.size() && considered < wanted; ++step) {
        considered += consider(guards[(start + step) % guards.size()]) ? 1 : 0;
    }
    if (settings_.policy == routing_policy::expected_wait && hinted != incarnation_id{}) {
        consider(hinted);
    }
    return best == nullptr ? nullptr : &best->target;
}

void target_picker::sent(incarnation_id guard, std::uint64_t prefix) {
    const auto found = targets_.find(guard);
    if (found == targets_.end()) {
        return;
    }
    ++found->second.in_flight;
    ++found->second.since_report;
    if (prefix == 0) {
        return;
    }
    if (prefixes_.size() >= most_prefixes) {
        prefixes_.clear();
    }
    prefixes_[prefix] = guard;
}

void target_picker::reported(incarnation_id guard, const load_report& load) {
    const auto found = targets_.find(guard);
    if (found == targets_.end()) {
        return;
    }
    found->second.load = load;
    found->second.since_report = 0;
}

void target_picker::finished(incarnation_id guard) {
    const auto found = targets_.find(guard);
    if (found != targets_.end() && found->second.in_flight > 0) {
        --found->second.in_flight;
    }
}

void target_picker::failed(instant now, incarnation_id guard) {
    const auto found = targets_.find(guard);
    if (found == targets_.end()) {
        return;
    }
    target_state& state = found->second;
    const unsigned doublings = std::min(state.failures, most_doublings);
    const microseconds length =
        std::min(settings_.first_ejection * (1U << doublings), settings_.longest_ejection);
    state.ejected_until = now + length;
    ++state.failures;
}

void target_picker::succeeded(incarnation_id guard) {
    const auto found = targets_.find(guard);
    if (found != targets_.end()) {
        found->second.failures = 0;
        found->second.ejected_until = instant{};
    }
}

std::vector<incarnation_id> target_picker::subset_of(std::string_view service) const {
    const auto found = subsets_.find(service);
    return found == subsets_.end() ? std::vector<incarnation_id>{} : found->second;
}

bool target_picker::usable(const target_state& state, instant now,
                           std::span<const incarnation_id> tried) const {
    if (state.load.leaving || state.ejected_until > now) {
        return false;
    }
    return std::find(tried.begin(), tried.end(), state.target.guard) == tried.end();
}

double target_picker::expected_wait(const target_state& state) const {
    const double limit = std::max(1U, state.load.limit);
    const double known = state.load.running + state.load.queued + state.since_report;
    // Below the limit a request waits for nothing, though a fuller batch is slower; above it, it
    // waits for those before it.
    const double excess = std::max(known + 1.0 - limit, 0.0);
    return known / limit + excess;
}

double target_picker::score(const target_state& state, bool prefix_hit) const {
    switch (settings_.policy) {
        case routing_policy::random:
            return 0.0;
        case routing_policy::least_loaded:
            return state.load.running + state.load.queued;
        case routing_policy::two_choices:
            return state.load.running + state.load.queued + state.since_report;
        case routing_policy::expected_wait:
            break;
    }
    double value = expected_wait(state);
    if (state.target.failure_domain != settings_.failure_domain) {
        value += settings_.other_domain_cost;
    }
    if (prefix_hit) {
        value -= settings_.prefix_gain / std::max(1U, state.load.limit);
    }
    return value;
}

}  // namespace wrenswitch
