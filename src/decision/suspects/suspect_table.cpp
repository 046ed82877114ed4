#include "wrenswitch/decision/suspects/suspect_table.hpp"

#include <algorithm>

namespace wrenswitch {

std::string_view name_of(suspicion held) {
    switch (held) {
        case suspicion::none:
            return "none";
        case suspicion::suspected:
            return "suspected";
        case suspicion::quarantined:
            return "quarantined";
    }
    return "unnamed";
}

bool suspect_table::add(instant now, const suspect_end& end) {
    suspect& held = suspects_[end.request];
    if (!held.ended.insert(end.life).second) {
        return false;
    }
    held.last = now;
    return true;
}

bool suspect_table::remove(const suspect_end& end) {
    const auto found = suspects_.find(end.request);
    if (found == suspects_.end() || found->second.ended.erase(end.life) == 0) {
        return false;
    }
    if (found->second.ended.empty()) {
        suspects_.erase(found);
    }
    return true;
}

std::vector<suspect_end> suspect_table::ended_well(instant now, const digest& request) {
    instant& at = proven_[request];
    // One that is asked for all the time isn't put into the order each time.
    if (at == instant{} || now - at > settings_.proven_for / 2) {
        proven_order_.push_back({request, now});
        at = now;
    }
    forget_proven();
    return drop(request);
}

void suspect_table::forget_proven() {
    while (proven_order_.size() > settings_.most_proven) {
        const proof& oldest = proven_order_.front();
        const auto found = proven_.find(oldest.request);
        if (found != proven_.end() && found->second == oldest.at) {
            proven_.erase(found);
        }
        proven_order_.pop_front();
    }
}

bool suspect_table::is_proven(instant now, const digest& request) const {
    const auto found = proven_.find(request);
    return found != proven_.end() && now - found->second <= settings_.proven_for;
}

microseconds suspect_table::quarantine_of(const suspect& held) const {
    if (held.ended.size() < settings_.quarantined_at) {
        return {};
    }
    const auto beyond = static_cast<unsigned>(held.ended.size() - settings_.quarantined_at);
    return settings_.first_quarantine * (1U << std::min(beyond, settings_.most_doublings));
}

suspicion suspect_table::held_of(instant now, const digest& request) const {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return suspicion::none;
    }
    const bool quarantined = now - found->second.last < quarantine_of(found->second);
    return quarantined ? suspicion::quarantined : suspicion::suspected;
}

bool suspect_table::holds(const suspect_end& end) const {
    const auto found = suspects_.find(end.request);
    return found != suspects_.end() && found->second.ended.contains(end.life);
}

std::size_t suspect_table::ends_of(const digest& request) const {
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.ended.size();
}

std::vector<suspect_end> suspect_table::evidence(const digest& request) const {
    std::vector<suspect_end> all;
    const auto found = suspects_.find(request);
    if (found != suspects_.end()) {
        for (const target_life& life : found->second.ended) {
            all.push_back({request, life});
        }
    }
    return all;
}

std::vector<suspect_end> suspect_table::drop(const digest& request) {
    std::vector<suspect_end> dropped = evidence(request);
    suspects_.erase(request);
    return dropped;
}

/// What is weakest, and of this the oldest. A caller that sends ever new contents only pushes out
/// suspects of single ends, unless it has ended as many targets under each.
const digest* suspect_table::least_wanted() const {
    const auto least = std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.ended.size(), left.second.last) <
                   std::pair(right.second.ended.size(), right.second.last);
        });
    return least == suspects_.end() ? nullptr : &least->first;
}

std::vector<suspect_end> suspect_table::drop_old(instant now) {
    std::vector<digest> due;
    for (const auto& [request, held] : suspects_) {
        if (now - held.last > quarantine_of(held) + settings_.memory) {
            due.push_back(request);
        }
    }
    std::vector<suspect_end> dropped;
    const auto drop_one = [&](const digest& request) {
        const std::vector<suspect_end> all = drop(request);
        dropped.insert(dropped.end(), all.begin(), all.end());
    };
    for (const digest& request : due) {
        drop_one(request);
    }
    while (suspects_.size() > settings_.most_requests) {
        drop_one(digest(*least_wanted()));
    }
    return dropped;
}

}  // namespace wrenswitch
