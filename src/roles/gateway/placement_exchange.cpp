#include "roles/gateway/placement_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/placement_codec.hpp"

namespace wrenswitch {
namespace {

/// How long a keeper's answer is waited for. The way there and back takes some 2 ms; half of that
/// time again is lost to processes that are busy, and no aim of a route is below some hundreds. The
/// way to another region comes on top: with 20 ms for one that is 40 ms away each ask was given up,
/// and two regions' days with trouble lost 0.08 of their worth.
constexpr microseconds longest_ask = milliseconds(20);

/// The same while engines are cold and this entry has no turn of its own to use instead: longer
/// than what lies before a message on the link of a small entry, 10 Mbit/s, that has one account's
/// callers after a loss of all processes. With 20 ms two such entries refused 340 requests in 3 s.
constexpr microseconds longest_cold_ask = milliseconds(200);

/// How many keepers are asked while engines are cold: each takes some 2 ms, and one that has room
/// is found among a few.
constexpr std::size_t most_cold_keepers = 4;

/// A keeper of another region is asked too if this share of a request is expected to be lost at the
/// best engine of the own region: the word takes the way there and back, and so does the answer.
constexpr double loss_to_ask_afar = 0.2;

/// A request goes to another region if it loses and costs less than this share there of what it
/// would in its own, with what is read again: both are estimates, and each is some tens of percent
/// off.
constexpr double gain_to_cross = 0.8;

/// An entry that asked another region in vain doesn't ask again for so long: when both are full
/// each request would wait for nothing and hold two places.
constexpr microseconds vain_rest = milliseconds(300);

}  // namespace

placement_exchange::placement_exchange(event_loop& loop, message_bus& bus, target_pool& targets,
                                       engine_coordinators& keepers, placement_desk& desk,
                                       metrics& counters, hooks needs)
    : loop_(loop),
      bus_(bus),
      targets_(targets),
      keepers_(keepers),
      desk_(desk),
      counters_(counters),
      engine_of_(std::move(needs.engine_of)),
      reach_(loop, counters,
             {std::move(needs.keeper_silent), std::move(needs.keeper_answered),
              std::move(needs.round_trip), std::move(needs.answered_after)}),
      news_(loop, bus, counters) {}

placement_exchange::~placement_exchange() {
    *alive_ = false;
}

std::shared_ptr<placement_exchange::handle> placement_exchange::place(
    const std::string& service, const engine_request& request, std::span<const std::string> tried,
    microseconds left, choice_hook chosen) {
    const instant now = monotonic_now();
    const auto run = static_cast<std::uint64_t>(random_.next_id<incarnation_id>());
    auto wanted = std::make_shared<handle>();
    pending_ask wish{
        service, request, {tried.begin(), tried.end()}, left, std::move(chosen), wanted, {}, now,
        {},      {}};
    const std::string_view home = targets_.rendezvous_engine(now, service, request, tried);
    const std::optional<cluster_member> keeper =
        home.empty() ? std::nullopt : keepers_.coordinator_of(now, home);
    if (!keeper || reach_.is_silent(keeper->host)) {
        wish.keeper = keeper.value_or(cluster_member{});
        choose_alone(run, std::move(wish));
        return wanted;
    }
    wish.keeper = *keeper;
    wish.request.round_trip = reach_.round_trip(*keeper);
    if (keepers_.coordinates(now, home)) {
        choose_at_own_desk(run, std::move(wish));
    } else {
        ask(run, std::move(wish));
    }
    return wanted;
}

void placement_exchange::ask(std::uint64_t run, pending_ask wish) {
    wire::Envelope message;
    *message.mutable_placement_ask() =
        to_wire(run, wish.service, wish.request, wish.tried, wish.left);
    bus_.send(wish.keeper.endpoint, message);
    counters_.counter("placement_asks_total") += 1;
    wish.asked = monotonic_now();
    const instant asked = wish.asked;
    const microseconds longest =
        (wish.is_last ? longest_cold_ask : longest_ask) + reach_.round_trip(wish.keeper);
    pending_.insert_or_assign(run, std::move(wish));
    loop_.call_after(longest, [this, run, asked, alive = alive_] {
        if (*alive) {
            give_up(run, asked);
        }
    });
}

void placement_exchange::give_up(std::uint64_t run, instant asked) {
    const auto found = pending_.find(run);
    if (found == pending_.end() || found->second.asked != asked) {
        return;
    }
    pending_ask wish = std::move(found->second);
    pending_.erase(found);
    counters_.counter("placement_asks_late_total") += 1;
    reach_.no_answer(run, wish.keeper, wish.asked);
    if (wish.offer) {
        use_offer(std::move(wish));
    } else if (!wish.wanted.expired()) {
        choose_alone(run, std::move(wish));
    }
}

/// The keeper can't be asked: the choice rests on this entry's own runs, and mostly on where the
/// session's memory is looked for. Cold engines have next to no turns for an entry that doesn't
/// ask, so that a keeper is asked all the same, and more patiently.
void placement_exchange::choose_alone(std::uint64_t run, pending_ask wish) {
    const instant now = monotonic_now();
    wish.request.round_trip = microseconds(0);
    const target_choice choice = targets_.pick_engine(
        now, wish.service, wish.request, wish.tried, [](std::string_view) { return true; },
        permit_share::fallback);
    if (choice.all_cold && !wish.is_last && !wish.keeper.endpoint.empty() &&
        wish.keeper.host != keepers_.own_host()) {
        wish.is_last = true;
        ask(run, std::move(wish));
        return;
    }
    placed_run placed{run, {}, {}, {}, 0, now - wish.asked, {}};
    if (choice.target != nullptr) {
        counters_.counter("placements_alone_total") += 1;
        placed.target = choice.target->id;
        placed.counted_here =
            targets_.begin_attempt(now, placed.target, wish.request, choice.uncached_tokens, false);
    }
    wish.chosen(choice, placed);
}

void placement_exchange::choose_at_own_desk(std::uint64_t run, pending_ask wish) {
    const target_choice choice =
        desk_.place(monotonic_now(), run, wish.service, wish.request, wish.tried, wish.left);
    if (choice.all_cold) {
        try_another_keeper(run, std::move(wish));
        return;
    }
    if (choice.target == nullptr) {
        choose_alone(run, std::move(wish));
        return;
    }
    const near_offer offer = offer_of(run, choice, {}, microseconds(0));
    if (!ask_afar(offer, wish)) {
        wish.chosen(choice, run_of(offer));
    }
}

/// Asks a keeper of another region too if the best engine of the own region would lose much of the
/// request. True if the wish now waits for that.
bool placement_exchange::ask_afar(const near_offer& offer, pending_ask& wish) {
    const instant now = monotonic_now();
    const auto stake = static_cast<double>(wish.request.prompt.prompt_tokens +
                                           expected_output(wish.request.prompt));
    const double lost = offer.price.own_cost + offer.price.stream_cost;
    if (wish.offer || lost < loss_to_ask_afar * stake || now < no_ask_afar_until_) {
        return false;
    }
    const std::string_view engine = targets_.rendezvous_engine(
        now, wish.service, wish.request, wish.tried, rendezvous_scope::another_region);
    const std::optional<cluster_member> keeper =
        engine.empty() ? std::nullopt : keepers_.coordinator_of(now, engine);
    const bool is_far = keeper && reach_.round_trip(*keeper) > microseconds(0);
    if (!is_far || reach_.is_silent(keeper->host)) {
        return false;
    }
    counters_.counter("placement_asks_afar_total") += 1;
    wish.offer = offer;
    wish.keeper = *keeper;
    wish.request.round_trip = reach_.round_trip(*keeper);
    ask(static_cast<std::uint64_t>(random_.next_id<incarnation_id>()), std::move(wish));
    return true;
}

void placement_exchange::take_back(const near_offer& offer) {
    ended(run_of(offer), run_end::left);
}

/// Goes on with what the keeper of the own region offered, if that may still be used.
void placement_exchange::use_offer(pending_ask wish) {
    const instant now = monotonic_now();
    const near_offer offer = *std::exchange(wish.offer, std::nullopt);
    if (wish.wanted.expired()) {
        take_back(offer);
        return;
    }
    if (!targets_.is_usable(offer.target, wish.service, wish.request.constraints)) {
        take_back(offer);
        choose_alone(offer.run, std::move(wish));
        return;
    }
    target_choice choice = choice_of(offer, targets_);
    placed_run placed = run_of(offer);
    if (!offer.keeper.host.empty()) {
        targets_.improve_copy_source(now, wish.request, choice);
        placed.counted_here =
            targets_.begin_attempt(now, placed.target, wish.request, choice.uncached_tokens, false);
    }
    wish.chosen(choice, placed);
}

/// The engines of one keeper have no turn in time, those of another may.
void placement_exchange::try_another_keeper(std::uint64_t run, pending_ask wish) {
    wish.cold_keepers.push_back(wish.keeper.host);
    std::vector<std::string> passed_over = wish.cold_keepers;
    passed_over.insert(passed_over.end(), reach_.silent().begin(), reach_.silent().end());
    const auto next =
        keepers_.alternative_coordinator(monotonic_now(), passed_over, random_.unit());
    if (!next || wish.cold_keepers.size() >= most_cold_keepers) {
        wish.is_last = true;
        choose_alone(run, std::move(wish));
        return;
    }
    counters_.counter("placements_at_another_keeper_total") += 1;
    wish.keeper = *next;
    wish.request.round_trip = reach_.round_trip(*next);
    if (next->host == keepers_.own_host()) {
        choose_at_own_desk(run, std::move(wish));
    } else {
        ask(run, std::move(wish));
    }
}

bool placement_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_placement_ask()) {
        on_ask(origin, message);
        return true;
    }
    if (message.has_placement_answer()) {
        on_answer(origin, message);
        return true;
    }
    if (message.has_run_news()) {
        desk_.take_news(monotonic_now(), message.run_news());
        return true;
    }
    return false;
}

