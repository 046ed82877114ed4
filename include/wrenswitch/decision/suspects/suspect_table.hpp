#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/suspects/target_life.hpp"

namespace wrenswitch {

/// What is held of a request by the ends of targets that it was under way at.
enum class suspicion {
    none,
    /// Fewer targets ended under it than it takes: it may have stood beside.
    suspected,
    /// It is sent to no target.
    quarantined,
};

/// The name of a suspicion as logs show it.
std::string_view name_of(suspicion held);

/// One piece of evidence: a target ended while a request was under way at it.
struct suspect_end {
    digest request;
    target_life life;

    friend bool operator==(const suspect_end&, const suspect_end&) = default;
    friend bool operator<(const suspect_end& left, const suspect_end& right) {
        return std::tie(left.request, left.life) < std::tie(right.request, right.life);
    }
};

/// Settings of the table.
struct suspect_settings {
    /// So many lives have to end under a request before it is held to have ended them. A request
    /// that merely stood beside one is met again at a second and a third end only if it is repeated
    /// into each of them and never ends well between.
    std::size_t quarantined_at = 3;
    /// How long a quarantine lasts at first. Each further end doubles it.
    microseconds first_quarantine = seconds(600);
    unsigned most_doublings = 6;
    /// How long evidence is kept behind the end of a quarantine, or behind the last of it.
    microseconds memory = seconds(7200);
    /// A request that ended well has shown for so long that it ends no target. Much longer than a
    /// wave of ends, and short enough that one whose targets have changed is found again.
    microseconds proven_for = seconds(30);
    std::size_t most_requests = 4096;
    std::size_t most_proven = 4096;
};

/// Which requests may have ended their targets. All requests that were under way at an end are
/// suspects, and one that comes to stand at several ends is quarantined; one that ends well
/// anywhere is cleared, since a request that ends its targets never does. The evidence is a set: it
/// may be learnt in any order and more than once, from this entry's runs, from other entries and
/// from the log, and all entries that have learnt the same hold the same.
class suspect_table {
public:
    explicit suspect_table(suspect_settings settings = {}) : settings_(settings) {}

    /// Takes in an end. True if it is news. A life counts once, however many entries tell of it.
    bool add(instant now, const suspect_end& end);

    /// Takes back one piece of evidence. True if it was held.
    bool remove(const suspect_end& end);

    /// A request ended well: all that was held against it, which is dropped.
    std::vector<suspect_end> ended_well(instant now, const digest& request);

    /// True if the request has ended well here of late.
    bool is_proven(instant now, const digest& request) const;

    suspicion held_of(instant now, const digest& request) const;

    /// True if this end is held against its request.
    bool holds(const suspect_end& end) const;

    /// The lives that ended under a request.
    std::size_t ends_of(const digest& request) const;

    /// The evidence against a request.
    std::vector<suspect_end> evidence(const digest& request) const;

    /// The evidence that is too old, or that there is no room for, which is dropped.
    std::vector<suspect_end> drop_old(instant now);

    /// Requests that are suspected or quarantined.
    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect {
        std::set<target_life> ended;
        instant last{};
    };

    struct proof {
        digest request;
        instant at{};
    };

    void forget_proven();
    microseconds quarantine_of(const suspect& held) const;
    std::vector<suspect_end> drop(const digest& request);
    const digest* least_wanted() const;

    suspect_settings settings_;
    std::unordered_map<digest, suspect> suspects_;
    std::unordered_map<digest, instant> proven_;
    /// The requests that ended well, the oldest first; one may stand in it several times.
    std::deque<proof> proven_order_;
};

}  // namespace wrenswitch
