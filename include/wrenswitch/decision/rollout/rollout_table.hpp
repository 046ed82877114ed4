#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/decision/rollout/rollout_order.hpp"

namespace wrenswitch {

/// The fold of the log of roll-outs: every reader applies the records in the log's order and has
/// the same table. A final state stays, whatever follows for the same order; an older order's
/// record changes nothing.
class rollout_table {
public:
    /// Takes a record in. False, with no change, if it isn't valid after what was there.
    bool apply(const rollout_record& record);

    /// True if the record would be taken.
    bool accepts(const rollout_record& record) const;

    /// What is known of a service's newest order that was taken up, or null.
    const rollout_record* find(std::string_view service) const;

    const std::map<std::string, rollout_record, std::less<>>& all() const { return records_; }

private:
    std::map<std::string, rollout_record, std::less<>> records_;
};

}  // namespace wrenswitch