void placement_exchange::on_ask(const message_origin& origin, const wire::Envelope& message) {
    const wire::PlacementAsk& ask = message.placement_ask();
    const engine_profile* engine = engine_of_(ask.service());
    target_choice choice;
    if (engine != nullptr) {
        const std::vector<std::string> tried(ask.tried().begin(), ask.tried().end());
        choice = desk_.place(monotonic_now(), ask.run(), ask.service(), from_wire(ask, *engine),
                             tried, milliseconds(ask.left_ms()));
    }
    wire::Envelope reply;
    *reply.mutable_placement_answer() = to_wire(ask.run(), choice);
    bus_.answer(origin, reply);
}

bool placement_exchange::may_use(const wire::PlacementAnswer& answer,
                                 const pending_ask& wish) const {
    return targets_.is_usable(answer.target(), wish.service, wish.request.constraints) &&
           std::find(wish.tried.begin(), wish.tried.end(), answer.target()) == wish.tried.end();
}

void placement_exchange::on_answer(const message_origin& origin, const wire::Envelope& message) {
    const wire::PlacementAnswer& answer = message.placement_answer();
    const auto found = pending_.find(answer.run());
    const bool counted = !answer.target().empty();
    if (found == pending_.end()) {
        reach_.answered_late(answer.run());
        // It came too late: the keeper must not count a run that went elsewhere.
        if (counted) {
            wire::RunNews news;
            news.set_run(answer.run());
            news.set_end(wire::RUN_LEFT);
            news_.tell(origin.endpoint, news);
        }
        return;
    }
    const instant now = monotonic_now();
    pending_ask wish = std::move(found->second);
    pending_.erase(found);
    reach_.answered(wish.keeper, wish.asked);
    placed_run placed{answer.run(),
                      answer.target(),
                      wish.keeper.host,
                      wish.keeper.endpoint,
                      0,
                      now - wish.asked,
                      {}};
    if (wish.wanted.expired()) {
        ended(placed, run_end::left);
        if (wish.offer) {
            take_back(*wish.offer);
        }
        return;
    }
    if (wish.offer) {
        choose_region(answer, placed, std::move(wish));
        return;
    }
    if (!counted && answer.all_cold()) {
        try_another_keeper(answer.run(), std::move(wish));
        return;
    }
    if (!may_use(answer, wish)) {
        counters_.counter("placement_answers_unusable_total") += 1;
        if (counted) {
            ended(placed, run_end::left);
        }
        choose_alone(answer.run(), std::move(wish));
        return;
    }
    counters_.histogram("placement_ask_ms").observe(placed.asked_for);
    target_choice choice = from_wire(answer, targets_);
    drop_forbidden_copy(wish.request, choice);
    const near_offer offer = offer_of(answer.run(), choice, wish.keeper, placed.asked_for);
    const bool is_near = reach_.round_trip(wish.keeper) == microseconds(0);
    if (is_near && ask_afar(offer, wish)) {
        return;
    }
    targets_.improve_copy_source(now, wish.request, choice);
    placed.counted_here =
        targets_.begin_attempt(now, placed.target, wish.request, choice.uncached_tokens, false);
    wish.chosen(choice, placed);
}

