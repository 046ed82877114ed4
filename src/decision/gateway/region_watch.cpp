#include "wrenswitch/decision/gateway/region_watch.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// One silent entry is that entry's own trouble, if its region has others.
constexpr std::size_t enough_silent = 2;

/// How long a region's entries are found silent, again and again, before it is held for cut off:
/// longer than a busy entry or a lost packet takes, 0.3 s. A single silence may be followed by
/// nothing for long, if nobody asks.
constexpr microseconds least_silence = seconds(1);

}  // namespace

region_watch::region_watch(std::string own_region) : own_region_(std::move(own_region)) {}

void region_watch::take(instant now, const member_answers& member) {
    region_state& region = regions_[std::string(member.region)];
    region.members += 1;
    counts& before = seen_[std::string(member.host)];
    // A new process begins to count anew.
    const bool anew = member.answers < before.answers || member.silences < before.silences;
    const counts from = anew ? counts{} : before;
    region.answered = region.answered || member.answers > from.answers;
    if (member.silences > from.silences) {
        region.since = region.silent.empty() ? now : region.since;
        region.last_silence = now;
        region.silent.emplace(member.host);
    }
    before = {member.answers, member.silences};
}

std::vector<region_news> region_watch::look(instant now, std::span<const member_answers> members) {
    for (auto& [name, region] : regions_) {
        region.members = 0;
        region.answered = false;
    }
    for (const member_answers& member : members) {
        if (!member.region.empty() && member.region != own_region_) {
            take(now, member);
        }
    }
    std::erase_if(seen_, [members](const auto& known) {
        return std::none_of(members.begin(), members.end(),
                            [&known](const auto& each) { return each.host == known.first; });
    });
    std::vector<region_news> news;
    for (auto& [name, region] : regions_) {
        std::erase_if(region.silent,
                      [this](const std::string& host) { return !seen_.contains(host); });
        const std::size_t enough = std::min(enough_silent, region.members);
        const bool silent = !region.answered && region.members > 0 &&
                            region.silent.size() >= enough &&
                            region.last_silence - region.since >= least_silence;
        if (silent && !region.cut_off) {
            region.cut_off = true;
            news.push_back({name, true, region.silent.size(), region.members, now - region.since});
        } else if (region.answered && region.cut_off) {
            region.cut_off = false;
            news.push_back({name, false, region.silent.size(), region.members, now - region.since});
        }
        if (region.answered) {
            region.silent.clear();
        }
    }
    // A region that has no entries any more is neither cut off nor back.
    std::erase_if(regions_, [](const auto& known) { return known.second.members == 0; });
    return news;
}

std::size_t region_watch::cut_off() const {
    return static_cast<std::size_t>(std::count_if(
        regions_.begin(), regions_.end(), [](const auto& known) { return known.second.cut_off; }));
}

}  // namespace wrenswitch
