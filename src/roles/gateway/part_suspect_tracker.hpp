#pragma once

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/suspects/part_suspect_table.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// A gateway's view of the prompt parts that may crash engines: logs what changes, waits for
/// survivors before evidence against a part that is known as sound is shared, and lets one attempt
/// at a time try a quarantined part again.
class part_suspect_tracker {
public:
    struct hooks {
        /// Evidence of this gateway's own attempts is to be made known to the other gateways.
        std::function<void(const crash_evidence& crash)> share;
        /// A part is quarantined. Called from the event loop, never from within a method of this
        /// class.
        std::function<void(const digest& part)> quarantined;
        /// True if this gateway is the first of all for a name.
        std::function<bool(std::string_view name)> is_first_for;
    };

    /// The loop and the counters must outlive the tracker.
    part_suspect_tracker(event_loop& loop, metrics& counters, const part_suspect_settings& settings,
                         hooks callbacks);
    ~part_suspect_tracker();
    part_suspect_tracker(const part_suspect_tracker&) = delete;
    part_suspect_tracker& operator=(const part_suspect_tracker&) = delete;

    /// True if evidence of an own attempt isn't shared yet: an attempt survived the part recently,
    /// and another one may do so within a moment. It is shared after that if none does.
    bool awaits_survivor(const crash_evidence& crash);

    /// Adds evidence. `source` says how this gateway knows, for logs.
    void add(const crash_evidence& crash, std::string_view source);

    /// Removes evidence that another gateway has withdrawn.
    void remove(const crash_evidence& crash, std::string_view source);

    /// An attempt began to write on the part, and has ended or survived it.
    void begin_writing(const digest& part) { table_.begin_writing(monotonic_now(), part); }
    void end_writing(const digest& part) { table_.end_writing(part); }

    /// Records that an attempt which began to write at `began` survived the part. Returns the
    /// evidence that this removes.
    std::vector<crash_evidence> record_survival(const digest& part, instant began);

    suspicion suspicion_of(const digest& part) const;

    /// True if this gateway is the one that may try a quarantined part now: one of the fleet at a
    /// time, and another one after each crash and each `trial_turn`, so that one that is gone or
    /// gets no such requests doesn't keep the part in quarantine.
    bool may_try(const digest& part) const;

    /// True if an attempt with these parts may try one of them. Each other one has to be less
    /// likely than that to be the cause of a crash, or to be due for a trial itself.
    bool may_try_any(std::span<const digest> parts) const;

    /// Records that a request was refused because the part is quarantined.
    void record_refusal(const digest& part) { table_.record_refusal(part); }

    /// Begins a trial. False if another one is in flight here.
    bool try_begin_trial(const digest& part);
    void end_trial(const digest& part) { trials_.erase(part); }

    bool contains(const crash_evidence& crash) const { return table_.contains(crash); }
    part_record record_of(const digest& part) const { return table_.record_of(part); }
    std::size_t size() const { return table_.size(); }

    /// Quarantines the parts that are due for it.
    void update(instant now);

    std::vector<crash_evidence> evict_expired(instant now) { return table_.evict_expired(now); }

private:
    bool is_trial_due(const digest& part) const;
    bool may_stand_beside(const digest& part, const digest& tried) const;
    void log_suspected(const crash_evidence& crash, std::string_view source) const;

    event_loop& loop_;
    metrics& counters_;
    hooks hooks_;
    microseconds trial_turn_;
    part_suspect_table table_;
    /// The parts with a trial in flight at this gateway.
    std::set<digest> trials_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
