// What a target pool holds of what targets say of themselves, and whether a request may go there.

#include <algorithm>
#include <utility>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

std::vector<std::string> target_pool::without_turn(instant now, std::string_view service,
                                                   const turn_wish& wish) {
    if (!limits_.any() && !rests_.any()) {
        return {};
    }
    std::vector<std::string> without;
    std::vector<std::string> with;
    std::size_t turns = 0;
    for (const auto& [id, state] : targets_) {
        if (state.target.service != service) {
            continue;
        }
        if (rests_.left(now, id) > microseconds(0)) {
            without.push_back(id);
        } else if (limits_.limit_of(id)) {
            const microseconds wait = limits_.wait(now, id);
            turns += wait <= wish.leaves_one_within ? 1 : 0;
            (wait > wish.longest_wait ? without : with).push_back(id);
        }
    }
    const bool would_take_last = wish.leaves_one_within > microseconds(0) && turns < 2;
    if (would_take_last) {
        without.insert(without.end(), with.begin(), with.end());
    }
    return without;
}

bool target_pool::has_turn(instant now, std::string_view service, microseconds within) {
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& each) {
        const auto& [id, state] = each;
        return may_be_chosen(state, service, {}) && limits_.limit_of(id) &&
               rests_.left(now, id) == microseconds(0) && limits_.wait(now, id) <= within;
    });
}

std::optional<target_pool::next_turn> target_pool::soonest_turn(instant now,
                                                                std::string_view service) {
    std::optional<next_turn> soonest;
    for (const auto& [id, state] : targets_) {
        if (!may_be_chosen(state, service, {})) {
            continue;
        }
        const microseconds rest = rests_.left(now, id);
        const microseconds wait = std::max(rest, limits_.wait(now, id));
        if (wait > microseconds(0) && (!soonest || wait < soonest->wait)) {
            soonest = next_turn{wait, rest == wait};
        }
    }
    return soonest;
}

std::optional<send_turn> target_pool::take_turn(instant now, std::string_view id,
                                                microseconds longest_wait) {
    const microseconds wait = limits_.wait(now, id);
    if (wait > longest_wait || rests_.left(now, id) > microseconds(0)) {
        return std::nullopt;
    }
    limits_.take(now, id);
    return send_turn{wait, limits_.turns_void(id)};
}

bool target_pool::may_send(instant now, std::string_view id, const send_turn& turn) const {
    return limits_.turns_void(id) == turn.turns_void && rests_.left(now, id) == microseconds(0) &&
           !says_it_leaves(id);
}

bool target_pool::note_leaving(std::string_view id) {
    const auto found = targets_.find(id);
    return found != targets_.end() && !std::exchange(found->second.says_it_leaves, true);
}

bool target_pool::says_it_leaves(std::string_view id) const {
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.says_it_leaves;
}

}  // namespace wrenswitch
