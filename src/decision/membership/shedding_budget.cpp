#include "wrenswitch/decision/membership/shedding_budget.hpp"

#include <algorithm>
#include <cstdint>

namespace wrenswitch {
namespace {

bool is_step_back(entry_state state) {
    return state == entry_state::announced || state == entry_state::stepped_back;
}

}  // namespace

shedding_decision decide_shedding(const shedding_conditions& conditions) {
    const std::vector<entry_state>& states = conditions.neighbours;
    shedding_decision decision;
    decision.members = conditions.members;
    decision.accepting =
        static_cast<std::size_t>(std::count(states.begin(), states.end(), entry_state::accepting));
    const bool has_budget = conditions.step_back_suspected || is_step_back(conditions.own_state) ||
                            std::any_of(states.begin(), states.end(), is_step_back);
    decision.is_allowed = !has_budget || 2 * decision.accepting >= decision.members;
    return decision;
}

void shedding_budget::evaluate(instant now, const shedding_conditions& conditions,
                               bool is_withheld) {
    last_ = decide_shedding(conditions);
    if (!last_.is_allowed || !is_withheld) {
        allows_ = last_.is_allowed;
        due_.reset();
        return;
    }
    due_ = due_.value_or(now + turn_time * static_cast<std::int64_t>(conditions.preceding));
    allows_ = now >= *due_;
}

}  // namespace wrenswitch
