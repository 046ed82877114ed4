#include "wrenswitch/decision/gateway/region_outage_detector.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// A single unresponsive gateway may have failed itself, if its region has others.
constexpr std::size_t min_unresponsive = 2;

/// How long the gateways of a region must fail to respond, with repeated failures, before it counts
/// as unreachable. Longer than a busy gateway or a lost packet delays a response, 0.3 s. It is
/// measured between failures, because after a single one there may be no calls for a long time.
constexpr microseconds min_outage_duration = seconds(1);

}  // namespace

region_outage_detector::region_outage_detector(std::string own_region)
    : own_region_(std::move(own_region)) {}

void region_outage_detector::apply_counts(instant now, const member_call_counts& member) {
    region_state& region = regions_[std::string(member.region)];
    region.members += 1;
    counts& previous = last_counts_[std::string(member.host)];
    // A restarted process counts from zero again.
    const bool was_reset =
        member.answers < previous.responses || member.failures < previous.failures;
    const counts baseline = was_reset ? counts{} : previous;
    region.responded = region.responded || member.answers > baseline.responses;
    if (member.failures > baseline.failures) {
        region.first_failure = region.unresponsive.empty() ? now : region.first_failure;
        region.last_failure = now;
        region.unresponsive.emplace(member.host);
    }
    previous = {member.answers, member.failures};
}

std::vector<region_status_change> region_outage_detector::update(
    instant now, std::span<const member_call_counts> members) {
    for (auto& [name, region] : regions_) {
        region.members = 0;
        region.responded = false;
    }
    for (const member_call_counts& member : members) {
        if (!member.region.empty() && member.region != own_region_) {
            apply_counts(now, member);
        }
    }
    std::erase_if(last_counts_, [members](const auto& known) {
        return std::none_of(members.begin(), members.end(),
                            [&known](const auto& member) { return member.host == known.first; });
    });
    std::vector<region_status_change> changes;
    for (auto& [name, region] : regions_) {
        std::erase_if(region.unresponsive,
                      [this](const std::string& host) { return !last_counts_.contains(host); });
        const std::size_t required_unresponsive = std::min(min_unresponsive, region.members);
        const bool unreachable = !region.responded && region.members > 0 &&
                                 region.unresponsive.size() >= required_unresponsive &&
                                 region.last_failure - region.first_failure >= min_outage_duration;
        if (unreachable && !region.unreachable) {
            region.unreachable = true;
            changes.push_back({name, true, region.unresponsive.size(), region.members,
                               now - region.first_failure});
        } else if (region.responded && region.unreachable) {
            region.unreachable = false;
            changes.push_back({name, false, region.unresponsive.size(), region.members,
                               now - region.first_failure});
        }
        if (region.responded) {
            region.unresponsive.clear();
        }
    }
    // A region without gateways is neither unreachable nor reachable again.
    std::erase_if(regions_, [](const auto& known) { return known.second.members == 0; });
    return changes;
}

std::size_t region_outage_detector::unreachable_count() const {
    return static_cast<std::size_t>(
        std::count_if(regions_.begin(), regions_.end(),
                      [](const auto& known) { return known.second.unreachable; }));
}

}  // namespace wrenswitch
