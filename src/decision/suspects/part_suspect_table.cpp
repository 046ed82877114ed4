#include "wrenswitch/decision/suspects/part_suspect_table.hpp"

#include <algorithm>

namespace wrenswitch {

bool part_suspect_table::add(instant now, const crash_evidence& evidence, instant crashed) {
    const auto known = suspects_.find(evidence.fingerprint);
    const bool is_quarantined = known != suspects_.end() && known->second.is_quarantined;
    if (!is_quarantined && explained_.contains(evidence.incarnation)) {
        return false;
    }
    suspect& entry = suspects_[evidence.fingerprint];
    if (!entry.crashes.emplace(evidence.incarnation, crash_times{crashed, now}).second) {
        return false;
    }
    entry.crashed.insert(std::upper_bound(entry.crashed.begin(), entry.crashed.end(), crashed),
                         crashed);
    if (entry.is_quarantined) {
        explain(evidence.fingerprint, evidence.incarnation);
    }
    return true;
}

void part_suspect_table::erase_crash(suspect& entry, const target_incarnation& incarnation) {
    const auto found = entry.crashes.find(incarnation);
    if (found == entry.crashes.end()) {
        return;
    }
    entry.crashed.erase(
        std::find(entry.crashed.begin(), entry.crashed.end(), found->second.crashed));
    entry.crashes.erase(found);
}

void part_suspect_table::end_quarantine(suspect& entry) {
    entry.is_quarantined = false;
    for (const auto& [incarnation, times] : entry.crashes) {
        explained_.erase(incarnation);
    }
}

bool part_suspect_table::remove(const crash_evidence& evidence) {
    const auto found = suspects_.find(evidence.fingerprint);
    if (found == suspects_.end() || !found->second.crashes.contains(evidence.incarnation)) {
        return false;
    }
    suspect& entry = found->second;
    if (entry.is_quarantined) {
        explained_.erase(evidence.incarnation);
    }
    erase_crash(entry, evidence.incarnation);
    if (entry.is_quarantined && entry.crashes.size() < settings_.quarantine_threshold) {
        end_quarantine(entry);
    }
    if (entry.crashes.empty()) {
        suspects_.erase(found);
    }
    return true;
}

bool part_suspect_table::withdraw(const crash_evidence& evidence) {
    const auto found = suspects_.find(evidence.fingerprint);
    if (found == suspects_.end()) {
        return false;
    }
    const auto crash = found->second.crashes.find(evidence.incarnation);
    if (crash == found->second.crashes.end()) {
        return false;
    }
    survivals_.record(evidence.fingerprint, crash->second.learnt);
    return remove(evidence);
}

void part_suspect_table::end_writing(const digest& part) {
    const auto found = writing_.find(part);
    if (found != writing_.end() && --found->second == 0) {
        writing_.erase(found);
    }
}

std::vector<crash_evidence> part_suspect_table::record_survival(const digest& part, instant began) {
    survivals_.record(part, began);
    std::vector<crash_evidence> removed;
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
        return removed;
    }
    for (const auto& [incarnation, times] : found->second.crashes) {
        if (times.learnt < began) {
            removed.push_back({part, incarnation});
        }
    }
    for (const crash_evidence& each : removed) {
        remove(each);
    }
    return removed;
}

bool part_suspect_table::is_survived_since(const digest& part, instant since) const {
    const std::optional<instant> survived = survivals_.latest(part);
    return survived && *survived > since;
}

bool part_suspect_table::is_survived_recently(instant now, const digest& part) const {
    return is_survived_since(part, now - settings_.survival_lifetime);
}

bool part_suspect_table::is_due(instant now, const digest& part, const suspect& entry) const {
    if (writing_.contains(part)) {
        return false;
    }
    const std::vector<instant> successive = successive_crashes(entry);
    const bool is_successive = successive.size() >= settings_.quarantine_threshold;
    const bool is_certain = entry.crashed.size() >= settings_.certain_threshold;
    if (is_survived_recently(now, part)) {
        return is_successive && is_certain &&
               now - entry.crashed[settings_.certain_threshold - 1] >= settings_.survived_grace;
    }
    return is_certain || (is_successive &&
                          now - successive[settings_.quarantine_threshold - 1] >= settings_.grace);
}

/// The times of the crashes; simultaneous ones count as one.
std::vector<instant> part_suspect_table::successive_crashes(const suspect& entry) const {
    std::vector<instant> successive;
    for (const instant crashed : entry.crashed) {
        if (successive.empty() || crashed - successive.back() > settings_.simultaneous_time) {
            successive.push_back(crashed);
        }
    }
    return successive;
}

