#include "roles/gateway/near_offer.hpp"

namespace wrenswitch {

near_offer offer_of(std::uint64_t run, const target_choice& choice, const cluster_member& keeper,
                    microseconds asked_for) {
    near_offer offer;
    offer.run = run;
    offer.target = choice.target->id;
    offer.copy_from = choice.copy_from == nullptr ? "" : choice.copy_from->id;
    offer.unread = choice.uncached_tokens;
    offer.price = choice.price;
    offer.wait = choice.wait;
    offer.keeper = keeper;
    offer.asked_for = asked_for;
    return offer;
}

target_choice choice_of(const near_offer& offer, const target_pool& targets) {
    target_choice choice;
    choice.target = targets.find(offer.target);
    choice.copy_from = offer.copy_from.empty() ? nullptr : targets.find(offer.copy_from);
    choice.uncached_tokens = offer.unread;
    choice.price = offer.price;
    choice.wait = offer.wait;
    return choice;
}

placed_run run_of(const near_offer& offer) {
    placed_run run;
    run.number = offer.run;
    run.target = offer.target;
    run.keeper = offer.keeper.host.empty() ? "self" : offer.keeper.host;
    run.keeper_endpoint = offer.keeper.endpoint;
    run.asked_for = offer.asked_for;
    return run;
}

}  // namespace wrenswitch