/// The keeper's settings or its list may be older than this entry's.
void placement_exchange::drop_forbidden_copy(const engine_request& request, target_choice& choice) {
    if (choice.copy_from == nullptr ||
        targets_.may_copy(choice.copy_from->id, choice.target->id, request.constraints.regions)) {
        return;
    }
    counters_.counter("placement_copies_forbidden_total") += 1;
    choice.copy_from = nullptr;
    choice.uncached_tokens = request.prompt.prompt_tokens;
}

/// A keeper of another region answered while one of the own region holds a place: the better one is
/// used and the other one taken back.
void placement_exchange::choose_region(const wire::PlacementAnswer& answer, placed_run placed,
                                       pending_ask wish) {
    const bool better =
        may_use(answer, wish) && answer.sum() < gain_to_cross * wish.offer->price.total;
    if (!better) {
        no_ask_afar_until_ = monotonic_now() + vain_rest;
        if (!answer.target().empty()) {
            ended(placed, run_end::left);
        }
        use_offer(std::move(wish));
        return;
    }
    counters_.counter("placements_afar_total") += 1;
    take_back(*wish.offer);
    target_choice choice = from_wire(answer, targets_);
    drop_forbidden_copy(wish.request, choice);
    placed.counted_here = targets_.begin_attempt(monotonic_now(), placed.target, wish.request,
                                                 choice.uncached_tokens, false);
    wish.chosen(choice, placed);
}

