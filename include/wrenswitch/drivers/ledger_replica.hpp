#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"
#include "wrenswitch/drivers/ledger_codec.hpp"
#include "wrenswitch/drivers/record_appender.hpp"
#include "wrenswitch/drivers/snapshot_schedule.hpp"
#include "wrenswitch/drivers/stream_follower.hpp"

namespace wrenswitch {

/// What a replica tells its owner.
struct ledger_replica_hooks {
    /// A batch was applied, with its outcomes; `own` if this replica wrote it.
    std::function<void(const ledger_batch&, std::span<const operation_outcome>, bool own)> applied;
    /// All that the log holds is applied.
    std::function<void()> caught_up;
    /// The state was replaced by a snapshot, so that outcomes may have been missed.
    std::function<void()> restored;
};

/// A copy of one ledger shard, kept by reading its stream, and the way to append to it.
class ledger_replica {
public:
    ledger_replica(event_loop& loop, log_service& log, shard_index shard,
                   std::uint64_t snapshot_records, random_source& random, metrics& counters,
                   ledger_replica_hooks hooks);
    ~ledger_replica();
    ledger_replica(const ledger_replica&) = delete;
    ledger_replica& operator=(const ledger_replica&) = delete;

    void start() { follower_.start(); }

    const ledger_state& state() const { return state_; }
    log_offset position() const { return follower_.position(); }
    bool live() const { return follower_.live(); }

    /// False while the log does not answer, or takes too long to.
    bool log_healthy(instant now) const;

    /// Takes on an incarnation as writer. What was under way for an earlier one is given up.
    void set_writer(incarnation_id writer);

    /// Appends a batch. There must be none under way.
    void submit(std::vector<ledger_operation> operations);
    bool busy() const { return appender_.busy(); }

    /// To be called every second or so: writes a snapshot if one is due.
    void tick(instant now);

private:
    void apply(log_offset offset, std::string_view bytes);
    void apply_batch(const ledger_batch& batch);
    bool load(const snapshot_image& image);
    void write_snapshot();

    log_service& log_;
    std::string stream_;
    random_source& random_;
    metrics& counters_;
    ledger_replica_hooks hooks_;
    ledger_state state_;
    record_appender appender_;
    snapshot_schedule schedule_;
    stream_follower follower_;
    incarnation_id writer_{};
    std::uint64_t sequence_ = 0;
};

/// The name of a shard's stream.
std::string ledger_stream_of(shard_index shard);

}  // namespace wrenswitch
