#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/rollout/rollout_table.hpp"
#include "wrenswitch/drivers/keyed_follower.hpp"

namespace wrenswitch {

/// A record of the log of roll-outs, and back. Nothing if the record is damaged.
keyed_record encode_rollout(const rollout_record& record);
std::optional<rollout_record> decode_rollout(const keyed_record& record);

/// What a ledger of roll-outs calls and needs.
struct rollout_ledger_hooks {
    /// What the log holds of a service changed.
    std::function<void(const rollout_record&)> changed;
    /// The record of the status log that shows a roll-out to operators.
    std::function<keyed_record(const rollout_record&)> write_status;
    std::function<void(bool reachable)> reachable;
};

/// The fleet's log of roll-outs, as one process follows and writes it. It is the arbiter: a record
/// counts once it was read back. What operators read is a copy of it in a log of its own, which a
/// process that decides brings up to date.
class rollout_ledger {
public:
    rollout_ledger(event_loop& loop, keyed_log& log, std::string name, std::string status_name,
                   metrics& counters, rollout_ledger_hooks hooks);
    ~rollout_ledger();
    rollout_ledger(const rollout_ledger&) = delete;
    rollout_ledger& operator=(const rollout_ledger&) = delete;

    /// Begins to follow the log, if that isn't so yet. Until then no call is made: a fleet without
    /// orders pays nothing for roll-outs.
    void start();

    /// True once all was read that the log held at the last look.
    bool live() const;

    const rollout_table& table() const { return table_; }

    /// Wants a record in the log. It is appended under the condition that nothing else was since
    /// this process last looked, again until the log has it or one that excludes it.
    void propose(const rollout_record& record);

    /// Sees to it that the status log shows what the log of roll-outs holds. Only the process that
    /// decides calls it.
    void publish(const rollout_record& record);

private:
    struct state;
    std::unique_ptr<state> state_;
    rollout_table table_;
};

}  // namespace wrenswitch
