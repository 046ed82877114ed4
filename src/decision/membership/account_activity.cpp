#include "wrenswitch/decision/membership/account_activity.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

constexpr std::size_t max_accounts = 256;
constexpr microseconds recent_time = milliseconds(250);

/// An account that pauses for longer begins anew: the platform has directed it elsewhere meanwhile
/// or could have done so.
constexpr microseconds max_pause = seconds(3);

}  // namespace

void account_activity::record(instant now, std::string_view account) {
    auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        if (accounts_.size() >= max_accounts) {
            accounts_.erase(std::min_element(
                accounts_.begin(), accounts_.end(), [](const auto& left, const auto& right) {
                    return left.second.newest() < right.second.newest();
                }));
        }
        found = accounts_.emplace(std::string(account), activity{now}).first;
    }
    activity& known = found->second;
    if (known.newest() != instant{} && now - known.newest() > max_pause) {
        known = activity{now};
    }
    known.last[known.next] = now;
    known.next = (known.next + 1) % counted_requests;
}

account_presence account_activity::presence_of(instant now, std::string_view account) const {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return {0, microseconds(0), max_pause};
    }
    const activity& known = found->second;
    account_presence presence;
    presence.idle_for = now - known.newest();
    if (presence.idle_for > max_pause) {
        return presence;
    }
    presence.active_for = now - known.since;
    presence.recent_requests = static_cast<std::size_t>(std::count_if(
        known.last.begin(), known.last.end(),
        [now](instant each) { return each != instant{} && now - each <= recent_time; }));
    return presence;
}

}  // namespace wrenswitch
