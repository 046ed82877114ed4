#include "roles/gateway/token_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/loop_lag_monitor.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// A query also asks for the tokens that this gateway's requests are expected to need in this time,
/// so that a gateway with most of an account's requests doesn't send one query for each: two
/// messages of about 55 us each for a request that costs 460 us.
constexpr microseconds demand_horizon = milliseconds(100);

/// How often the reply timeout is extended because this process was late.
constexpr unsigned max_extensions = 2;

/// An allocator that has sent no answer for this long after a query timed out is taken for lost.
/// This is a few times the retransmission time of a lost packet, and longer than messages queue
/// before a saturated link.
constexpr microseconds loss_timeout = seconds(1);

/// How often a request waits behind another one that brings too few tokens before it sends a query
/// of its own.
constexpr unsigned max_times_followed = 2;

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

wire::Envelope make_reply(std::uint64_t query, const std::string& account, tokens amount,
                          wire::TokenOutcome outcome) {
    wire::Envelope message;
    wire::TokenAnswer& reply = *message.mutable_token_answer();
    reply.set_ask(query);
    reply.set_outcome(outcome);
    reply.set_account(account);
    reply.set_amount(amount);
    return message;
}

/// True for amounts that a request or a transfer may have. Others are damage, and counting them
/// would change what the account may spend.
bool is_valid_amount(tokens amount) {
    return amount > 0 && amount <= max_budget_limit;
}

}  // namespace

token_exchange::token_exchange(event_loop& loop, message_bus& bus,
                               token_allocator_selector& allocators, grant_holder& grants,
                               token_wait_queue& wait_queue, metrics& counters,
                               token_exchange_settings settings, hooks needs)
    : loop_(loop),
      bus_(bus),
      allocators_(allocators),
      grants_(grants),
      wait_queue_(wait_queue),
      counters_(counters),
      settings_(settings),
      hooks_(std::move(needs)) {}

token_exchange::~token_exchange() {
    *alive_ = false;
}

std::string token_exchange::describe_allocator(instant now, const std::string& account) const {
    const auto allocator = allocators_.allocator_of(now, account);
    return allocator ? allocator->host : "none";
}

/// A long wait only pays off if the tokens can be drawn from the ledger; otherwise they would have
/// to be returned by other hosts.
microseconds token_exchange::wait_timeout_for(const std::string& account, tokens amount) const {
    return grants_.ungranted(account) >= amount ? settings_.wait_timeout
                                                : settings_.short_wait_timeout;
}

token_exchange::wait_result token_exchange::reserve(instant now, const std::string& account,
                                                    tokens amount, outcome_hook on_outcome) {
    if (!wait_queue_.has_waiting(account) && grants_.free_tokens(account) >= amount &&
        grants_.reserve(now, account, amount) == reserve_outcome::reserved) {
        return {reserve_outcome::reserved, nullptr};
    }
    auto caller_handle = std::make_shared<handle>();
    const auto id = random_.next_id<incarnation_id>();
    pending_[raw(id)] = {
        account, amount, std::move(on_outcome), caller_handle, {}, {}, {}, 0, false, 0, 0};
    query_or_follow(raw(id));
    return {reserve_outcome::short_of_tokens, std::move(caller_handle)};
}

/// While one request of an account queries for its own tokens and those of the next ones, the
/// others wait for the reply. Without this, a gateway with most of an account's requests sent 941
/// queries in 8 s, one for each, while the tokens for all of them were on their way.
void token_exchange::query_or_follow(std::uint64_t id) {
    const std::string account = pending_.at(id).account;
    if (!leaders_.try_emplace(account, id).second) {
        followers_[account].push_back(id);
        return;
    }
    query_as_leader(id, account);
}

void token_exchange::query_as_leader(std::uint64_t id, const std::string& account) {
    query_next(id);
    const auto leading = pending_.find(id);
    if (leading == pending_.end() || leading->second.waits_locally) {
        release_followers(id, account);
    }
}

