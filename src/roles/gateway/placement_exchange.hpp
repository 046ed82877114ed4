#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "roles/gateway/attempt_update_sender.hpp"
#include "roles/gateway/coordinator_monitor.hpp"
#include "roles/gateway/local_offer.hpp"
#include "roles/gateway/placement_coordinator.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/placement/engine_coordinators.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch::wire {
class PlacementAnswer;
class RunNews;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// How long replies of coordinators are awaited. The round trip to a coordinator in another region
/// is added: with 20 ms in all, every query to a region 40 ms away timed out, and fault scenarios
/// with two regions lost 0.08 of their score.
struct placement_timeouts {
    /// A round trip takes about 2 ms; delays in busy processes add about half of that, and latency
    /// objectives of routes are at least some hundreds of milliseconds.
    microseconds query = milliseconds(20);
    /// Used when engines are cold and this gateway has no send permit of its own to fall back on.
    /// It exceeds the queueing delay on a small gateway's 10 Mbit/s link that carries one account's
    /// callers after all processes were lost: with 20 ms two such gateways refused 340 requests in
    /// 3 s.
    microseconds cold_query = milliseconds(200);
};

/// Finds an engine for each request with a prompt. It queries the coordinator of the engine that
/// the session maps to, and falls back to a choice by this gateway's own attempts if no coordinator
/// replies in time. A request costs three small messages, however many gateways and engines there
/// are.
class placement_exchange {
public:
    /// Callbacks into the process.
    struct hooks {
        /// The profile of a service's engines, or null if it isn't known.
        std::function<const engine_profile*(const std::string& service)> engine_of;
        /// A coordinator doesn't reply. `others_answered` is true if queries that were sent later
        /// got replies; otherwise this process itself may be late.
        std::function<void(const std::string& host, bool others_answered)> coordinator_unresponsive;
        /// A coordinator replied.
        std::function<void(const std::string& host)> coordinator_responded;
        /// The round trip time to a coordinator; zero if it is in this gateway's region.
        std::function<microseconds(const cluster_member& coordinator)> round_trip =
            [](const auto&) { return microseconds(0); };
        /// A coordinator's reply took this long, whether it arrived before or after the timeout.
        std::function<void(const cluster_member& coordinator, microseconds elapsed)>
            round_trip_measured = [](const auto&, microseconds) {};
    };

    /// Destroying the handle cancels the choice.
    struct handle {};

    using choice_hook = std::function<void(const target_choice&, const placed_attempt&)>;

    /// All references must outlive the exchange.
    placement_exchange(event_loop& loop, message_bus& bus, target_pool& targets,
                       engine_coordinators& coordinators, placement_coordinator& local_coordinator,
                       metrics& counters, hooks needs);
    ~placement_exchange();
    placement_exchange(const placement_exchange&) = delete;
    placement_exchange& operator=(const placement_exchange&) = delete;

    /// Applies to queries that are sent from now on.
    void set_timeouts(const placement_timeouts& timeouts) { timeouts_ = timeouts; }

    /// Chooses an engine other than those in `tried` for a caller whose deadline is `remaining`
    /// from now. Calls the hook either before it returns or later, as long as the handle exists.
    /// The choice has no target if there is none.
    std::shared_ptr<handle> place(const std::string& service, const engine_request& request,
                                  std::span<const std::string> tried, microseconds remaining,
                                  choice_hook on_chosen);

    /// The attempt's first event arrived.
    void record_first_event(const placed_attempt& attempt);

    /// A full span of later events arrived within this time.
    void record_event_span(placed_attempt& attempt, microseconds span);

    /// The attempt has ended.
    void end_attempt(const placed_attempt& attempt, attempt_outcome outcome);

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

private:
    struct pending_query {
        std::string service;
        engine_request request;
        std::vector<std::string> tried;
        /// Time until the caller's deadline.
        microseconds remaining{};
        choice_hook on_chosen;
        std::weak_ptr<handle> caller_handle;
        cluster_member coordinator;
        instant sent_at{};
        std::optional<local_offer> offer;
        /// Coordinators whose engines are all cold and have no send permit in time.
        std::vector<std::string> cold_coordinators;
        /// True if no further coordinator is queried after this one.
        bool last_query = false;
        /// Coordinators that did not admit the request.
        std::vector<std::string> refused_by{};
        /// The coordinator holds the request until then at the latest.
        std::optional<instant> held_until{};
    };

    void query(std::uint64_t attempt, pending_query pending);
    void on_timeout(std::uint64_t attempt, instant sent_at);
    void choose_locally(std::uint64_t attempt, pending_query pending);
    void choose_as_coordinator(std::uint64_t attempt, pending_query pending);
    void on_own_choice(std::uint64_t attempt, pending_query pending, const target_choice& choice);
    void on_refused(std::uint64_t attempt, pending_query pending, const target_choice& choice);
    void start_hold_timer();
    void on_hold_timer();
    void on_held(std::uint64_t attempt, microseconds longest_hold);
    void try_another_coordinator(std::uint64_t attempt, pending_query pending);
    bool query_remote_region(const local_offer& offer, pending_query& pending);
    void release_offer(const local_offer& offer);
    void use_offer(pending_query pending);
    void choose_between_regions(const wire::PlacementAnswer& reply, placed_attempt placed,
                                pending_query pending);
    void on_query(const message_origin& origin, const wire::Envelope& message);
    bool is_usable_reply(const wire::PlacementAnswer& reply, const pending_query& pending) const;
    void on_reply(const message_origin& origin, const wire::Envelope& message);
    void add_slowdown(instant now, const std::string& target, wire::RunNews& update) const;
    void drop_disallowed_copy(const engine_request& request, target_choice& choice);

    event_loop& loop_;
    message_bus& bus_;
    target_pool& targets_;
    engine_coordinators& coordinators_;
    placement_coordinator& local_coordinator_;
    metrics& counters_;
    placement_timeouts timeouts_;
    std::function<const engine_profile*(const std::string& service)> engine_of_;
    coordinator_monitor monitor_;
    attempt_update_sender updates_;
    random_source random_;
    std::map<std::uint64_t, pending_query> queries_;
    /// No other region is queried before this time, because the last query offered nothing better.
    instant remote_query_allowed_at_{};
    /// True while a timer will try the held requests again.
    bool hold_timer_active_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
