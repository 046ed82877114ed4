#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "roles/entry/entry_settings.hpp"
#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// What an entry knows of the other processes: who they are, from the control stream; and how long
/// each has been silent, from their own words.
class fleet_view {
public:
    fleet_view(const entry_settings& settings, const control_state& control, target_picker& picker);

    /// The incarnation of this process changed.
    void set_own(incarnation_id own) { own_ = own; }

    /// Members or drained hosts changed.
    void rebuild();

    /// The homes of a shard for this entry, in order of preference. Those that are suspected to be
    /// gone come last.
    std::vector<incarnation_id> homes_of(shard_index shard, instant now) const;

    /// True if this entry is the first home of a shard.
    bool serves(shard_index shard) const;

    /// The number of homes that a budget can have.
    unsigned home_count() const { return home_count_; }

    /// All active guards.
    const std::vector<incarnation_id>& guards() const { return guards_; }

    /// The endpoint of a member, or an empty text.
    std::string endpoint_of(incarnation_id incarnation) const;

    /// Something came from this member.
    void heard(instant now, incarnation_id incarnation);

    /// When the member was heard last, or when this entry first knew of it.
    instant last_heard(incarnation_id incarnation) const;

    /// The member did not answer in time.
    void suspect(instant now, incarnation_id incarnation);

    /// The members that this entry must watch: its neighbours among the entries of its home group
    /// and the guards that fall to it.
    const std::vector<incarnation_id>& watched() const { return watched_; }

    const control_state& control() const { return control_; }

private:
    std::string group_of(const member& other) const;
    void rebuild_targets();
    void rebuild_watched(const std::vector<const member*>& entries);
    bool suspected(incarnation_id incarnation, instant now) const;
    const std::vector<incarnation_id>& order_of(shard_index shard) const;

    const entry_settings& settings_;
    const control_state& control_;
    target_picker& picker_;
    incarnation_id own_{};
    /// The active entries of this entry's home group.
    std::vector<incarnation_id> group_;
    /// The order of each shard's homes, worked out once until members change.
    mutable std::unordered_map<shard_index, std::vector<incarnation_id>> orders_;
    std::vector<incarnation_id> guards_;
    std::vector<incarnation_id> watched_;
    unsigned home_count_ = 1;
    std::unordered_map<incarnation_id, instant> heard_;
    std::unordered_map<incarnation_id, instant> suspected_until_;
};

}  // namespace wrenswitch
