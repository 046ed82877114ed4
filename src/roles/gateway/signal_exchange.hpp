#pragma once

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "roles/gateway/event_log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/gateway/target_signals.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/decision/suspects/target_life.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch::wire {
class TargetSignal;
class TargetSignals;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// Takes in what targets say of themselves with their answers, and tells the other entries what
/// changed. Delivery isn't promised, and no bound rests on it: who wasn't told hears it from the
/// target itself. An entry that doesn't send to a limited target hears of the limit's end from
/// those that do; it asks one of them from time to time.
class signal_exchange {
public:
    /// All that is referred to must outlive this.
    signal_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                    target_pool& targets, rate_limited_log& events, metrics& counters);
    ~signal_exchange();
    signal_exchange(const signal_exchange&) = delete;
    signal_exchange& operator=(const signal_exchange&) = delete;

    /// An answer of this life of a target came to a request that was sent then. What a life says
    /// that has ended meanwhile counts no more.
    void heard(instant now, const target_incarnation& life, instant sent, std::string_view request,
               const target_signals& signals);

    /// A request goes to a target.
    void sent(instant now, std::string_view target);

    /// Takes a message. False if it isn't for this.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// To be called several times a second.
    void tick(instant now);

private:
    void limit_heard(instant now, const target_incarnation& life, instant sent,
                     std::string_view request, const target_signals& signals);
    void leaving_heard(instant now, const target_incarnation& life, std::string_view request);
    void rest_heard(instant now, const target_incarnation& life, std::string_view request,
                    const target_signals& signals);
    void signals_told(instant now, const wire::TargetSignals& news);
    void limit_told(instant now, const wire::TargetSignal& word);
    void tell_soon(const std::string& target);
    void tell_others();
    void ask_senders(instant now);
    wire::TargetSignals signals_of(instant now, std::span<const std::string> targets) const;

    event_loop& loop_;
    message_bus& bus_;
    const token_allocator_selector& members_;
    target_pool& targets_;
    rate_limited_log& events_;
    metrics& counters_;
    random_source random_;
    /// Targets of which the others are to be told.
    std::set<std::string> untold_;
    instant next_ask_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
