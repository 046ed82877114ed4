#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/suspects/crash_evidence.hpp"
#include "wrenswitch/decision/suspects/recent_times.hpp"
#include "wrenswitch/decision/suspects/suspicion.hpp"

namespace wrenswitch {

/// Settings of part_suspect_table.
struct part_suspect_settings {
    /// The crashes from which on a part is suspected, and those one after the other from which on
    /// it is quarantined after the grace time.
    std::size_t suspicion_threshold = 2;
    std::size_t quarantine_threshold = 3;
    /// Crashes within this time count as simultaneous: engines that crash together have a cause of
    /// their own, and may all have run the same part.
    microseconds simultaneous_time = milliseconds(300);
    /// The crashes, also simultaneous ones, from which on a part is quarantined without a grace
    /// time. A part that was survived recently needs as many to be quarantined at all.
    std::size_t certain_threshold = 5;
    /// How long an attempt may show that it survives the part: after the crash that reaches the
    /// quarantine threshold, and for a part that was survived recently after the one that reaches
    /// the certain threshold.
    microseconds grace = milliseconds(700);
    microseconds survived_grace = seconds(2);
    /// How long a survival counts as recent.
    microseconds survival_lifetime = seconds(30);
    /// After the last crash, until one attempt may try the part again: below the certain threshold
    /// and from it on. Each further crash doubles it.
    microseconds trial_delay = seconds(30);
    microseconds certain_trial_delay = seconds(600);
    unsigned max_doublings = 6;
    /// The refused requests after which one attempt may try the part earlier, the factor for each
    /// further crash, how many times, and how soon after the last crash: a part that many callers
    /// need may have been quarantined by mistake.
    std::size_t refusals_for_trial = 8;
    std::size_t refusals_factor = 8;
    std::size_t max_early_trials = 2;
    microseconds early_trial_delay = seconds(1);
    /// How long one entry has the turn to try a part.
    microseconds trial_turn = seconds(10);
    /// How long an attempt that writes has to go on until it has survived its parts.
    microseconds survival_time = seconds(1);
    /// How long evidence is kept after the last crash.
    microseconds evidence_retention = seconds(7200);
    std::size_t max_parts = 4096;
    /// The newest crashes under one part are kept.
    std::size_t max_crashes_per_part = 32;
    std::size_t max_survivals = 4096;
};

/// What is known of a part, for logs.
struct part_record {
    std::size_t crashes = 0;
    /// When the latest attempt that survived the part at this entry began to write, if remembered.
    std::optional<instant> survived;
    /// The first and the last crash that still count.
    instant first_crash{};
    instant last_crash{};
};

/// Tracks prompt parts that may crash the engines that begin to write an answer on them, whatever
/// else the prompts hold.
///
/// Most parts are shared by many requests, so that a crash interrupts attempts with sound parts as
/// well. What tells them apart are survivors: attempts with the part that began to write after the
/// crash and went on. One survivor removes all earlier evidence against a part. Crashes that a
/// quarantined part explains don't count against other parts, until it is acquitted.
class part_suspect_table {
public:
    explicit part_suspect_table(part_suspect_settings settings = {})
        : settings_(settings), survivals_(settings.max_survivals, settings.survival_lifetime / 2) {}

    /// Adds evidence of a crash at a time of this entry's clock. False if it is known or too old to
    /// be kept. One crash counts once, however many entries report it.
    bool add(instant now, const crash_evidence& evidence, instant crashed);

    /// Removes evidence that was withdrawn: an attempt survived the part at another entry. True if
    /// it was present.
    bool withdraw(const crash_evidence& evidence);

    /// Removes evidence. True if it was present.
    bool remove(const crash_evidence& evidence);

    /// An attempt at this entry began to write on the part. The part isn't quarantined before it
    /// had the time to survive the part.
    void begin_writing(instant now, const digest& part);
    /// It ended, or has survived the part.
    void end_writing(const digest& part);

    /// Records that an attempt which began to write at `began` survived the part. Returns the
    /// evidence that this removes: that of crashes that were known before.
    std::vector<crash_evidence> record_survival(const digest& part, instant began);

    /// True if an attempt that began to write after `since` survived the part at this entry.
    bool is_survived_since(const digest& part, instant since) const;

    /// True if an attempt survived the part at this entry within the survival lifetime.
    bool is_survived_recently(instant now, const digest& part) const;

    /// Quarantines the parts that are due for it and returns them. The parts with the most crashes
    /// come first, since they may explain those of the others.
    std::vector<digest> quarantine_due(instant now);

    suspicion suspicion_of(instant now, const digest& part) const;

    /// Records that a request was refused because the part is quarantined.
    void record_refusal(const digest& part);

    /// True if a part is less likely than another one to be the cause of a crash under both: it
    /// stands in fewer crashes or was survived recently.
    bool is_less_suspect(instant now, const digest& part, const digest& than) const;

    /// True if the part is quarantined and it is time for an attempt to show whether it still
    /// crashes engines.
    bool is_trial_due(instant now, const digest& part) const;

    bool contains(const crash_evidence& evidence) const;
    part_record record_of(const digest& part) const;

    /// Removes and returns the evidence that has expired or exceeds the capacity.
    std::vector<crash_evidence> evict_expired(instant now);

    /// The number of parts with evidence.
    std::size_t size() const { return suspects_.size(); }

private:
    struct crash_times {
        instant crashed{};
        instant learnt{};
    };

    struct suspect {
        std::map<target_incarnation, crash_times> crashes;
        /// When each of them happened, in this order.
        std::vector<instant> crashed;
        bool is_quarantined = false;
        /// True if quarantined parts explain so many of the crashes that the rest raises no
        /// suspicion.
        bool is_explained = false;
        /// When this entry learnt of the last crash. Other hosts' clocks, by which the crashes are
        /// dated, decide neither about trials nor about expiry.
        instant last_learnt{};
        /// Requests that this entry refused since the quarantine began or the last crash.
        std::size_t refusals = 0;
    };

    std::vector<const suspect*> quarantined_suspects() const;
    void update_explained();
    std::vector<digest> strongest_due(instant now) const;
    bool is_due(instant now, const digest& part, std::span<const instant> crashed) const;
    bool is_awaiting_survivor(instant now, const digest& part) const;
    std::size_t failed_trials(const suspect& entry) const;

    std::vector<instant> unexplained_crashes(const suspect& entry,
                                             std::span<const suspect* const> quarantined) const;
    std::vector<instant> successive_crashes(std::span<const instant> crashed) const;
    bool is_early_trial_due(instant now, const suspect& entry) const;
    void erase_oldest(suspect& entry);
    void erase_crash(suspect& entry, const target_incarnation& incarnation);
    std::vector<crash_evidence> drop(const digest& part);
    const digest* weakest_suspect() const;
    microseconds trial_delay(const suspect& entry) const;

    part_suspect_settings settings_;
    std::unordered_map<digest, suspect> suspects_;
    /// When the latest survivor of each part began to write.
    recent_times survivals_;
    struct writing_attempts {
        std::size_t count = 0;
        instant last_began{};
    };

    /// Attempts that have begun to write on each part and haven't survived it yet.
    std::unordered_map<digest, writing_attempts> writing_;
};

}  // namespace wrenswitch
