#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "roles/gateway/token_wait_queue.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Settings of a token_exchange.
struct token_exchange_settings {
    /// How long a request waits for tokens at its allocator.
    microseconds wait_timeout = milliseconds(800);
    /// The same if the tokens would have to be returned by other hosts.
    microseconds short_wait_timeout = milliseconds(120);
    /// An allocator that hasn't replied by then is skipped.
    microseconds reply_timeout = milliseconds(60);
    /// The same after the allocator has replied that it waits for the ledger.
    microseconds waiting_reply_timeout = milliseconds(900);
    /// How many allocators are queried for one request before this host draws tokens itself.
    std::size_t max_allocators_queried = 2;
};

/// Gets the tokens that requests need from this process's own grants, from the account's allocator
/// or, if no allocator replies, from the ledger. As an allocator it serves the other gateways.
/// Tokens are taken from the sender's grants before they are sent, and a message is never sent
/// twice, so no network fault can duplicate tokens.
class token_exchange {
public:
    using outcome_hook = token_wait_queue::outcome_hook;
    using handle = token_wait_queue::handle;
    using wait_result = token_wait_queue::wait_result;

    /// Callbacks into the process.
    struct hooks {
        /// Draws tokens from the ledger now instead of at the next tick.
        std::function<void()> request_draw;
        /// False while this process can't act as an allocator: its ledger state isn't known or it
        /// is shutting down.
        std::function<bool()> can_allocate;
        /// True while the ledger's log is reachable.
        std::function<bool()> is_log_reachable;
        /// True while this process's own link is saturated, so that late replies say nothing about
        /// other hosts.
        std::function<bool()> is_link_saturated;
        /// An allocator didn't reply to a query in time.
        std::function<void(const std::string& host)> allocator_unresponsive;
    };

    /// All references must outlive the exchange.
    token_exchange(event_loop& loop, message_bus& bus, token_allocator_selector& allocators,
                   grant_holder& grants, token_wait_queue& wait_queue, metrics& counters,
                   token_exchange_settings settings, hooks needs);
    ~token_exchange();
    token_exchange(const token_exchange&) = delete;
    token_exchange& operator=(const token_exchange&) = delete;

    /// Reserves tokens, which this process's grants then hold. The result is immediate, or the hook
    /// is called within the longest wait unless the handle is destroyed.
    wait_result reserve(instant now, const std::string& account, tokens amount,
                        outcome_hook on_outcome);

    /// Ends the waits of this process's own requests when no process that could serve them is
    /// reachable.
    void refuse_waiting();

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// A message of this process was certainly not sent.
    void on_undelivered(const wire::Envelope& message);

    /// Returns free tokens that belong to other processes to their accounts' allocators.
    void return_free_tokens(instant now);

    /// Opens the connections to allocators in other regions before a request needs them.
    void connect_to_allocators();

    void set_settings(const token_exchange_settings& settings) { settings_ = settings; }

    /// The host of an account's allocator, for logs.
    std::string describe_allocator(instant now, const std::string& account) const;

private:
    /// A reservation that is querying allocators.
    struct pending_reservation {
        std::string account;
        tokens amount = 0;
        outcome_hook on_outcome;
        std::weak_ptr<handle> caller_handle;
        std::vector<std::string> tried;
        /// The allocator that was queried last, and when.
        cluster_member allocator;
        instant queried_at{};
        /// Identifies the current timeout, so that a superseded timer does nothing.
        unsigned timer_generation = 0;
        /// True once it waits in this process's own queue because no allocator is left to query.
        bool waits_locally = false;
        /// How often the timeout was extended because this process itself was late.
        unsigned extensions = 0;
        /// How often it waited behind another reservation that didn't bring enough tokens for it.
        unsigned times_followed = 0;
    };

    void query_or_follow(std::uint64_t id);
    void query_as_leader(std::uint64_t id, const std::string& account);
    void release_followers(std::uint64_t id, const std::string& account);
    void elect_leader(const std::string& account, std::span<const std::uint64_t> unserved);
    tokens tokens_ahead(std::uint64_t id, const std::string& account) const;
    void query_next(std::uint64_t id);
    void query(std::uint64_t id, const cluster_member& allocator);
    void wait_locally(std::uint64_t id);
    void start_reply_timer(std::uint64_t id, microseconds timeout);
    void on_reply_timeout(std::uint64_t id);
    void suspect(const std::string& allocator);
    void on_silence(const std::string& allocator, instant due);
    void query_next_or_drop(std::uint64_t id);
    void finish(std::uint64_t id, reserve_outcome outcome);
    microseconds wait_timeout_for(const std::string& account, tokens amount) const;

    void on_query(const message_origin& origin, const wire::Envelope& message);
    void on_reply(const message_origin& origin, const wire::Envelope& message);
    void record_round_trip(pending_reservation& reservation);
    void record_answer(std::string_view endpoint, bool in_time);
    void accept_tokens(const wire::Envelope& message);
    void accept_returned(const wire::Envelope& message);
    tokens reserve_ahead(const std::string& account, tokens ahead);
    void reply_to_query(const message_origin& origin, std::uint64_t query,
                        const std::string& account, tokens amount, reserve_outcome outcome);

    event_loop& loop_;
    message_bus& bus_;
    token_allocator_selector& allocators_;
    grant_holder& grants_;
    token_wait_queue& wait_queue_;
    metrics& counters_;
    token_exchange_settings settings_;
    hooks hooks_;
    random_source random_;
    std::map<std::uint64_t, pending_reservation> pending_;
    /// For each account, the reservation that also queries for those behind it, and these in their
    /// order.
    std::map<std::string, std::uint64_t> leaders_;
    std::map<std::string, std::vector<std::uint64_t>> followers_;
    /// Endpoints of allocators in other regions to which a connection was opened.
    std::set<std::string> connected_;
    /// Queries of other gateways that wait in this process's queue, by a local id.
    std::map<std::uint64_t, std::shared_ptr<handle>> waiting_queries_;
    std::uint64_t last_waiting_query_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
