#pragma once

#include <cstdint>
#include <tuple>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/decision/suspects/target_incarnation.hpp"

namespace wrenswitch {

/// One piece of evidence: a target crashed while a request with this fingerprint was in flight
/// there. The fingerprint is that of the request's content or of a part of its prompt.
struct crash_evidence {
    digest fingerprint;
    target_incarnation incarnation;
    /// When the crash was seen, in Unix milliseconds by the clock of the entry that saw it; zero if
    /// unknown. Entries that saw the same crash may name different times.
    std::int64_t crashed = 0;

    /// Evidence is the same whatever time is given for the crash.
    friend bool operator==(const crash_evidence& left, const crash_evidence& right) {
        return left.fingerprint == right.fingerprint && left.incarnation == right.incarnation;
    }
    friend bool operator<(const crash_evidence& left, const crash_evidence& right) {
        return std::tie(left.fingerprint, left.incarnation) <
               std::tie(right.fingerprint, right.incarnation);
    }
};

}  // namespace wrenswitch
