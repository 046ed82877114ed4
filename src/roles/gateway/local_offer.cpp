#include "roles/gateway/local_offer.hpp"

namespace wrenswitch {

local_offer make_offer(std::uint64_t attempt, const target_choice& choice,
                       const cluster_member& coordinator, microseconds selection_time) {
    local_offer offer;
    offer.attempt = attempt;
    offer.target = choice.target->id;
    offer.copy_from = choice.copy_from == nullptr ? "" : choice.copy_from->id;
    offer.uncached_tokens = choice.uncached_tokens;
    offer.cost = choice.price;
    offer.wait = choice.wait;
    offer.coordinator = coordinator;
    offer.selection_time = selection_time;
    return offer;
}

target_choice choice_from(const local_offer& offer, const target_pool& targets) {
    target_choice choice;
    choice.target = targets.find(offer.target);
    choice.copy_from = offer.copy_from.empty() ? nullptr : targets.find(offer.copy_from);
    choice.uncached_tokens = offer.uncached_tokens;
    choice.price = offer.cost;
    choice.wait = offer.wait;
    return choice;
}

placed_attempt attempt_from(const local_offer& offer) {
    placed_attempt attempt;
    attempt.id = offer.attempt;
    attempt.target = offer.target;
    attempt.coordinator = offer.coordinator.host.empty() ? "self" : offer.coordinator.host;
    attempt.coordinator_endpoint = offer.coordinator.endpoint;
    attempt.selection_time = offer.selection_time;
    return attempt;
}

}  // namespace wrenswitch
