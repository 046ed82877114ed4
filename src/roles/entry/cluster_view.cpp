#include "roles/entry/cluster_view.hpp"

#include <algorithm>
#include <set>

#include "wrenswitch/decision/routing/rendezvous.hpp"

namespace wrenswitch {
namespace {

/// How long a member that did not reply comes last in the order of preference.
constexpr microseconds unresponsive_duration = seconds(3);

/// Number of successors in the ring that each entry monitors, and of entries that monitor a guard.
constexpr std::size_t watched_neighbours = 2;

}  // namespace

cluster_view::cluster_view(const entry_settings& settings, const control_state& control,
                           target_picker& picker)
    : settings_(settings), control_(control), picker_(picker) {}

std::string cluster_view::allocator_group(const member& other) const {
    return settings_.scope == allocator_scope::region
               ? other.info.region
               : other.info.region + "/" + other.info.failure_domain;
}

void cluster_view::rebuild() {
    const std::string own_group =
        settings_.scope == allocator_scope::region
            ? settings_.process.region
            : settings_.process.region + "/" + settings_.process.failure_domain;
    const instant now = monotonic_now();
    std::set<std::string> groups;
    std::vector<const member*> group_members;
    group_entries_.clear();
    guards_.clear();
    allocator_orders_.clear();
    for (const auto& [id, other] : control_.members()) {
        if (!other.active()) {
            last_activity_.erase(id);
            unresponsive_until_.erase(id);
            continue;
        }
        last_activity_.try_emplace(id, now);
        if (other.info.role == member_role::guard) {
            guards_.push_back(id);
            continue;
        }
        groups.insert(allocator_group(other));
        if (allocator_group(other) == own_group) {
            group_entries_.push_back(id);
            group_members.push_back(&other);
        }
    }
    allocator_count_ = static_cast<unsigned>(std::max<std::size_t>(groups.size(), 1));
    rebuild_targets();
    rebuild_watched(group_members);
}

void cluster_view::rebuild_targets() {
    std::vector<routable_target> targets;
    for (const incarnation_id id : guards_) {
        const member& guard = *control_.find(id);
        if (control_.config().drained_hosts().count(guard.info.host) > 0) {
            continue;
        }
        targets.push_back({id, guard.info.service, guard.info.failure_domain, guard.info.host,
                           guard.info.endpoint});
    }
    picker_.set_targets(targets);
}

void cluster_view::rebuild_watched(const std::vector<const member*>& entries) {
    watched_.clear();
    // Members are sorted by incarnation, which defines the ring.
    const auto self = std::find_if(entries.begin(), entries.end(), [this](const member* other) {
        return other->incarnation == incarnation_;
    });
    if (self == entries.end()) {
        return;
    }
    const auto position = static_cast<std::size_t>(self - entries.begin());
    const std::size_t neighbours = std::min(watched_neighbours, entries.size() - 1);
    for (std::size_t step = 1; step <= neighbours; ++step) {
        watched_.push_back(entries[(position + step) % entries.size()]->incarnation);
    }
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(entries.size());
    for (const member* other : entries) {
        candidates.push_back({other->incarnation, other->info.endpoint});
    }
    for (const incarnation_id guard : guards_) {
        if (control_.find(guard)->info.region != settings_.process.region) {
            continue;
        }
        const auto order = rendezvous_order(raw(guard), candidates);
        const std::size_t watchers = std::min(watched_neighbours, order.size());
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(watchers);
        if (std::find(order.begin(), end, incarnation_) != end) {
            watched_.push_back(guard);
        }
    }
}

const std::vector<incarnation_id>& cluster_view::allocator_order(shard_index shard) const {
    const auto known = allocator_orders_.find(shard);
    if (known != allocator_orders_.end()) {
        return known->second;
    }
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(group_entries_.size());
    for (const incarnation_id id : group_entries_) {
        candidates.push_back({id, control_.find(id)->info.endpoint});
    }
    return allocator_orders_.emplace(shard, rendezvous_order(raw(shard), candidates)).first->second;
}

std::vector<incarnation_id> cluster_view::allocators_of(shard_index shard, instant now) const {
    std::vector<incarnation_id> order = allocator_order(shard);
    std::stable_partition(order.begin(), order.end(),
                          [&](incarnation_id id) { return !is_unresponsive(id, now); });
    return order;
}

bool cluster_view::is_primary_allocator(shard_index shard) const {
    const std::vector<incarnation_id>& order = allocator_order(shard);
    return !order.empty() && order.front() == incarnation_;
}

std::string cluster_view::endpoint_of(incarnation_id incarnation) const {
    const member* known = control_.find(incarnation);
    return known == nullptr ? std::string() : known->info.endpoint;
}

void cluster_view::record_activity(instant now, incarnation_id incarnation) {
    const auto known = last_activity_.find(incarnation);
    if (known != last_activity_.end()) {
        known->second = now;
        unresponsive_until_.erase(incarnation);
    }
}

instant cluster_view::last_activity(incarnation_id incarnation) const {
    const auto known = last_activity_.find(incarnation);
    return known == last_activity_.end() ? instant{} : known->second;
}

void cluster_view::mark_unresponsive(instant now, incarnation_id incarnation) {
    unresponsive_until_[incarnation] = now + unresponsive_duration;
}

bool cluster_view::is_unresponsive(incarnation_id incarnation, instant now) const {
    const auto known = unresponsive_until_.find(incarnation);
    return known != unresponsive_until_.end() && known->second > now;
}

}  // namespace wrenswitch
