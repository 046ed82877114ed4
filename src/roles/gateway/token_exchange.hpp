#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "roles/gateway/token_waiters.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Settings of an exchange.
struct token_exchange_settings {
    /// How long a request waits for tokens at its home.
    microseconds wait = milliseconds(800);
    /// The same, if the tokens would have to come from other hosts.
    microseconds short_wait = milliseconds(120);
    /// A home that hasn't answered by then is passed over.
    microseconds silence = milliseconds(60);
    /// The same, if it has said that it waits for the ledger.
    microseconds waiting_silence = milliseconds(900);
    /// How many homes are asked for one request before this host draws by itself.
    std::size_t most_homes_asked = 2;
};

/// Gets the tokens that requests need: from this process's own hands, from the account's home, or,
/// if no home answers, from the ledger. As a home it answers the other entries. Tokens that move
/// are gone at the giver before the message is sent, and a message is never sent twice, so that no
/// fault of the network makes them more.
class token_exchange {
public:
    using answer_hook = token_waiters::answer_hook;
    using handle = token_waiters::handle;
    using wait_result = token_waiters::wait_result;

    /// What an exchange needs of its process.
    struct hooks {
        /// Draws tokens from the ledger now rather than at the next tick.
        std::function<void()> tokens_wanted;
        /// False while this process can't be a home: its ledger isn't known or it stops.
        std::function<bool()> can_help;
        /// True while the ledger's log answers.
        std::function<bool()> log_answers;
        /// True while this process's own link is full, so that what comes late says nothing of
        /// others.
        std::function<bool()> link_is_full;
        /// A home that was asked has said nothing.
        std::function<void(const std::string& host)> home_silent;
    };

    /// All that is referred to must outlive the exchange.
    token_exchange(event_loop& loop, message_bus& bus, token_allocator_selector& homes,
                   grant_holder& grants, token_waiters& waiters, metrics& counters,
                   token_exchange_settings settings, hooks needs);
    ~token_exchange();
    token_exchange(const token_exchange&) = delete;
    token_exchange& operator=(const token_exchange&) = delete;

    /// Reserves at the grants of this process, which hold the tokens then. Either the result is
    /// there at once, or the hook is told within the longest wait, unless the handle is destroyed.
    wait_result reserve(instant now, const std::string& account, tokens amount, answer_hook told);

    /// Ends all waits of this process's own requests, since nobody is reached who could end them.
    void refuse_waiting();

    /// Takes a message. False if it isn't for the exchange.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// A message of this process's was certainly not sent.
    void on_undelivered(const wire::Envelope& message);

    /// Moves what is free here and belongs elsewhere to the accounts' homes.
    void return_free(instant now);

    /// Makes the connections to homes of other regions before a request needs them.
    void open_ways();

    void set_settings(const token_exchange_settings& settings) { settings_ = settings; }

    /// Which home an account's tokens come from, for logs.
    std::string describe_home(instant now, const std::string& account) const;

private:
    /// A reservation on its way through the homes.
    struct pending_reservation {
        std::string account;
        tokens amount = 0;
        answer_hook told;
        std::weak_ptr<handle> wanted;
        std::vector<std::string> tried;
        /// The host that was asked last, and when.
        cluster_member asked;
        instant asked_at{};
        /// Counts what is waited for, so that a timer that was overtaken does nothing.
        unsigned step = 0;
        /// True once it waits in this process's own queue, since no home is left to ask.
        bool waits_here = false;
        /// How often a home was given more time because this process itself was late.
        unsigned extensions = 0;
        /// How often it was behind another one that didn't bring enough for it.
        unsigned followed = 0;
    };

    void ask_or_follow(std::uint64_t number);
    void lead(std::uint64_t number, const std::string& account);
    void release_followers(std::uint64_t number, const std::string& account);
    void follow_first(const std::string& account, std::span<const std::uint64_t> unserved);
    tokens wanted_ahead(std::uint64_t number, const std::string& account) const;
    void ask_next(std::uint64_t number);
    void ask(std::uint64_t number, const cluster_member& home);
    void wait_here(std::uint64_t number);
    void watch_silence(std::uint64_t number, microseconds longest);
    void home_is_silent(std::uint64_t number);
    void ask_next_if_wanted(std::uint64_t number);
    void finish(std::uint64_t number, reserve_outcome outcome);
    microseconds wait_for(const std::string& account, tokens amount) const;

    void on_ask(const message_origin& origin, const wire::Envelope& message);
    void on_answer(const wire::Envelope& message);
    void home_answered(pending_reservation& present);
    void take_given(const wire::Envelope& message);
    void take_returned(const wire::Envelope& message);
    tokens reserve_ahead(const std::string& account, tokens ahead);
    void answer_ask(const message_origin& origin, std::uint64_t ask, const std::string& account,
                    tokens amount, reserve_outcome outcome);

    event_loop& loop_;
    message_bus& bus_;
    token_allocator_selector& homes_;
    grant_holder& grants_;
    token_waiters& waiters_;
    metrics& counters_;
    token_exchange_settings settings_;
    hooks hooks_;
    random_source random_;
    std::map<std::uint64_t, pending_reservation> pending_;
    /// The reservation of each account that asks for those behind it too, and these in their order.
    std::map<std::string, std::uint64_t> leaders_;
    std::map<std::string, std::vector<std::uint64_t>> followers_;
    /// Homes of other regions that were greeted, by where they are reached.
    std::set<std::string> greeted_;
    /// Waits of other entries in this process's queue, by a number of this process's.
    std::map<std::uint64_t, std::shared_ptr<handle>> waiting_asks_;
    std::uint64_t last_waiting_ask_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
