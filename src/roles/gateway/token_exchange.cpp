#include "roles/gateway/token_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/lag_watch.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// An entry asks for what its requests need in this time beside the one that asks, so that one that
/// has most of an account's requests doesn't ask for each: two messages of some 55 us each in which
/// a request costs 460 us.
constexpr microseconds asked_ahead = milliseconds(100);

/// How often a home gets its time again for that.
constexpr unsigned most_extensions = 2;

/// How often a request is behind another one that doesn't bring enough before it asks for itself.
constexpr unsigned most_followed = 2;

wire::TokenOutcome to_wire(reserve_outcome outcome) {
    switch (outcome) {
        case reserve_outcome::reserved:
            return wire::TOKENS_GIVEN;
        case reserve_outcome::short_of_tokens:
            return wire::TOKENS_SHORT;
        case reserve_outcome::exhausted:
            return wire::TOKENS_EXHAUSTED;
    }
    return wire::TOKENS_UNAVAILABLE;
}

wire::Envelope make_answer(std::uint64_t ask, const std::string& account, tokens amount,
                           wire::TokenOutcome outcome) {
    wire::Envelope message;
    wire::TokenAnswer& answer = *message.mutable_token_answer();
    answer.set_ask(ask);
    answer.set_outcome(outcome);
    answer.set_account(account);
    answer.set_amount(amount);
    return message;
}

}  // namespace

token_exchange::token_exchange(event_loop& loop, message_bus& bus, token_allocator_selector& homes,
                               grant_holder& grants, token_waiters& waiters, metrics& counters,
                               token_exchange_settings settings, hooks needs)
    : loop_(loop),
      bus_(bus),
      homes_(homes),
      grants_(grants),
      waiters_(waiters),
      counters_(counters),
      settings_(settings),
      hooks_(std::move(needs)) {}

token_exchange::~token_exchange() {
    *alive_ = false;
}

std::string token_exchange::describe_home(instant now, const std::string& account) const {
    const auto home = homes_.allocator_of(now, account);
    return home ? home->host : "none";
}

/// A wait is worth while only if the tokens are there to be drawn; else they would have to come
/// from other hosts.
microseconds token_exchange::wait_for(const std::string& account, tokens amount) const {
    return grants_.ungranted(account) >= amount ? settings_.wait : settings_.short_wait;
}

token_exchange::wait_result token_exchange::reserve(instant now, const std::string& account,
                                                    tokens amount, answer_hook told) {
    if (!waiters_.waits(account) && grants_.free_tokens(account) >= amount &&
        grants_.reserve(now, account, amount) == reserve_outcome::reserved) {
        return {reserve_outcome::reserved, nullptr};
    }
    auto wanted = std::make_shared<handle>();
    const auto number = random_.next_id<incarnation_id>();
    pending_[raw(number)] = {account, amount, std::move(told), wanted, {}, {}, {}, 0, false, 0, 0};
    ask_or_follow(raw(number));
    return {reserve_outcome::short_of_tokens, std::move(wanted)};
}

/// While one request asks for an account's tokens, with what the next ones need, the others wait
/// for its answer: an entry that has most of an account's requests asked for each of them, 941
/// times in 8 s, while the tokens for all were on their way.
void token_exchange::ask_or_follow(std::uint64_t number) {
    const std::string account = pending_.at(number).account;
    if (!leaders_.try_emplace(account, number).second) {
        followers_[account].push_back(number);
        return;
    }
    lead(number, account);
}

void token_exchange::lead(std::uint64_t number, const std::string& account) {
    ask_next(number);
    const auto asking = pending_.find(number);
    if (asking == pending_.end() || asking->second.waits_here) {
        release_followers(number, account);
    }
}

