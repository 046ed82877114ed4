#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Targets with a newly seen version for which this process can't know yet whether the operator has
/// ordered a rollout: the order may be in the part of the log that it hasn't read. Orders are
/// written before their targets start, so a read of the log that began after the target was first
/// seen settles the question.
class version_quarantine {
public:
    /// Adds a target whose version no other target of its service has.
    void add(instant now, std::string_view id) { added_at_.emplace(id, now); }

    void remove(std::string_view id) {
        const auto found = added_at_.find(id);
        if (found != added_at_.end()) {
            added_at_.erase(found);
        }
    }

    /// Releases the targets added before a complete read of the order log that began at
    /// `read_started`.
    void release_before(instant read_started) {
        std::erase_if(added_at_,
                      [read_started](const auto& entry) { return entry.second < read_started; });
    }

    bool contains(std::string_view id) const { return added_at_.contains(id); }
    bool empty() const { return added_at_.empty(); }

private:
    std::map<std::string, instant, std::less<>> added_at_;
};

}  // namespace wrenswitch
