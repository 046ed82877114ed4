#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "roles/gateway/rate_limited_log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/gateway/target_signals.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/suspects/target_incarnation.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch::wire {
class TargetSignal;
class TargetSignals;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// Applies what targets report about themselves in their responses (load, limits, draining,
/// backoff) and tells the other gateways of changes. Delivery isn't guaranteed and no limit depends
/// on it: a gateway that wasn't told learns it from the target itself. A gateway that sends nothing
/// to a limited target learns of the end of the limit from those that do; it queries one of them
/// from time to time.
class signal_exchange {
public:
    /// All references must outlive the exchange.
    signal_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                    target_pool& targets, rate_limited_log& events, metrics& counters);
    ~signal_exchange();
    signal_exchange(const signal_exchange&) = delete;
    signal_exchange& operator=(const signal_exchange&) = delete;

    /// An incarnation of a target responded to a request that was sent at `sent`. Signals of an
    /// incarnation that has been replaced are ignored.
    void on_response(instant now, const target_incarnation& incarnation, instant sent,
                     std::string_view request, const target_signals& signals);

    /// A request is being sent to a target.
    void record_sent(instant now, std::string_view target);

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// To be called several times a second.
    void tick(instant now);

private:
    void apply_load(instant now, const target_incarnation& incarnation, instant sent,
                    std::string_view request, const target_signals& signals);
    void apply_limit(instant now, const target_incarnation& incarnation, instant sent,
                     std::string_view request, const target_signals& signals);
    void apply_draining(instant now, const target_incarnation& incarnation,
                        std::string_view request);
    void apply_backoff(instant now, const target_incarnation& incarnation, std::string_view request,
                       const target_signals& signals);
    void apply_peer_signals(instant now, const wire::TargetSignals& batch);
    void apply_peer_limit(instant now, const wire::TargetSignal& signal);
    void schedule_broadcast(const std::string& target);
    void broadcast();
    void query_senders(instant now);
    wire::TargetSignals signals_of(instant now, std::span<const std::string> targets) const;

    event_loop& loop_;
    message_bus& bus_;
    const token_allocator_selector& members_;
    target_pool& targets_;
    rate_limited_log& events_;
    metrics& counters_;
    random_source random_;
    /// Targets whose signals are to be sent to the other gateways.
    std::set<std::string> unshared_;
    /// The targets whose last load report couldn't be parsed, and whether all of it couldn't or
    /// only the slowdown.
    enum class load_damage { whole, slowdown };
    std::map<std::string, load_damage, std::less<>> damaged_loads_;
    instant next_query_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
