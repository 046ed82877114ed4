#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "roles/gateway/keeper_reach.hpp"
#include "roles/gateway/near_offer.hpp"
#include "roles/gateway/placement_desk.hpp"
#include "roles/gateway/run_news_sender.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/placement/engine_keepers.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch::wire {
class PlacementAnswer;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// Finds an engine for each request with a prompt: asks the keeper of the session's home engine,
/// and chooses by this entry's own runs if no keeper answers in time. A request costs three small
/// messages, however many entries and engines there are.
class placement_exchange {
public:
    /// What an exchange needs of its process.
    struct hooks {
        /// What the engines of a service are like, or null if that isn't known.
        std::function<const engine_profile*(const std::string& service)> engine_of;
        /// A keeper says nothing. Only if asks that went out later were answered is it the keeper's
        /// silence and not this entry's own lateness.
        std::function<void(const std::string& host, bool others_answered)> keeper_silent;
        /// A keeper answered.
        std::function<void(const std::string& host)> keeper_answered;
        /// The way to a keeper and back; none if it is near.
        std::function<microseconds(const cluster_member& keeper)> round_trip = [](const auto&) {
            return microseconds(0);
        };
        /// A keeper answered after this time, in time or not.
        std::function<void(const cluster_member& keeper, microseconds took)> answered_after =
            [](const auto&, microseconds) {};
    };

    /// Ends the wish for a choice when it is dropped.
    struct handle {};

    using choice_hook = std::function<void(const target_choice&, const placed_run&)>;

    /// All that is referred to must outlive the exchange.
    placement_exchange(event_loop& loop, message_bus& bus, target_pool& targets,
                       engine_coordinators& keepers, placement_desk& desk, metrics& counters,
                       hooks needs);
    ~placement_exchange();
    placement_exchange(const placement_exchange&) = delete;
    placement_exchange& operator=(const placement_exchange&) = delete;

    /// Chooses an engine, leaving out those already tried, for a caller who waits this long, and
    /// tells it through the hook: at once, or later while the result is kept. The choice has no
    /// target if there is none.
    std::shared_ptr<handle> place(const std::string& service, const engine_request& request,
                                  std::span<const std::string> tried, microseconds left,
                                  choice_hook chosen);

    /// The first event of a run came.
    void first_event(const placed_run& run);

    /// A whole span of later events came within this time.
    void next_events(placed_run& run, microseconds span);

    /// A run has ended.
    void ended(const placed_run& run, run_end how);

    /// Takes a message. False if it isn't for the exchange.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

private:
    struct pending_ask {
        std::string service;
        engine_request request;
        std::vector<std::string> tried;
        /// How long the caller still waits.
        microseconds left{};
        choice_hook chosen;
        std::weak_ptr<handle> wanted;
        cluster_member keeper;
        instant asked{};
        std::optional<near_offer> offer;
        /// Keepers whose engines are cold and have no turn in time.
        std::vector<std::string> cold_keepers;
        /// True if nobody is asked after this.
        bool is_last = false;
    };

    void ask(std::uint64_t run, pending_ask wish);
    void give_up(std::uint64_t run, instant asked);
    void choose_alone(std::uint64_t run, pending_ask wish);
    void choose_at_own_desk(std::uint64_t run, pending_ask wish);
    void try_another_keeper(std::uint64_t run, pending_ask wish);
    bool ask_afar(const near_offer& offer, pending_ask& wish);
    void take_back(const near_offer& offer);
    void use_offer(pending_ask wish);
    void choose_region(const wire::PlacementAnswer& answer, placed_run placed, pending_ask wish);
    void on_ask(const message_origin& origin, const wire::Envelope& message);
    bool may_use(const wire::PlacementAnswer& answer, const pending_ask& wish) const;
    void on_answer(const message_origin& origin, const wire::Envelope& message);
    void drop_forbidden_copy(const engine_request& request, target_choice& choice);

    event_loop& loop_;
    message_bus& bus_;
    target_pool& targets_;
    engine_coordinators& keepers_;
    placement_desk& desk_;
    metrics& counters_;
    std::function<const engine_profile*(const std::string& service)> engine_of_;
    keeper_reach reach_;
    run_news_sender news_;
    random_source random_;
    std::map<std::uint64_t, pending_ask> pending_;
    /// Until when no other region is asked, since one had nothing better.
    instant no_ask_afar_until_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