/// Serves those behind a reservation from what came, and lets the first that isn't served ask for
/// the others too. One that was passed over too often asks for itself.
void token_exchange::release_followers(std::uint64_t number, const std::string& account) {
    const auto leader = leaders_.find(account);
    if (leader == leaders_.end() || leader->second != number) {
        return;
    }
    leaders_.erase(leader);
    auto behind = followers_.extract(account);
    if (behind.empty()) {
        return;
    }
    std::vector<std::uint64_t> unserved;
    for (const std::uint64_t each : behind.mapped()) {
        const auto found = pending_.find(each);
        if (found == pending_.end()) {
            continue;
        }
        pending_reservation& reservation = found->second;
        reservation.followed += 1;
        if (reservation.wanted.expired()) {
            pending_.erase(found);
        } else if (grants_.free_tokens(account) >= reservation.amount &&
                   grants_.reserve(monotonic_now(), account, reservation.amount) ==
                       reserve_outcome::reserved) {
            finish(each, reserve_outcome::reserved);
        } else if (reservation.followed >= most_followed) {
            ask_next(each);
        } else {
            unserved.push_back(each);
        }
    }
    follow_first(account, unserved);
}

void token_exchange::follow_first(const std::string& account,
                                  std::span<const std::uint64_t> unserved) {
    if (unserved.empty()) {
        return;
    }
    const auto [leader, first] = leaders_.try_emplace(account, unserved.front());
    std::vector<std::uint64_t>& behind = followers_[account];
    behind.insert(behind.end(), unserved.begin() + (first ? 1 : 0), unserved.end());
    if (first) {
        lead(unserved.front(), account);
    }
}

/// What an ask should bring beside what its own request needs.
tokens token_exchange::wanted_ahead(std::uint64_t number, const std::string& account) const {
    tokens sum = grants_.expected_demand(monotonic_now(), account, asked_ahead);
    const auto leader = leaders_.find(account);
    const auto behind = followers_.find(account);
    if (leader == leaders_.end() || leader->second != number || behind == followers_.end()) {
        return sum;
    }
    for (const std::uint64_t each : behind->second) {
        const auto found = pending_.find(each);
        sum += found == pending_.end() ? 0 : found->second.amount;
    }
    return sum;
}

void token_exchange::ask_next(std::uint64_t number) {
    pending_reservation& present = pending_.at(number);
    const auto home = homes_.allocator_of(monotonic_now(), present.account, present.tried);
    const bool asks = home && present.tried.size() < settings_.most_homes_asked &&
                      home->host != homes_.own_host();
    if (asks) {
        ask(number, *home);
    } else {
        wait_here(number);
    }
}

void token_exchange::ask(std::uint64_t number, const cluster_member& home) {
    pending_reservation& present = pending_.at(number);
    present.asked = home;
    present.asked_at = monotonic_now();
    present.tried.push_back(home.host);
    counters_.counter("token_asks_total") += 1;
    wire::Envelope message;
    wire::TokenAsk& body = *message.mutable_token_ask();
    body.set_ask(number);
    body.set_account(present.account);
    body.set_amount(present.amount);
    body.set_ahead(wanted_ahead(number, present.account));
    bus_.send(home.endpoint, message);
    watch_silence(number, settings_.silence + homes_.round_trip(home));
}

void token_exchange::watch_silence(std::uint64_t number, microseconds longest) {
    const unsigned step = ++pending_.at(number).step;
    const instant due = monotonic_now() + longest;
    loop_.call_after(longest, [this, number, step, longest, due, alive = alive_] {
        if (!*alive) {
            return;
        }
        const auto found = pending_.find(number);
        if (found == pending_.end() || found->second.step != step) {
            return;
        }
        // The answer may lie unread in a process that is this late itself.
        const bool late = monotonic_now() - due > late_timer_threshold;
        if (late && found->second.extensions < most_extensions) {
            found->second.extensions += 1;
            watch_silence(number, longest);
            return;
        }
        home_is_silent(number);
    });
}

void token_exchange::home_is_silent(std::uint64_t number) {
    const std::string home = pending_.at(number).asked.host;
    counters_.counter("token_homes_silent_total") += 1;
    if (!hooks_.link_is_full() && homes_.record_failure(monotonic_now(), home)) {
        log_event(log_level::warning, "token_home_lost", {{"home", home}});
    }
    hooks_.home_silent(home);
    if (pending_.contains(number)) {
        ask_next_if_wanted(number);
    }
}

void token_exchange::refuse_waiting() {
    leaders_.clear();
    followers_.clear();
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, reservation] : pending_) {
        waiting.push_back(number);
    }
    for (const std::uint64_t number : waiting) {
        finish(number, reserve_outcome::short_of_tokens);
    }
}

