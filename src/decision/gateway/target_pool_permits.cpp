// Member functions of target_pool that evaluate what targets report about themselves (limits,
// backoffs and draining) and decide whether a request may be sent to them.

#include <algorithm>
#include <utility>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

std::vector<std::string> target_pool::targets_without_permit(instant now, std::string_view service,
                                                             const permit_request& wanted) {
    if (!limits_.has_any() && !backoffs_.has_any()) {
        return {};
    }
    std::vector<std::string> unavailable;
    std::vector<std::string> available;
    std::size_t permits = 0;
    for (const auto& [id, state] : targets_) {
        if (state.target.service != service) {
            continue;
        }
        if (backoffs_.remaining(now, id) > microseconds(0)) {
            unavailable.push_back(id);
        } else if (limits_.limit_of(id)) {
            const microseconds wait = limits_.delay(now, id);
            permits += wait <= wanted.spare_permit_within ? 1 : 0;
            (wait > wanted.max_wait ? unavailable : available).push_back(id);
        }
    }
    const bool would_use_last = wanted.spare_permit_within > microseconds(0) && permits < 2;
    if (would_use_last) {
        unavailable.insert(unavailable.end(), available.begin(), available.end());
    }
    return unavailable;
}

bool target_pool::has_permit(instant now, std::string_view service, microseconds within) {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& each) {
        const auto& [id, state] = each;
        return is_eligible(now, state, service, {}) && limits_.limit_of(id) &&
               backoffs_.remaining(now, id) == microseconds(0) && limits_.delay(now, id) <= within;
    });
}

std::optional<target_pool::next_permit> target_pool::earliest_permit(instant now,
                                                                     std::string_view service) {
    std::optional<next_permit> earliest;
    for (const auto& [id, state] : targets_) {
        if (!is_eligible(now, state, service, {})) {
            continue;
        }
        const microseconds backoff = backoffs_.remaining(now, id);
        const microseconds wait = std::max(backoff, limits_.delay(now, id));
        if (wait > microseconds(0) && (!earliest || wait < earliest->wait)) {
            earliest = next_permit{wait, backoff == wait};
        }
    }
    return earliest;
}

std::optional<send_permit> target_pool::reserve_permit(instant now, std::string_view id,
                                                       microseconds max_wait) {
    const microseconds wait = limits_.delay(now, id);
    if (wait > max_wait || backoffs_.remaining(now, id) > microseconds(0)) {
        return std::nullopt;
    }
    limits_.reserve(now, id);
    return send_permit{wait, limits_.limit_epoch(id)};
}

bool target_pool::may_send(instant now, std::string_view id, const send_permit& permit) const {
    return limits_.limit_epoch(id) == permit.limit_epoch &&
           backoffs_.remaining(now, id) == microseconds(0) && !has_announced_draining(id);
}

bool target_pool::mark_draining(std::string_view id) {
    const auto found = targets_.find(id);
    return found != targets_.end() && !std::exchange(found->second.announced_draining, true);
}

bool target_pool::has_announced_draining(std::string_view id) const {
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.announced_draining;
}

}  // namespace wrenswitch
