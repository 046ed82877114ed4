#include "wrenswitch/decision/suspects/part_suspect_table.hpp"

#include <algorithm>

namespace wrenswitch {

bool part_suspect_table::add(instant now, const crash_evidence& evidence, instant crashed) {
    suspect& entry = suspects_[evidence.fingerprint];
    const bool is_full = entry.crashes.size() >= settings_.max_crashes_per_part;
    if (entry.crashes.contains(evidence.incarnation) ||
        (is_full && crashed <= entry.crashed.front())) {
        return false;
    }
    if (is_full) {
        erase_oldest(entry);
    }
    entry.crashes.emplace(evidence.incarnation, crash_times{crashed, now});
    entry.crashed.insert(std::upper_bound(entry.crashed.begin(), entry.crashed.end(), crashed),
                         crashed);
    entry.last_learnt = now;
    entry.refusals = 0;
    return true;
}

void part_suspect_table::erase_oldest(suspect& entry) {
    const auto oldest = std::min_element(entry.crashes.begin(), entry.crashes.end(),
                                         [](const auto& left, const auto& right) {
                                             return left.second.crashed < right.second.crashed;
                                         });
    erase_crash(entry, target_incarnation(oldest->first));
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

bool part_suspect_table::remove(const crash_evidence& evidence) {
    const auto found = suspects_.find(evidence.fingerprint);
    if (found == suspects_.end() || !found->second.crashes.contains(evidence.incarnation)) {
        return false;
    }
    suspect& entry = found->second;
    erase_crash(entry, evidence.incarnation);
    entry.is_quarantined =
        entry.is_quarantined && entry.crashes.size() >= settings_.quarantine_threshold;
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

void part_suspect_table::begin_writing(instant now, const digest& part) {
    writing_attempts& writing = writing_[part];
    writing.count += 1;
    writing.last_began = now;
}

void part_suspect_table::end_writing(const digest& part) {
    const auto found = writing_.find(part);
    if (found != writing_.end() && --found->second.count == 0) {
        writing_.erase(found);
    }
}

/// An attempt at a target that hangs doesn't hold off a quarantine for longer than a survivor
/// needs.
bool part_suspect_table::is_awaiting_survivor(instant now, const digest& part) const {
    const auto found = writing_.find(part);
    return found != writing_.end() && now - found->second.last_began < settings_.survival_time;
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

bool part_suspect_table::is_due(instant now, const digest& part,
                                std::span<const instant> crashed) const {
    if (crashed.size() < settings_.quarantine_threshold || is_awaiting_survivor(now, part)) {
        return false;
    }
    const std::vector<instant> successive = successive_crashes(crashed);
    const bool is_successive = successive.size() >= settings_.quarantine_threshold;
    const bool is_certain = crashed.size() >= settings_.certain_threshold;
    if (is_survived_recently(now, part)) {
        return is_successive && is_certain &&
               now - crashed[settings_.certain_threshold - 1] >= settings_.survived_grace;
    }
    return is_certain || (is_successive &&
                          now - successive[settings_.quarantine_threshold - 1] >= settings_.grace);
}

/// The times of the crashes; simultaneous ones count as one.
std::vector<instant> part_suspect_table::successive_crashes(
    std::span<const instant> crashed) const {
    std::vector<instant> successive;
    for (const instant each : crashed) {
        if (successive.empty() || each - successive.back() > settings_.simultaneous_time) {
            successive.push_back(each);
        }
    }
    return successive;
}

/// The times of the crashes under a part that no quarantined one explains.
std::vector<instant> part_suspect_table::unexplained_crashes(
    const suspect& entry, std::span<const suspect* const> quarantined) const {
    std::vector<instant> unexplained;
    for (const auto& crash : entry.crashes) {
        const bool is_explained = std::any_of(
            quarantined.begin(), quarantined.end(),
            [&crash](const suspect* other) { return other->crashes.contains(crash.first); });
        if (!is_explained) {
            unexplained.push_back(crash.second.crashed);
        }
    }
    std::sort(unexplained.begin(), unexplained.end());
    return unexplained;
}

std::vector<digest> part_suspect_table::quarantine_due(instant now) {
    std::vector<digest> quarantined;
    while (true) {
        const std::vector<digest> due = strongest_due(now);
        if (due.empty()) {
            update_explained();
            return quarantined;
        }
        for (const digest& part : due) {
            suspect& entry = suspects_.at(part);
            entry.is_quarantined = true;
            entry.refusals = 0;
        }
        quarantined.insert(quarantined.end(), due.begin(), due.end());
    }
}

std::vector<const part_suspect_table::suspect*> part_suspect_table::quarantined_suspects() const {
    std::vector<const suspect*> quarantined;
    for (const auto& [part, entry] : suspects_) {
        if (entry.is_quarantined) {
            quarantined.push_back(&entry);
        }
    }
    return quarantined;
}

void part_suspect_table::update_explained() {
    const std::vector<const suspect*> quarantined = quarantined_suspects();
    for (auto& [part, entry] : suspects_) {
        entry.is_explained =
            !quarantined.empty() &&
            unexplained_crashes(entry, quarantined).size() < settings_.suspicion_threshold;
    }
}

/// The parts that are due for quarantine, and among these the ones with the most crashes.
std::vector<digest> part_suspect_table::strongest_due(instant now) const {
    const std::vector<const suspect*> quarantined = quarantined_suspects();
    std::vector<digest> strongest;
    std::size_t most = settings_.quarantine_threshold;
    for (const auto& [part, entry] : suspects_) {
        const std::size_t crashes = entry.crashes.size();
        if (entry.is_quarantined || crashes < most ||
            !is_due(now, part, unexplained_crashes(entry, quarantined))) {
            continue;
        }
        if (crashes > most) {
            strongest.clear();
        }
        most = crashes;
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
                              !found->second.is_explained && !is_survived_recently(now, part);
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
    if (found == suspects_.end() || !found->second.is_quarantined) {
        return false;
    }
    const suspect& entry = found->second;
    return now - entry.last_learnt >= trial_delay(entry) || is_early_trial_due(now, entry);
}

bool part_suspect_table::is_early_trial_due(instant now, const suspect& entry) const {
    const std::size_t failed = failed_trials(entry);
    std::size_t refusals = settings_.refusals_for_trial;
    for (std::size_t trial = 0; trial < std::min(failed, settings_.max_early_trials); ++trial) {
        refusals *= settings_.refusals_factor;
    }
    return failed < settings_.max_early_trials && entry.refusals >= refusals &&
           now - entry.last_learnt >= settings_.early_trial_delay;
}

/// The crashes that only trials can have caused: those some time after the one that was enough for
/// a quarantine. Known from the evidence alone, also to an entry that has just started.
std::size_t part_suspect_table::failed_trials(const suspect& entry) const {
    const std::size_t enough = entry.crashed.size() >= settings_.certain_threshold
                                   ? settings_.certain_threshold
                                   : settings_.quarantine_threshold;
    if (entry.crashed.size() < enough) {
        return 0;
    }
    const instant first_trial = entry.crashed[enough - 1] + settings_.early_trial_delay;
    return static_cast<std::size_t>(
        std::count_if(entry.crashed.begin(), entry.crashed.end(),
                      [first_trial](instant at) { return at >= first_trial; }));
}

void part_suspect_table::record_refusal(const digest& part) {
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        found->second.refusals += 1;
    }
}

bool part_suspect_table::is_less_suspect(instant now, const digest& part,
                                         const digest& than) const {
    return record_of(part).crashes < record_of(than).crashes || is_survived_recently(now, part);
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
        record.last_crash = found->second.crashed.back();
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

/// The part with the fewest crashes, and among these the one whose last crash is known the longest.
const digest* part_suspect_table::weakest_suspect() const {
    const auto weakest = std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.crashes.size(), left.second.last_learnt) <
                   std::pair(right.second.crashes.size(), right.second.last_learnt);
        });
    return weakest == suspects_.end() ? nullptr : &weakest->first;
}

std::vector<crash_evidence> part_suspect_table::evict_expired(instant now) {
    std::vector<digest> expired;
    for (const auto& [part, entry] : suspects_) {
        const microseconds trial = entry.is_quarantined ? trial_delay(entry) : microseconds(0);
        if (now - entry.last_learnt > trial + settings_.evidence_retention) {
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
