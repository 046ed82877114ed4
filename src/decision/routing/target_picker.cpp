#include "wrenswitch/decision/routing/target_picker.hpp"

#include <algorithm>

#include "wrenswitch/decision/routing/rendezvous.hpp"

namespace wrenswitch {
namespace {

/// At this number of prefixes all are cleared; they are only hints and are soon learned again.
constexpr std::size_t max_prefixes = 65'536;

/// More doublings would overflow before the maximum ejection time applies.
constexpr unsigned max_doublings = 10;

}  // namespace

target_picker::target_picker(picker_settings settings, random_source& random)
    : settings_(std::move(settings)), random_(random) {}

void target_picker::set_targets(std::span<const routable_target> targets) {
    std::unordered_map<incarnation_id, target_state> updated;
    for (const routable_target& target : targets) {
        const auto previous = targets_.find(target.guard);
        target_state state = previous == targets_.end() ? target_state{} : previous->second;
        state.target = target;
        updated.emplace(target.guard, std::move(state));
    }
    targets_ = std::move(updated);
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
    incarnation_id prefix_guard{};
    const auto prefix_entry = prefix == 0 ? prefix_guards_.end() : prefix_guards_.find(prefix);
    if (prefix_entry != prefix_guards_.end()) {
        prefix_guard = prefix_entry->second;
    }

    const target_state* best = nullptr;
    double best_score = 0.0;
    const auto consider = [&](incarnation_id guard) {
        const auto found = targets_.find(guard);
        if (found == targets_.end() || !is_usable(found->second, now, tried)) {
            return false;
        }
        const double value = score(found->second, guard == prefix_guard);
        if (best == nullptr || value < best_score) {
            best = &found->second;
            best_score = value;
        }
        return true;
    };

    // Scans the guards from a random start. This is as good as independent draws, and ends after
    // one round if few guards are usable.
    const std::size_t start = random_.below(guards.size());
    const std::size_t candidate_count = settings_.policy == routing_policy::random        ? 1
                                        : settings_.policy == routing_policy::two_choices ? 2
                                        : settings_.policy == routing_policy::least_loaded
                                            ? guards.size()
                                            : settings_.candidates;
    std::size_t considered = 0;
    for (std::size_t step = 0; step < guards.size() && considered < candidate_count; ++step) {
        considered += consider(guards[(start + step) % guards.size()]) ? 1 : 0;
    }
    if (settings_.policy == routing_policy::expected_wait && prefix_guard != incarnation_id{}) {
        consider(prefix_guard);
    }
    return best == nullptr ? nullptr : &best->target;
}

void target_picker::record_sent(incarnation_id guard, std::uint64_t prefix) {
    const auto found = targets_.find(guard);
    if (found == targets_.end()) {
        return;
    }
    ++found->second.in_flight;
    ++found->second.sent_since_report;
    if (prefix == 0) {
        return;
    }
    if (prefix_guards_.size() >= max_prefixes) {
        prefix_guards_.clear();
    }
    prefix_guards_[prefix] = guard;
}

void target_picker::update_load(incarnation_id guard, const load_report& load) {
    const auto found = targets_.find(guard);
    if (found == targets_.end()) {
        return;
    }
    found->second.load = load;
    found->second.sent_since_report = 0;
}

void target_picker::record_finished(incarnation_id guard) {
    const auto found = targets_.find(guard);
    if (found != targets_.end() && found->second.in_flight > 0) {
        --found->second.in_flight;
    }
}

void target_picker::record_failure(instant now, incarnation_id guard) {
    const auto found = targets_.find(guard);
    if (found == targets_.end()) {
        return;
    }
    target_state& state = found->second;
    const unsigned doublings = std::min(state.failures, max_doublings);
    const microseconds length =
        std::min(settings_.initial_ejection * (1U << doublings), settings_.max_ejection);
    state.ejected_until = now + length;
    ++state.failures;
}

void target_picker::record_success(incarnation_id guard) {
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

bool target_picker::is_usable(const target_state& state, instant now,
                              std::span<const incarnation_id> tried) const {
    if (state.load.draining || state.ejected_until > now) {
        return false;
    }
    return std::find(tried.begin(), tried.end(), state.target.guard) == tried.end();
}

double target_picker::expected_wait(const target_state& state) const {
    const double limit = std::max(1U, state.load.limit);
    const double outstanding = state.load.running + state.load.queued + state.sent_since_report;
    // Below the limit a request does not queue, although a fuller batch is slower; above it, it
    // waits for the requests ahead of it.
    const double excess = std::max(outstanding + 1.0 - limit, 0.0);
    return outstanding / limit + excess;
}

double target_picker::score(const target_state& state, bool prefix_hit) const {
    switch (settings_.policy) {
        case routing_policy::random:
            return 0.0;
        case routing_policy::least_loaded:
            return state.load.running + state.load.queued;
        case routing_policy::two_choices:
            return state.load.running + state.load.queued + state.sent_since_report;
        case routing_policy::expected_wait:
            break;
    }
    double value = expected_wait(state);
    if (state.target.failure_domain != settings_.failure_domain) {
        value += settings_.cross_domain_penalty;
    }
    if (prefix_hit) {
        value -= settings_.prefix_hit_bonus / std::max(1U, state.load.limit);
    }
    return value;
}

}  // namespace wrenswitch
