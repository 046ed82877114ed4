#include "wrenswitch/decision/suspects/recent_times.hpp"

#include <algorithm>

namespace wrenswitch {

void recent_times::record(const digest& fingerprint, instant at) {
    entry& recorded = entries_[fingerprint];
    recorded.latest = std::max(recorded.latest, at);
    if (recorded.ordered == instant{} || at - recorded.ordered > resolution_) {
        recorded.ordered = at;
        order_.push_back({fingerprint, at});
    }
    while (order_.size() > max_count_) {
        const position& oldest = order_.front();
        const auto found = entries_.find(oldest.fingerprint);
        if (found != entries_.end() && found->second.ordered == oldest.ordered) {
            entries_.erase(found);
        }
        order_.pop_front();
    }
}

std::optional<instant> recent_times::latest(const digest& fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.latest);
}

}  // namespace wrenswitch
