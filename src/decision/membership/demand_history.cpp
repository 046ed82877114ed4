#include "wrenswitch/decision/membership/demand_history.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

constexpr microseconds kept_time = seconds(3);

}  // namespace

void demand_history::record(instant now, std::string_view account, double bytes_per_second) {
    auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        found = accounts_.try_emplace(std::string(account)).first;
    }
    auto& values = found->second;
    while (!values.empty() && now - values.front().first > kept_time) {
        values.pop_front();
    }
    while (!values.empty() && values.back().second <= bytes_per_second) {
        values.pop_back();
    }
    values.emplace_back(now, bytes_per_second);
}

double demand_history::peak(instant now, std::string_view account) const {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return 0.0;
    }
    const auto& values = found->second;
    const auto first = std::find_if(values.begin(), values.end(), [now](const auto& each) {
        return now - each.first <= kept_time;
    });
    return first == values.end() ? 0.0 : first->second;
}

void demand_history::drop_expired(instant now) {
    std::erase_if(accounts_, [now](const auto& each) {
        return each.second.empty() || now - each.second.back().first > kept_time;
    });
}

}  // namespace wrenswitch
