#include "wrenswitch/decision/ledger/budget_state.hpp"

#include <numeric>

namespace wrenswitch {

tokens budget_state::committed() const {
    tokens sum = billed + burnt;
    for (const holding& item : holdings) {
        sum += item.outstanding;
    }
    for (const charge& item : running) {
        sum += item.amount;
    }
    return sum;
}

tokens budget_state::outstanding_of(incarnation_id holder) const {
    for (const holding& item : holdings) {
        if (item.holder == holder) {
            return item.outstanding;
        }
    }
    return 0;
}

tokens budget_state::total_waiting_need() const {
    return std::accumulate(waiting.begin(), waiting.end(), tokens{0},
                           [](tokens sum, const waiting_need& item) { return sum + item.need; });
}

}  // namespace wrenswitch
