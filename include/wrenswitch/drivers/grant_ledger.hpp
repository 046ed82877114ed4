#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/grant_table.hpp"
#include "wrenswitch/drivers/keyed_follower.hpp"
#include "wrenswitch/drivers/race_backoff.hpp"

namespace wrenswitch {

/// A grant record as a record of a keyed log, and back. Nothing if the record is damaged.
keyed_record encode_grant(const grant_record& record);
std::optional<grant_record> decode_grant(const keyed_record& record);

/// What a ledger calls.
struct grant_ledger_hooks {
    /// Records to append at the end of what the table holds.
    std::function<std::vector<grant_record>()> compose;
    /// The table changed, or an append's fate is settled.
    std::function<void()> changed;
    /// The end that the last records were composed for is taken.
    std::function<void()> resolved;
    std::function<void(bool reachable)> reachable;
    /// The host name in the keys of this process's own records.
    std::string own_host = {};
};

/// The table of grants as its log has it, and the one way to append to it. An append names the end
/// of the log as it was read; if another writer was faster it is composed anew.
///
/// Grants missing from a store that was restored from an older copy stay in the table and remain
/// granted. Each process rewrites its own records at once, and those of other hosts after a delay
/// if they are still missing. Draws are suspended meanwhile, because the latest grants may be known
/// only to their holders.
class grant_ledger {
public:
    grant_ledger(event_loop& loop, keyed_log& log, std::string name, metrics& counters,
                 grant_ledger_hooks hooks);
    ~grant_ledger();
    grant_ledger(const grant_ledger&) = delete;
    grant_ledger& operator=(const grant_ledger&) = delete;

    void start() { follower_.start(); }

    const grant_table& table() const { return table_; }
    bool live() const { return follower_.live(); }
    std::uint64_t position() const { return follower_.position(); }

    /// When the log last answered a read.
    instant last_answer() const { return follower_.last_answer(); }

    /// How long it took of late from the first try of an append to its success, lost races
    /// included. What an outage of the log held up doesn't count.
    microseconds append_time() const { return append_time_; }

    /// Appends what there is to append, unless an append is under way. The log is looked at first
    /// if that was some time ago, since an append at an old end only loses a race.
    void append_if_due();

private:
    void on_changed(const keyed_record& record);
    void on_restored(std::span<const std::string> lost);
    bool is_own(const grant_key& key) const { return key.host == hooks_.own_host; }
    bool is_outdated(const grant_record& record) const;
    bool may_draw() const;
    std::vector<grant_record> due_records();
    void on_caught_up();
    void retry_after_race();
    void append_now(const std::vector<grant_record>& wanted);
    void on_appended(std::uint64_t at, const std::vector<keyed_record>& records,
                     const result<std::uint64_t>& end);
    void settle(std::uint64_t position);
    void note_append_time();

    event_loop& loop_;
    keyed_log& log_;
    race_backoff backoff_;
    std::string name_;
    metrics& counters_;
    grant_ledger_hooks hooks_;
    grant_table table_;
    keyed_follower follower_;
    /// The last value that this process tried to append for each of its own grants.
    std::map<grant_key, grant> last_appended_;
    /// Grants that are missing or outdated in the restored log and have to be rewritten.
    std::set<grant_key> lost_grants_;
    /// When the latest restore of the log was detected.
    std::optional<instant> restored_at_;
    /// When the first full read of the log completed.
    std::optional<instant> live_since_;
    bool appending_ = false;
    /// True while the log is looked at for an append.
    bool looking_ = false;
    /// True while there is something to append.
    bool due_ = false;
    /// When the present append was first tried, if none has succeeded or failed since.
    std::optional<instant> trying_since_;
    microseconds append_time_{};
    /// The end that the last records were composed for, while their fate is open.
    std::optional<std::uint64_t> open_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
