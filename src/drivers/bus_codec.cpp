#include "drivers/bus_codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wrenswitch {
namespace {

using refusal_pair = std::pair<refusal_reason, wire::RefusalReason>;
using outcome_pair = std::pair<reservation_outcome, wire::ReserveOutcome>;

constexpr std::array<refusal_pair, 12> refusals{{
    {refusal_reason::queue_full, wire::REFUSAL_QUEUE_FULL},
    {refusal_reason::deadline, wire::REFUSAL_DEADLINE},
    {refusal_reason::leaving, wire::REFUSAL_LEAVING},
    {refusal_reason::fenced, wire::REFUSAL_FENCED},
    {refusal_reason::behind, wire::REFUSAL_BEHIND},
    {refusal_reason::voided, wire::REFUSAL_VOIDED},
    {refusal_reason::repeated_ticket, wire::REFUSAL_REPEATED_TICKET},
    {refusal_reason::target_down, wire::REFUSAL_TARGET_DOWN},
    {refusal_reason::no_answer_kept, wire::REFUSAL_NO_ANSWER_KEPT},
    {refusal_reason::wrong_service, wire::REFUSAL_WRONG_SERVICE},
    {refusal_reason::cancelled, wire::REFUSAL_CANCELLED},
    {refusal_reason::predates, wire::REFUSAL_PREDATES},
}};

constexpr std::array<outcome_pair, 9> outcomes{{
    {reservation_outcome::granted, wire::RESERVE_GRANTED},
    {reservation_outcome::join, wire::RESERVE_JOIN},
    {reservation_outcome::budget_exhausted, wire::RESERVE_BUDGET_EXHAUSTED},
    {reservation_outcome::budget_unreachable, wire::RESERVE_BUDGET_UNREACHABLE},
    {reservation_outcome::no_budget, wire::RESERVE_NO_BUDGET},
    {reservation_outcome::key_reused, wire::RESERVE_KEY_REUSED},
    {reservation_outcome::in_progress, wire::RESERVE_IN_PROGRESS},
    {reservation_outcome::unknown_outcome, wire::RESERVE_UNKNOWN_OUTCOME},
    {reservation_outcome::keys_elsewhere, wire::RESERVE_KEYS_ELSEWHERE},
}};

template <typename Pairs, typename Value>
auto second_of(const Pairs& pairs, Value value, decltype(pairs[0].second) fallback) {
    const auto found = std::find_if(pairs.begin(), pairs.end(),
                                    [value](const auto& item) { return item.first == value; });
    return found == pairs.end() ? fallback : found->second;
}

template <typename Pairs, typename Value>
auto first_of(const Pairs& pairs, Value value, decltype(pairs[0].first) fallback) {
    const auto found = std::find_if(pairs.begin(), pairs.end(),
                                    [value](const auto& item) { return item.second == value; });
    return found == pairs.end() ? fallback : found->first;
}

}  // namespace

void encode_ticket(const ticket& value, wire::Ticket& out) {
    out.set_ticket(raw(value.id));
    out.set_holder(raw(value.holder));
    out.set_holder_endpoint(value.holder_endpoint);
    out.set_budget(raw(value.budget));
    out.set_key_high(value.key.high);
    out.set_key_low(value.key.low);
    out.set_bound(value.bound);
    out.set_least_control_offset(raw(value.least_control_offset));
    out.set_issued_control_offset(raw(value.issued_control_offset));
}

ticket decode_ticket(const wire::Ticket& in) {
    return {ticket_id{in.ticket()},
            incarnation_id{in.holder()},
            in.holder_endpoint(),
            budget_id{in.budget()},
            digest{in.key_high(), in.key_low()},
            in.bound(),
            log_offset{in.least_control_offset()},
            log_offset{in.issued_control_offset()}};
}

wire::RefusalReason encode_refusal(refusal_reason reason) {
    return second_of(refusals, reason, wire::REFUSAL_UNSPECIFIED);
}

refusal_reason decode_refusal(wire::RefusalReason reason) {
    return first_of(refusals, reason, refusal_reason::target_down);
}

wire::ReserveOutcome encode_outcome(reservation_outcome outcome) {
    return second_of(outcomes, outcome, wire::RESERVE_UNSPECIFIED);
}

reservation_outcome decode_outcome(wire::ReserveOutcome outcome) {
    return first_of(outcomes, outcome, reservation_outcome::budget_unreachable);
}

load_report decode_load(const wire::LoadReport& in) {
    return {in.running(), in.queued(), in.limit(), in.leaving()};
}

}  // namespace wrenswitch