/// Serves the requests behind a reservation with the tokens that it brought, and lets the first
/// unserved one query for the rest. A request that was left out too often sends its own query.
void token_exchange::release_followers(std::uint64_t id, const std::string& account) {
    const auto leader = leaders_.find(account);
    if (leader == leaders_.end() || leader->second != id) {
        return;
    }
    leaders_.erase(leader);
    auto followers = followers_.extract(account);
    if (followers.empty()) {
        return;
    }
    std::vector<std::uint64_t> unserved;
    for (const std::uint64_t each : followers.mapped()) {
        const auto found = pending_.find(each);
        if (found == pending_.end()) {
            continue;
        }
        pending_reservation& reservation = found->second;
        reservation.times_followed += 1;
        if (reservation.caller_handle.expired()) {
            pending_.erase(found);
        } else if (grants_.free_tokens(account) >= reservation.amount &&
                   grants_.reserve(monotonic_now(), account, reservation.amount) ==
                       reserve_outcome::reserved) {
            finish(each, reserve_outcome::reserved);
        } else if (reservation.times_followed >= max_times_followed) {
            query_next(each);
        } else {
            unserved.push_back(each);
        }
    }
    elect_leader(account, unserved);
}

void token_exchange::elect_leader(const std::string& account,
                                  std::span<const std::uint64_t> unserved) {
    if (unserved.empty()) {
        return;
    }
    const auto [leader, first] = leaders_.try_emplace(account, unserved.front());
    std::vector<std::uint64_t>& followers = followers_[account];
    followers.insert(followers.end(), unserved.begin() + (first ? 1 : 0), unserved.end());
    if (first) {
        query_as_leader(unserved.front(), account);
    }
}

/// How many tokens a query should bring in addition to those of its own request.
tokens token_exchange::tokens_ahead(std::uint64_t id, const std::string& account) const {
    tokens sum = grants_.expected_demand(monotonic_now(), account, demand_horizon);
    const auto leader = leaders_.find(account);
    const auto followers = followers_.find(account);
    if (leader == leaders_.end() || leader->second != id || followers == followers_.end()) {
        return sum;
    }
    for (const std::uint64_t each : followers->second) {
        const auto found = pending_.find(each);
        sum += found == pending_.end() ? 0 : found->second.amount;
    }
    return sum;
}

void token_exchange::query_next(std::uint64_t id) {
    pending_reservation& reservation = pending_.at(id);
    const auto allocator =
        allocators_.allocator_of(monotonic_now(), reservation.account, reservation.tried);
    const bool queries_other = allocator &&
                               reservation.tried.size() < settings_.max_allocators_queried &&
                               allocator->host != allocators_.own_host();
    if (queries_other) {
        query(id, *allocator);
    } else {
        wait_locally(id);
    }
}

void token_exchange::query(std::uint64_t id, const cluster_member& allocator) {
    pending_reservation& reservation = pending_.at(id);
    reservation.allocator = allocator;
    reservation.queried_at = monotonic_now();
    reservation.tried.push_back(allocator.host);
    counters_.counter("token_asks_total") += 1;
    wire::Envelope message;
    wire::TokenAsk& body = *message.mutable_token_ask();
    body.set_ask(id);
    body.set_account(reservation.account);
    body.set_amount(reservation.amount);
    body.set_ahead(tokens_ahead(id, reservation.account));
    bus_.send(allocator.endpoint, message);
    start_reply_timer(id, settings_.reply_timeout + allocators_.round_trip(allocator));
}

void token_exchange::start_reply_timer(std::uint64_t id, microseconds timeout) {
    const unsigned generation = ++pending_.at(id).timer_generation;
    const instant due = monotonic_now() + timeout;
    loop_.call_after(timeout, [this, id, generation, timeout, due, alive = alive_] {
        if (!*alive) {
            return;
        }
        const auto found = pending_.find(id);
        if (found == pending_.end() || found->second.timer_generation != generation) {
            return;
        }
        // The reply may be waiting unread because this process itself is behind.
        const bool delayed_here = monotonic_now() - due > late_timer_threshold;
        if (delayed_here && found->second.extensions < max_extensions) {
            found->second.extensions += 1;
            start_reply_timer(id, timeout);
            return;
        }
        on_reply_timeout(id);
    });
}

