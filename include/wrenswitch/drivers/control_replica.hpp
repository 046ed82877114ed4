#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/drivers/control_codec.hpp"
#include "wrenswitch/drivers/record_appender.hpp"
#include "wrenswitch/drivers/snapshot_schedule.hpp"
#include "wrenswitch/drivers/stream_follower.hpp"

namespace wrenswitch {

/// What a replica tells its owner.
struct control_replica_hooks {
    /// A record was applied.
    std::function<void(const control_record&, const control_effect&, log_offset)> applied;
    /// All that the log holds is applied.
    std::function<void()> caught_up;
    /// The state was replaced by a snapshot.
    std::function<void()> restored;
};

/// A copy of the control state, kept by reading its stream, and the way to append to it.
class control_replica {
public:
    /// Told the outcome of an operator's change once it was read back.
    using change_hook = std::function<void(change_outcome)>;

    control_replica(event_loop& loop, log_service& log, std::uint64_t snapshot_records,
                    random_source& random, metrics& counters, control_replica_hooks hooks);
    ~control_replica();
    control_replica(const control_replica&) = delete;
    control_replica& operator=(const control_replica&) = delete;

    void start() { follower_.start(); }

    const control_state& state() const { return state_; }
    log_offset position() const { return follower_.position(); }
    bool live() const { return follower_.live(); }
    bool log_healthy(instant now) const;

    /// When the state was last known to be that of the log's end.
    instant last_contact() const { return last_contact_; }

    /// Takes on an incarnation as writer. What was queued for an earlier one is dropped.
    void set_writer(incarnation_id writer);

    /// Queues a record; records go out one at a time and in order.
    void submit(control_record_kind kind);

    /// True if nothing waits to be appended or read back.
    bool idle() const { return queue_.empty() && !appender_.busy(); }

    /// Queues an operator's change and reports its outcome when it has been read back.
    void submit_change(change_set set, change_hook done);

    /// To be called every second or so.
    void tick(instant now);

private:
    void apply(log_offset offset, std::string_view bytes);
    bool load(const snapshot_image& image);
    void pump();
    void write_snapshot();

    log_service& log_;
    random_source& random_;
    metrics& counters_;
    control_replica_hooks hooks_;
    control_state state_;
    record_appender appender_;
    snapshot_schedule schedule_;
    stream_follower follower_;
    incarnation_id writer_{};
    std::uint64_t sequence_ = 0;
    std::deque<control_record_kind> queue_;
    std::unordered_map<operation_id, change_hook> awaited_changes_;
    instant last_contact_{};
};

/// The name of the stream that every entry and guard reads.
constexpr std::string_view control_stream = "control";

}  // namespace wrenswitch
