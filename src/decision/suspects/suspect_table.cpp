#include "wrenswitch/decision/suspects/suspect_table.hpp"

#include <algorithm>

namespace wrenswitch {

bool suspect_table::add(instant now, const crash_evidence& evidence) {
    suspect_entry& entry = suspects_[evidence.fingerprint];
    if (!entry.crashes.insert(evidence.incarnation).second) {
        return false;
    }
    entry.last_crash = now;
    return true;
}

bool suspect_table::remove(const crash_evidence& evidence) {
    const auto found = suspects_.find(evidence.fingerprint);
    if (found == suspects_.end() || found->second.crashes.erase(evidence.incarnation) == 0) {
        return false;
    }
    if (found->second.crashes.empty()) {
        suspects_.erase(found);
    }
    return true;
}

std::vector<crash_evidence> suspect_table::record_success(instant now, const digest& request) {
    proven_.record(request, now);
    return drop(request);
}

bool suspect_table::is_proven(instant now, const digest& request) const {
    const std::optional<instant> succeeded = proven_.latest(request);
    return succeeded && now - *succeeded <= settings_.proof_lifetime;
}

microseconds suspect_table::quarantine_duration(const suspect_entry& entry) const {
    if (entry.crashes.size() < settings_.quarantine_threshold) {
        return {};
    }
    const auto excess_crashes =
        static_cast<unsigned>(entry.crashes.size() - settings_.quarantine_threshold);
    return settings_.base_quarantine * (1U << std::min(excess_crashes, settings_.max_doublings));
}

suspicion suspect_table::suspicion_of(instant now, const digest& request) const {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return suspicion::none;
    }
    const bool quarantined = now - found->second.last_crash < quarantine_duration(found->second);
    return quarantined ? suspicion::quarantined : suspicion::suspected;
}

bool suspect_table::contains(const crash_evidence& evidence) const {
    const auto found = suspects_.find(evidence.fingerprint);
    return found != suspects_.end() && found->second.crashes.contains(evidence.incarnation);
}

std::size_t suspect_table::crash_count(const digest& request) const {
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.crashes.size();
}

std::vector<crash_evidence> suspect_table::evidence_for(const digest& request) const {
    std::vector<crash_evidence> all;
    const auto found = suspects_.find(request);
    if (found != suspects_.end()) {
        for (const target_incarnation& incarnation : found->second.crashes) {
            all.push_back({request, incarnation});
        }
    }
    return all;
}

std::vector<crash_evidence> suspect_table::drop(const digest& request) {
    std::vector<crash_evidence> dropped = evidence_for(request);
    suspects_.erase(request);
    return dropped;
}

/// The suspect with the fewest crashes, and among these the oldest. A caller that keeps sending new
/// contents only evicts suspects with a single crash, unless it has crashed as many targets under
/// each.
const digest* suspect_table::weakest_suspect() const {
    const auto weakest = std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.crashes.size(), left.second.last_crash) <
                   std::pair(right.second.crashes.size(), right.second.last_crash);
        });
    return weakest == suspects_.end() ? nullptr : &weakest->first;
}

std::vector<crash_evidence> suspect_table::evict_expired(instant now) {
    std::vector<digest> expired;
    for (const auto& [request, entry] : suspects_) {
        if (now - entry.last_crash > quarantine_duration(entry) + settings_.evidence_retention) {
            expired.push_back(request);
        }
    }
    std::vector<crash_evidence> dropped;
    const auto evict = [&](const digest& request) {
        const std::vector<crash_evidence> all = drop(request);
        dropped.insert(dropped.end(), all.begin(), all.end());
    };
    for (const digest& request : expired) {
        evict(request);
    }
    while (suspects_.size() > settings_.max_requests) {
        evict(digest(*weakest_suspect()));
    }
    return dropped;
}

}  // namespace wrenswitch