void token_exchange::on_reply_timeout(std::uint64_t id) {
    const std::string allocator = pending_.at(id).allocator.host;
    counters_.counter("token_homes_silent_total") += 1;
    if (!hooks_.is_link_saturated()) {
        suspect(allocator);
    }
    hooks_.allocator_unresponsive(allocator);
    if (pending_.contains(id)) {
        query_next_or_drop(id);
    }
}

/// Requests go to another allocator for a while. The accounts stay this one's unless it is lost:
/// its link may just be saturated, and an account that moves needs tokens in two places.
void token_exchange::suspect(const std::string& allocator) {
    const auto suspicion = allocators_.begin_suspicion(monotonic_now(), allocator);
    if (!suspicion) {
        return;
    }
    counters_.counter("allocator_suspicions_total") += 1;
    const instant due = monotonic_now() + loss_timeout;
    loop_.call_after(loss_timeout, [this, allocator, id = *suspicion, due, alive = alive_] {
        if (*alive && allocators_.end_suspicion(allocator, id)) {
            on_silence(allocator, due);
        }
    });
}

void token_exchange::on_silence(const std::string& allocator, instant due) {
    const instant now = monotonic_now();
    // An answer may be waiting unread because this process itself is behind.
    const bool delayed_here = now - due > late_timer_threshold;
    if (delayed_here || hooks_.is_link_saturated()) {
        return;
    }
    if (allocators_.record_failure(now, allocator)) {
        log_event(log_level::warning, "token_home_lost", {{"home", allocator}});
    }
}

void token_exchange::refuse_waiting() {
    leaders_.clear();
    followers_.clear();
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, reservation] : pending_) {
        waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting) {
        finish(id, reserve_outcome::short_of_tokens);
    }
}

void token_exchange::query_next_or_drop(std::uint64_t id) {
    const std::string account = pending_.at(id).account;
    if (pending_.at(id).caller_handle.expired()) {
        pending_.erase(id);
        release_followers(id, account);
        return;
    }
    query_as_leader(id, account);
}

/// Waits for tokens drawn from the ledger by this process, which is the allocator itself or gets no
/// reply from one.
void token_exchange::wait_locally(std::uint64_t id) {
    pending_reservation& reservation = pending_.at(id);
    reservation.timer_generation += 1;
    reservation.waits_locally = true;
    const auto on_outcome = [this, id, alive = alive_](reserve_outcome outcome) {
        if (*alive) {
            finish(id, outcome);
        }
    };
    const auto found = wait_queue_.reserve(monotonic_now(), reservation.account, reservation.amount,
                                           on_outcome, reservation.caller_handle.lock());
    if (!found.waiting_handle) {
        // Called later, since the caller doesn't have its handle yet.
        loop_.call_after(microseconds(0),
                         [on_outcome, outcome = found.outcome] { on_outcome(outcome); });
        return;
    }
    // Without the log nothing can be drawn, so the request fails at once and the caller can try
    // elsewhere.
    const microseconds timeout = hooks_.is_log_reachable()
                                     ? wait_timeout_for(reservation.account, reservation.amount)
                                     : microseconds(0);
    hooks_.request_draw();
    loop_.call_after(timeout, [on_outcome] { on_outcome(reserve_outcome::short_of_tokens); });
}

void token_exchange::finish(std::uint64_t id, reserve_outcome outcome) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const pending_reservation finished = std::move(found->second);
    pending_.erase(found);
    const bool caller_waits = !finished.caller_handle.expired();
    if (!caller_waits && outcome == reserve_outcome::reserved) {
        grants_.release(finished.account, finished.amount);
    }
    if (caller_waits) {
        finished.on_outcome(outcome);
    }
    release_followers(id, finished.account);
}

