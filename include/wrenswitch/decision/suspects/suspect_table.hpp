#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/suspects/crash_evidence.hpp"
#include "wrenswitch/decision/suspects/recent_times.hpp"
#include "wrenswitch/decision/suspects/suspicion.hpp"

namespace wrenswitch {

/// Settings of suspect_table.
struct suspect_settings {
    /// The number of target incarnations that have to crash under a request before it is
    /// quarantined. An unrelated request is only in flight at a second and a third crash if it is
    /// repeated into each of them and never succeeds in between.
    std::size_t quarantine_threshold = 3;
    /// The duration of the first quarantine. Each further crash doubles it.
    microseconds base_quarantine = seconds(600);
    unsigned max_doublings = 6;
    /// How long evidence is kept after the quarantine ends, or after the last crash if there is
    /// none.
    microseconds evidence_retention = seconds(7200);
    /// How long a success proves that a request doesn't crash its targets. Much longer than a wave
    /// of crashes, but short enough that a request is detected again when its targets have changed.
    microseconds proof_lifetime = seconds(30);
    std::size_t max_requests = 4096;
    std::size_t max_proven = 4096;
};

/// Tracks requests that may crash their targets ("queries of death"). Every request in flight at a
/// crash becomes a suspect; one that is in flight at several crashes is quarantined, and one that
/// succeeds anywhere is cleared, since a request that crashes its targets never succeeds. The
/// evidence is a set that may arrive in any order and repeatedly, from this entry's attempts, from
/// other entries and from the log; entries with the same evidence reach the same result.
class suspect_table {
public:
    explicit suspect_table(suspect_settings settings = {})
        : settings_(settings), proven_(settings.max_proven, settings.proof_lifetime / 2) {}

    /// Adds evidence. True if it is new. A crash of one incarnation counts once, however many
    /// entries report it.
    bool add(instant now, const crash_evidence& evidence);

    /// Removes evidence. True if it was present.
    bool remove(const crash_evidence& evidence);

    /// Records a success of the request, and returns the evidence against it, which is removed.
    std::vector<crash_evidence> record_success(instant now, const digest& request);

    /// True if the request succeeded here within the proof lifetime.
    bool is_proven(instant now, const digest& request) const;

    suspicion suspicion_of(instant now, const digest& request) const;

    /// True if the table has this evidence.
    bool contains(const crash_evidence& evidence) const;

    /// The number of target incarnations that crashed under the request.
    std::size_t crash_count(const digest& request) const;

    /// All evidence against the request.
    std::vector<crash_evidence> evidence_for(const digest& request) const;

    /// Removes and returns the evidence that has expired or exceeds the capacity.
    std::vector<crash_evidence> evict_expired(instant now);

    /// The number of suspected and quarantined requests.
    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect_entry {
        std::set<target_incarnation> crashes;
        instant last_crash{};
    };

    microseconds quarantine_duration(const suspect_entry& entry) const;
    std::vector<crash_evidence> drop(const digest& request);
    const digest* weakest_suspect() const;

    suspect_settings settings_;
    std::unordered_map<digest, suspect_entry> suspects_;
    /// When each request succeeded.
    recent_times proven_;
};

}  // namespace wrenswitch