/// Removes a crash that one part explains from the evidence against the others.
void part_suspect_table::explain(const digest& part, const target_incarnation& incarnation) {
    explained_.insert(incarnation);
    for (auto& [other, entry] : suspects_) {
        if (other != part && !entry.is_quarantined) {
            erase_crash(entry, incarnation);
        }
    }
    std::erase_if(suspects_, [](const auto& each) { return each.second.crashes.empty(); });
}

std::vector<digest> part_suspect_table::quarantine_due(instant now) {
    std::vector<digest> quarantined;
    while (true) {
        const std::vector<digest> strongest = strongest_due(now);
        if (strongest.empty()) {
            return quarantined;
        }
        for (const digest& part : strongest) {
            suspects_.at(part).is_quarantined = true;
        }
        for (const digest& part : strongest) {
            const std::map<target_incarnation, crash_times> crashes = suspects_.at(part).crashes;
            for (const auto& [incarnation, times] : crashes) {
                explain(part, incarnation);
            }
        }
        quarantined.insert(quarantined.end(), strongest.begin(), strongest.end());
    }
}

/// The parts that are due for quarantine, and among these the ones with the most crashes.
std::vector<digest> part_suspect_table::strongest_due(instant now) const {
    std::vector<digest> strongest;
    std::size_t most = 0;
    for (const auto& [part, entry] : suspects_) {
        if (entry.is_quarantined || entry.crashes.size() < most || !is_due(now, part, entry)) {
            continue;
        }
        if (entry.crashes.size() > most) {
            strongest.clear();
        }
        most = entry.crashes.size();
        strongest.push_back(part);
    }
    return strongest;
}

suspicion part_suspect_table::suspicion_of(instant now, const digest& part) const {
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
        return suspicion::none;
    }
    if (found->second.is_quarantined) {
        return suspicion::quarantined;
    }
    const bool is_suspected = found->second.crashes.size() >= settings_.suspicion_threshold &&
                              !is_survived_recently(now, part);
    return is_suspected ? suspicion::suspected : suspicion::none;
}

microseconds part_suspect_table::trial_delay(const suspect& entry) const {
    const std::size_t crashes = entry.crashes.size();
    const bool is_certain = crashes >= settings_.certain_threshold;
    const std::size_t base =
        is_certain ? settings_.certain_threshold : settings_.quarantine_threshold;
    const auto doublings = static_cast<unsigned>(crashes - std::min(crashes, base));
    return (is_certain ? settings_.certain_trial_delay : settings_.trial_delay) *
           (1U << std::min(doublings, settings_.max_doublings));
}

bool part_suspect_table::is_trial_due(instant now, const digest& part) const {
    const auto found = suspects_.find(part);
    return found != suspects_.end() && found->second.is_quarantined &&
           now - found->second.crashed.back() >= trial_delay(found->second);
}

bool part_suspect_table::contains(const crash_evidence& evidence) const {
    const auto found = suspects_.find(evidence.fingerprint);
    return found != suspects_.end() && found->second.crashes.contains(evidence.incarnation);
}

part_record part_suspect_table::record_of(const digest& part) const {
    part_record record;
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        record.crashes = found->second.crashes.size();
        record.first_crash = found->second.crashed.front();
    }
    record.survived = survivals_.latest(part);
    return record;
}

std::vector<crash_evidence> part_suspect_table::drop(const digest& part) {
    std::vector<crash_evidence> dropped;
    for (const auto& [incarnation, times] : suspects_.at(part).crashes) {
        dropped.push_back({part, incarnation});
    }
    for (const crash_evidence& each : dropped) {
        remove(each);
    }
    return dropped;
}

/// The part with the fewest crashes, and among these the one whose last crash is the oldest.
const digest* part_suspect_table::weakest_suspect() const {
    const auto weakest = std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.crashes.size(), left.second.crashed.back()) <
                   std::pair(right.second.crashes.size(), right.second.crashed.back());
        });
    return weakest == suspects_.end() ? nullptr : &weakest->first;
}

std::vector<crash_evidence> part_suspect_table::evict_expired(instant now) {
    std::vector<digest> expired;
    for (const auto& [part, entry] : suspects_) {
        const microseconds trial = entry.is_quarantined ? trial_delay(entry) : microseconds(0);
        if (now - entry.crashed.back() > trial + settings_.evidence_retention) {
            expired.push_back(part);
        }
    }
    std::vector<crash_evidence> dropped;
    const auto evict = [&](const digest& part) {
        const std::vector<crash_evidence> all = drop(part);
        dropped.insert(dropped.end(), all.begin(), all.end());
    };
    for (const digest& part : expired) {
        evict(part);
    }
    while (suspects_.size() > settings_.max_parts) {
        evict(digest(*weakest_suspect()));
    }
    return dropped;
}

}  // namespace wrenswitch