bool token_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_token_ask()) {
        on_query(origin, message);
        return true;
    }
    if (message.has_token_answer()) {
        on_reply(origin, message);
        return true;
    }
    if (message.has_token_return()) {
        accept_returned(message);
        return true;
    }
    return false;
}

void token_exchange::on_query(const message_origin& origin, const wire::Envelope& message) {
    const wire::TokenAsk& body = message.token_ask();
    const std::uint64_t query = body.ask();
    const std::string& account = body.account();
    const tokens amount = body.amount();
    if (!is_valid_amount(amount) || !hooks_.can_allocate()) {
        bus_.answer(origin, make_reply(query, account, 0, wire::TOKENS_UNAVAILABLE));
        return;
    }
    const std::uint64_t id = ++last_waiting_query_;
    auto found = wait_queue_.reserve(
        monotonic_now(), account, amount,
        [this, origin, query, account, amount, id, alive = alive_](reserve_outcome outcome) {
            if (*alive) {
                waiting_queries_.erase(id);
                reply_to_query(origin, query, account, amount, outcome);
            }
        });
    if (!found.waiting_handle) {
        const bool given = found.outcome == reserve_outcome::reserved;
        const tokens ahead = given ? reserve_ahead(account, body.ahead()) : 0;
        reply_to_query(origin, query, account, amount + ahead, found.outcome);
        return;
    }
    if (!hooks_.is_log_reachable()) {
        bus_.answer(origin, make_reply(query, account, 0, wire::TOKENS_UNAVAILABLE));
        return;
    }
    waiting_queries_[id] = std::move(found.waiting_handle);
    bus_.answer(origin, make_reply(query, account, 0, wire::TOKENS_WAITING));
    const microseconds timeout = wait_timeout_for(account, amount);
    hooks_.request_draw();
    loop_.call_after(timeout, [this, origin, query, account, amount, id, alive = alive_] {
        if (*alive && waiting_queries_.erase(id) > 0) {
            reply_to_query(origin, query, account, amount, reserve_outcome::short_of_tokens);
        }
    });
}

/// Reserves additional tokens for the querying gateway, up to half of the free tokens.
tokens token_exchange::reserve_ahead(const std::string& account, tokens ahead) {
    const tokens given = std::min(ahead, grants_.free_tokens(account) / 2);
    const bool useful = given > 0 && !wait_queue_.has_waiting(account);
    const bool reserved =
        useful && grants_.reserve(monotonic_now(), account, given) == reserve_outcome::reserved;
    return reserved ? given : 0;
}

void token_exchange::reply_to_query(const message_origin& origin, std::uint64_t query,
                                    const std::string& account, tokens amount,
                                    reserve_outcome outcome) {
    const bool given = outcome == reserve_outcome::reserved;
    if (given) {
        grants_.transfer_out(monotonic_now(), account, amount);
        counters_.counter("tokens_given_total") += static_cast<double>(amount);
    }
    bus_.answer(origin, make_reply(query, account, given ? amount : 0, to_wire(outcome)));
}

/// A reply that comes after its query timed out shows that its allocator lives, but another one may
/// have been queried since: of such a reply only tokens are used.
void token_exchange::on_reply(const message_origin& origin, const wire::Envelope& message) {
    const wire::TokenAnswer& reply = message.token_answer();
    const auto found = pending_.find(reply.ask());
    const bool awaited = found != pending_.end() && !found->second.waits_locally &&
                         found->second.allocator.endpoint == origin.endpoint;
    record_answer(origin.endpoint, awaited);
    if (awaited) {
        record_round_trip(found->second);
    }
    if (reply.outcome() == wire::TOKENS_GIVEN && is_valid_amount(reply.amount())) {
        accept_tokens(message);
        return;
    }
    if (!awaited) {
        return;
    }
    switch (reply.outcome()) {
        case wire::TOKENS_WAITING:
            start_reply_timer(reply.ask(), settings_.waiting_reply_timeout +
                                               allocators_.round_trip(found->second.allocator));
            // The requests behind this one get places of their own in the allocator's queue.
            release_followers(reply.ask(), reply.account());
            return;
        case wire::TOKENS_SHORT:
            finish(reply.ask(), reserve_outcome::short_of_tokens);
            return;
        case wire::TOKENS_EXHAUSTED:
            finish(reply.ask(), reserve_outcome::exhausted);
            return;
        default:
            query_next_or_drop(reply.ask());
    }
}

