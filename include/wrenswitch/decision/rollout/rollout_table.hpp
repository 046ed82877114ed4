#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/decision/rollout/rollout_order.hpp"

namespace wrenswitch {

/// The newest record of each service, built by applying the rollout log in order, so that every
/// reader has the same table. A final state can't be replaced by a record of the same order, and
/// records of older orders are ignored.
class rollout_table {
public:
    /// Applies a record. False, without a change, if the current one doesn't allow it.
    bool apply(const rollout_record& record);

    /// True if `apply` would accept the record.
    bool accepts(const rollout_record& record) const;

    /// The current record of a service, or null.
    const rollout_record* find(std::string_view service) const;

    const std::map<std::string, rollout_record, std::less<>>& all() const { return records_; }

private:
    std::map<std::string, rollout_record, std::less<>> records_;
};

}  // namespace wrenswitch