void token_exchange::ask_next_if_wanted(std::uint64_t number) {
    const std::string account = pending_.at(number).account;
    if (pending_.at(number).wanted.expired()) {
        pending_.erase(number);
        release_followers(number, account);
        return;
    }
    lead(number, account);
}

/// Draws from the ledger for this request: this process is the home, or no home answers.
void token_exchange::wait_here(std::uint64_t number) {
    pending_reservation& present = pending_.at(number);
    present.step += 1;
    present.waits_here = true;
    const auto told = [this, number, alive = alive_](reserve_outcome outcome) {
        if (*alive) {
            finish(number, outcome);
        }
    };
    const auto found = waiters_.reserve(monotonic_now(), present.account, present.amount, told,
                                        present.wanted.lock());
    if (!found.waiting) {
        // Told later, since the caller doesn't have its handle yet.
        loop_.call_after(microseconds(0), [told, outcome = found.now] { told(outcome); });
        return;
    }
    // Without the log nothing can be drawn, so that the caller had better try elsewhere at once.
    const microseconds longest =
        hooks_.log_answers() ? wait_for(present.account, present.amount) : microseconds(0);
    hooks_.tokens_wanted();
    loop_.call_after(longest, [told] { told(reserve_outcome::short_of_tokens); });
}

void token_exchange::finish(std::uint64_t number, reserve_outcome outcome) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    const pending_reservation done = std::move(found->second);
    pending_.erase(found);
    const bool wanted = !done.wanted.expired();
    if (!wanted && outcome == reserve_outcome::reserved) {
        grants_.release(done.account, done.amount);
    }
    if (wanted) {
        done.told(outcome);
    }
    release_followers(number, done.account);
}

bool token_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_token_ask()) {
        on_ask(origin, message);
        return true;
    }
    if (message.has_token_answer()) {
        on_answer(message);
        return true;
    }
    if (message.has_token_return()) {
        take_returned(message);
        return true;
    }
    return false;
}

void token_exchange::on_ask(const message_origin& origin, const wire::Envelope& message) {
    const wire::TokenAsk& body = message.token_ask();
    const std::uint64_t ask = body.ask();
    const std::string& account = body.account();
    const tokens amount = body.amount();
    if (amount <= 0 || !hooks_.can_help()) {
        bus_.answer(origin, make_answer(ask, account, 0, wire::TOKENS_UNAVAILABLE));
        return;
    }
    const std::uint64_t number = ++last_waiting_ask_;
    auto found = waiters_.reserve(
        monotonic_now(), account, amount,
        [this, origin, ask, account, amount, number, alive = alive_](reserve_outcome outcome) {
            if (*alive) {
                waiting_asks_.erase(number);
                answer_ask(origin, ask, account, amount, outcome);
            }
        });
    if (!found.waiting) {
        const bool given = found.now == reserve_outcome::reserved;
        const tokens ahead = given ? reserve_ahead(account, body.ahead()) : 0;
        answer_ask(origin, ask, account, amount + ahead, found.now);
        return;
    }
    if (!hooks_.log_answers()) {
        bus_.answer(origin, make_answer(ask, account, 0, wire::TOKENS_UNAVAILABLE));
        return;
    }
    waiting_asks_[number] = std::move(found.waiting);
    bus_.answer(origin, make_answer(ask, account, 0, wire::TOKENS_WAITING));
    const microseconds longest = wait_for(account, amount);
    hooks_.tokens_wanted();
    loop_.call_after(longest, [this, origin, ask, account, amount, number, alive = alive_] {
        if (*alive && waiting_asks_.erase(number) > 0) {
            answer_ask(origin, ask, account, amount, reserve_outcome::short_of_tokens);
        }
    });
}

/// Sets aside what an asker would take beside what it needs now, if that leaves as much here.
tokens token_exchange::reserve_ahead(const std::string& account, tokens ahead) {
    const tokens given = std::min(ahead, grants_.free_tokens(account) / 2);
    const bool useful = given > 0 && !waiters_.waits(account);
    const bool reserved =
        useful && grants_.reserve(monotonic_now(), account, given) == reserve_outcome::reserved;
    return reserved ? given : 0;
}