/// Only the first reply to a query measures the round trip; the next one includes the wait for the
/// ledger.
void token_exchange::record_round_trip(pending_reservation& reservation) {
    if (const instant queried = std::exchange(reservation.queried_at, {}); queried != instant{}) {
        allocators_.record_round_trip(reservation.allocator, monotonic_now() - queried);
    }
}

void token_exchange::record_answer(std::string_view endpoint, bool in_time) {
    const std::string host = allocators_.allocator_at(endpoint);
    if (host.empty()) {
        return;
    }
    if (!in_time) {
        counters_.counter("allocator_late_replies_total") += 1;
    }
    const bool is_regained =
        in_time ? allocators_.record_answer(host) : allocators_.record_late_answer(host);
    if (is_regained) {
        log_event(log_level::information, "token_home_regained", {{"home", host}});
    }
}

void token_exchange::accept_returned(const wire::Envelope& message) {
    for (const wire::TokenAmount& returned : message.token_return().amounts()) {
        if (is_valid_amount(returned.amount())) {
            grants_.transfer_in(returned.account(), returned.amount());
        }
    }
    wait_queue_.serve(monotonic_now());
}

void token_exchange::on_undelivered(const wire::Envelope& message) {
    if (message.has_token_return()) {
        accept_returned(message);
    }
}

/// The tokens belong to this process now. If the request is gone, they stay free here until they
/// are returned.
void token_exchange::accept_tokens(const wire::Envelope& message) {
    const wire::TokenAnswer& reply = message.token_answer();
    grants_.transfer_in(reply.account(), reply.amount());
    const auto found = pending_.find(reply.ask());
    if (found == pending_.end() || found->second.waits_locally) {
        counters_.counter("tokens_given_late_total") += static_cast<double>(reply.amount());
        wait_queue_.serve(monotonic_now());
        return;
    }
    const reserve_outcome outcome =
        grants_.reserve(monotonic_now(), reply.account(), found->second.amount);
    finish(reply.ask(), outcome);
}

/// Opening a connection with a round trip of 20 ms takes about 160 ms, and an allocator has 100 ms
/// to reply. Without this, every gateway took its first allocators in other regions for lost, 45
/// times in the first second.
void token_exchange::connect_to_allocators() {
    std::set<std::string> endpoints;
    for (const cluster_member& allocator : allocators_.remote_allocators()) {
        endpoints.insert(allocator.endpoint);
        if (!connected_.contains(allocator.endpoint)) {
            wire::Envelope hello;
            hello.mutable_token_return();
            bus_.send(allocator.endpoint, hello);
        }
    }
    connected_ = std::move(endpoints);
}

/// Tokens of a suspected owner stay here, since a frozen one would keep what is sent to it.
void token_exchange::return_free_tokens(instant now) {
    std::map<std::string, wire::Envelope> by_endpoint;
    for (const std::string& account : grants_.accounts_with_free_tokens()) {
        const auto owner = allocators_.owner_of(now, account);
        const bool belongs_elsewhere = owner && owner->host != allocators_.own_host() &&
                                       !allocators_.is_suspected(owner->host);
        const tokens free = belongs_elsewhere ? grants_.withdraw_free(account) : 0;
        if (free <= 0) {
            continue;
        }
        wire::TokenAmount& returned =
            *by_endpoint[owner->endpoint].mutable_token_return()->add_amounts();
        returned.set_account(account);
        returned.set_amount(free);
    }
    for (const auto& [endpoint, message] : by_endpoint) {
        bus_.send(endpoint, message);
    }
}

}  // namespace wrenswitch
