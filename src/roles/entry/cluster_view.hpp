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

/// The view that an entry has of the other processes: membership from the control stream, and
/// liveness from the messages that they send. Selects the token allocators of each shard and the
/// members that this entry monitors.
class cluster_view {
public:
    cluster_view(const entry_settings& settings, const control_state& control,
                 target_picker& picker);

    /// Sets the incarnation of this process. The caller must call rebuild() afterwards.
    void set_incarnation(incarnation_id incarnation) { incarnation_ = incarnation; }

    /// Recomputes the view after members or drained hosts have changed.
    void rebuild();

    /// Returns the entries that can allocate tokens of a shard for this entry, in order of
    /// preference. Unresponsive ones come last.
    std::vector<incarnation_id> allocators_of(shard_index shard, instant now) const;

    /// True if this entry is the preferred token allocator of a shard.
    bool is_primary_allocator(shard_index shard) const;

    /// Number of token allocators per budget: one per region or failure domain with active entries,
    /// depending on the allocator scope.
    unsigned allocator_count() const { return allocator_count_; }

    /// All active guards, including those on drained hosts.
    const std::vector<incarnation_id>& guards() const { return guards_; }

    /// Returns the endpoint of a member, or an empty string if the member is unknown.
    std::string endpoint_of(incarnation_id incarnation) const;

    /// Records that a message was received from this member.
    void record_activity(instant now, incarnation_id incarnation);

    /// Time of the last message from the member, or of the rebuild() that first included it.
    instant last_activity(incarnation_id incarnation) const;

    /// Records that the member did not reply in time.
    void mark_unresponsive(instant now, incarnation_id incarnation);

    /// The members that this entry monitors: its successors in the ring of entries of its allocator
    /// group, and the guards of its region that are assigned to it.
    const std::vector<incarnation_id>& watched() const { return watched_; }

    const control_state& control() const { return control_; }

private:
    std::string allocator_group(const member& other) const;
    void rebuild_targets();
    void rebuild_watched(const std::vector<const member*>& entries);
    bool is_unresponsive(incarnation_id incarnation, instant now) const;
    const std::vector<incarnation_id>& allocator_order(shard_index shard) const;

    const entry_settings& settings_;
    const control_state& control_;
    target_picker& picker_;
    incarnation_id incarnation_{};
    /// The active entries that share a token allocator with this entry.
    std::vector<incarnation_id> group_entries_;
    /// Allocator preference per shard, cached until members change.
    mutable std::unordered_map<shard_index, std::vector<incarnation_id>> allocator_orders_;
    std::vector<incarnation_id> guards_;
    std::vector<incarnation_id> watched_;
    unsigned allocator_count_ = 1;
    std::unordered_map<incarnation_id, instant> last_activity_;
    std::unordered_map<incarnation_id, instant> unresponsive_until_;
};

}  // namespace wrenswitch