void placement_exchange::first_event(const placed_run& run) {
    const instant now = monotonic_now();
    if (run.counted_here != 0) {
        targets_.record_first_event(now, run.target, run.counted_here);
    }
    if (run.keeper_endpoint.empty()) {
        desk_.first_event(now, run.number);
        return;
    }
    wire::RunNews news;
    news.set_run(run.number);
    news.set_first_event(true);
    news_.tell(run.keeper_endpoint, news);
}

void placement_exchange::next_events(placed_run& run, microseconds span) {
    const instant now = monotonic_now();
    if (run.counted_here != 0) {
        targets_.record_event_span(now, run.target, span);
    }
    if (run.keeper_endpoint.empty()) {
        desk_.next_events(now, run.number, span);
        return;
    }
    run.spans.push_back(span);
}

void placement_exchange::ended(const placed_run& run, run_end how) {
    const instant now = monotonic_now();
    targets_.end_attempt(now, run.target, run.counted_here);
    if (run.keeper_endpoint.empty()) {
        desk_.ended_here(now, run.number);
        return;
    }
    wire::RunNews news;
    news.set_run(run.number);
    news.set_end(to_wire(how));
    for (const microseconds span : run.spans) {
        news.add_spans_us(static_cast<std::uint32_t>(span.count()));
    }
    news_.tell(run.keeper_endpoint, news);
}

}  // namespace wrenswitch
