#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The targets of versions that this process met in the list of targets, and for which it can't yet
/// know whether an operator has ordered a roll-out to them: the order may stand in a log that it
/// hasn't read so far. An order is written before its targets start, so that a look at that log
/// which began after the target was met settles it.
class version_quarantine {
public:
    /// A target of a version that no other one of its service has was met.
    void add(instant now, std::string_view id) { since_.emplace(id, now); }

    void remove(std::string_view id) {
        const auto found = since_.find(id);
        if (found != since_.end()) {
            since_.erase(found);
        }
    }

    /// The log of orders was read to its end by a read that began then.
    void orders_read(instant began) {
        std::erase_if(since_, [began](const auto& entry) { return entry.second < began; });
    }

    bool contains(std::string_view id) const { return since_.contains(id); }
    bool empty() const { return since_.empty(); }

private:
    std::map<std::string, instant, std::less<>> since_;
};

}  // namespace wrenswitch