void token_exchange::answer_ask(const message_origin& origin, std::uint64_t ask,
                                const std::string& account, tokens amount,
                                reserve_outcome outcome) {
    const bool given = outcome == reserve_outcome::reserved;
    if (given) {
        grants_.transfer_out(monotonic_now(), account, amount);
        counters_.counter("tokens_given_total") += static_cast<double>(amount);
    }
    bus_.answer(origin, make_answer(ask, account, given ? amount : 0, to_wire(outcome)));
}

void token_exchange::on_answer(const wire::Envelope& message) {
    const wire::TokenAnswer& answer = message.token_answer();
    const auto found = pending_.find(answer.ask());
    const bool awaited = found != pending_.end() && !found->second.waits_here;
    if (awaited) {
        home_answered(found->second);
    }
    if (answer.outcome() == wire::TOKENS_GIVEN) {
        take_given(message);
        return;
    }
    if (!awaited) {
        return;
    }
    switch (answer.outcome()) {
        case wire::TOKENS_WAITING:
            watch_silence(answer.ask(),
                          settings_.waiting_silence + homes_.round_trip(found->second.asked));
            // Those behind it get places of their own in the home's queue.
            release_followers(answer.ask(), answer.account());
            return;
        case wire::TOKENS_SHORT:
            finish(answer.ask(), reserve_outcome::short_of_tokens);
            return;
        case wire::TOKENS_EXHAUSTED:
            finish(answer.ask(), reserve_outcome::exhausted);
            return;
        default:
            ask_next_if_wanted(answer.ask());
    }
}

/// Only the first answer to an ask tells how far the home is: the next one waited for the ledger.
void token_exchange::home_answered(pending_reservation& present) {
    const cluster_member& home = present.asked;
    if (homes_.record_answer(home.host)) {
        log_event(log_level::information, "token_home_regained", {{"home", home.host}});
    }
    if (const instant asked = std::exchange(present.asked_at, {}); asked != instant{}) {
        homes_.record_round_trip(home, monotonic_now() - asked);
    }
}

void token_exchange::take_returned(const wire::Envelope& message) {
    for (const wire::TokenAmount& part : message.token_return().amounts()) {
        if (part.amount() > 0) {
            grants_.transfer_in(part.account(), part.amount());
        }
    }
    waiters_.serve(monotonic_now());
}

void token_exchange::on_undelivered(const wire::Envelope& message) {
    if (message.has_token_return()) {
        take_returned(message);
    }
}

/// The tokens are this process's now. If the request has gone, they are free here until they are
/// returned.
void token_exchange::take_given(const wire::Envelope& message) {
    const wire::TokenAnswer& answer = message.token_answer();
    grants_.transfer_in(answer.account(), answer.amount());
    const auto found = pending_.find(answer.ask());
    if (found == pending_.end() || found->second.waits_here) {
        counters_.counter("tokens_given_late_total") += static_cast<double>(answer.amount());
        waiters_.serve(monotonic_now());
        return;
    }
    const reserve_outcome outcome =
        grants_.reserve(monotonic_now(), answer.account(), found->second.amount);
    finish(answer.ask(), outcome);
}

/// A connection over 20 ms takes some 160 ms to be made, and a home is given 100 ms: every entry
/// took its first homes of another region for lost, 45 times in the first second.
void token_exchange::open_ways() {
    std::set<std::string> wanted;
    for (const cluster_member& home : homes_.remote_allocators()) {
        wanted.insert(home.endpoint);
        if (!greeted_.contains(home.endpoint)) {
            wire::Envelope greeting;
            greeting.mutable_token_return();
            bus_.send(home.endpoint, greeting);
        }
    }
    greeted_ = std::move(wanted);
}

void token_exchange::return_free(instant now) {
    std::map<std::string, wire::Envelope> by_endpoint;
    for (const std::string& account : grants_.accounts_with_free_tokens()) {
        const auto home = homes_.allocator_of(now, account);
        const bool elsewhere = home && home->host != homes_.own_host();
        const tokens free = elsewhere ? grants_.withdraw_free(account) : 0;
        if (free <= 0) {
            continue;
        }
        wire::TokenAmount& part =
            *by_endpoint[home->endpoint].mutable_token_return()->add_amounts();
        part.set_account(account);
        part.set_amount(free);
    }
    for (const auto& [endpoint, message] : by_endpoint) {
        bus_.send(endpoint, message);
    }
}

}  // namespace wrenswitch
