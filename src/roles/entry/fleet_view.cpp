#include "roles/entry/fleet_view.hpp"

#include <algorithm>
#include <set>

#include "wrenswitch/decision/routing/rendezvous.hpp"

namespace wrenswitch {
namespace {

/// How long a member that did not answer is asked last.
constexpr microseconds suspicion = seconds(3);

/// How many neighbours in the ring of entries each entry watches.
constexpr std::size_t watched_neighbours = 2;

}  // namespace

fleet_view::fleet_view(const entry_settings& settings, const control_state& control,
                       target_picker& picker)
    : settings_(settings), control_(control), picker_(picker) {}

std::string fleet_view::group_of(const member& other) const {
    return settings_.scope == home_scope::region
               ? other.info.region
               : other.info.region + "/" + other.info.failure_domain;
}

void fleet_view::rebuild() {
    const std::string own_group =
        settings_.scope == home_scope::region
            ? settings_.process.region
            : settings_.process.region + "/" + settings_.process.failure_domain;
    const instant now = monotonic_now();
    std::set<std::string> groups;
    std::vector<const member*> group_members;
    group_.clear();
    guards_.clear();
    orders_.clear();
    for (const auto& [id, other] : control_.members()) {
        if (!other.active()) {
            heard_.erase(id);
            suspected_until_.erase(id);
            continue;
        }
        heard_.try_emplace(id, now);
        if (other.info.role == member_role::guard) {
            guards_.push_back(id);
            continue;
        }
        groups.insert(group_of(other));
        if (group_of(other) == own_group) {
            group_.push_back(id);
            group_members.push_back(&other);
        }
    }
    home_count_ = static_cast<unsigned>(std::max<std::size_t>(groups.size(), 1));
    rebuild_targets();
    rebuild_watched(group_members);
}

void fleet_view::rebuild_targets() {
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

void fleet_view::rebuild_watched(const std::vector<const member*>& entries) {
    watched_.clear();
    // Members come in the order of their identifiers, which makes the ring.
    const auto own = std::find_if(entries.begin(), entries.end(), [this](const member* other) {
        return other->incarnation == own_;
    });
    if (own == entries.end()) {
        return;
    }
    const auto place = static_cast<std::size_t>(own - entries.begin());
    const std::size_t neighbours = std::min(watched_neighbours, entries.size() - 1);
    for (std::size_t step = 1; step <= neighbours; ++step) {
        watched_.push_back(entries[(place + step) % entries.size()]->incarnation);
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
        if (std::find(order.begin(), end, own_) != end) {
            watched_.push_back(guard);
        }
    }
}

const std::vector<incarnation_id>& fleet_view::order_of(shard_index shard) const {
    const auto known = orders_.find(shard);
    if (known != orders_.end()) {
        return known->second;
    }
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(group_.size());
    for (const incarnation_id id : group_) {
        candidates.push_back({id, control_.find(id)->info.endpoint});
    }
    return orders_.emplace(shard, rendezvous_order(raw(shard), candidates)).first->second;
}

std::vector<incarnation_id> fleet_view::homes_of(shard_index shard, instant now) const {
    std::vector<incarnation_id> order = order_of(shard);
    std::stable_partition(order.begin(), order.end(),
                          [&](incarnation_id id) { return !suspected(id, now); });
    return order;
}

bool fleet_view::serves(shard_index shard) const {
    const std::vector<incarnation_id>& order = order_of(shard);
    return !order.empty() && order.front() == own_;
}

std::string fleet_view::endpoint_of(incarnation_id incarnation) const {
    const member* known = control_.find(incarnation);
    return known == nullptr ? std::string() : known->info.endpoint;
}

void fleet_view::heard(instant now, incarnation_id incarnation) {
    const auto known = heard_.find(incarnation);
    if (known != heard_.end()) {
        known->second = now;
        suspected_until_.erase(incarnation);
    }
}

instant fleet_view::last_heard(incarnation_id incarnation) const {
    const auto known = heard_.find(incarnation);
    return known == heard_.end() ? instant{} : known->second;
}

void fleet_view::suspect(instant now, incarnation_id incarnation) {
    suspected_until_[incarnation] = now + suspicion;
}

bool fleet_view::suspected(incarnation_id incarnation, instant now) const {
    const auto known = suspected_until_.find(incarnation);
    return known != suspected_until_.end() && known->second > now;
}

}  // namespace wrenswitch
