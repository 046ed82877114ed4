#pragma once

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/decision/suspects/suspect_table.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"
#include "wrenswitch/drivers/suspect_log.hpp"

namespace wrenswitch {

/// What the fleet knows of requests that may have ended their targets, as one entry has it. Ends
/// go into the log, from which every entry reads them, also one that has just started; what is
/// urgent, or can't go there now, is told to the other entries besides.
class suspect_exchange {
public:
    struct hooks {
        /// A request is sent to no target any more. Not called from within.
        std::function<void(const digest& request)> quarantined;
        std::function<void(bool reachable)> log_reachable;
    };

    /// All that is referred to must outlive the exchange.
    suspect_exchange(event_loop& loop, keyed_log& log, std::string log_name, message_bus& bus,
                     const token_allocator_selector& members, metrics& counters, hooks called);
    ~suspect_exchange();
    suspect_exchange(const suspect_exchange&) = delete;
    suspect_exchange& operator=(const suspect_exchange&) = delete;

    void start() { log_.start(); }

    /// True once the log was read to its end, or if it doesn't answer: whoever starts while it is
    /// dark serves what it can, and learns from the others and from its own runs meanwhile.
    bool ready() const { return log_.live() || !log_.reachable(); }

    /// A target's life ended while these requests were under way at it from this entry.
    void ended(const target_incarnation& life, std::span<const digest> requests);

    /// A request of this entry's ended well.
    void ended_well(const digest& request);

    /// False if nothing is held against any request.
    bool any() const { return table_.size() > 0; }

    suspicion held_of(const digest& request) const;
    std::size_t ends_of(const digest& request) const { return table_.crash_count(request); }

    /// A suspected request is about to be sent. False if it is under way from this entry already:
    /// until it is known whether that ends its target, it goes nowhere else.
    bool begin_alone(const digest& request) { return alone_.insert(request).second; }
    void end_alone(const digest& request) { alone_.erase(request); }

    /// Takes a message. False if it isn't for the exchange.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// To be called several times a second.
    void tick(instant now);

private:
    /// False if the request has ended well here of late, so that nothing is held against it.
    bool learn(const crash_evidence& end, std::string_view source);
    void quarantine_if_due(const digest& request, suspicion before);
    void take_news(const message_origin& origin, const crash_evidence& end);
    void forget(const crash_evidence& end, std::string_view source);
    void see_to_log(const crash_evidence& end);
    void see_to_drop(const crash_evidence& end);
    void after_writer(std::function<void()> action);
    void tell_unwritten(std::span<const crash_evidence> ends);
    void tell_others(std::span<const crash_evidence> ends, bool cleared);
    bool is_urgent(const digest& request) const;
    bool is_told(const digest& request) const;

    event_loop& loop_;
    message_bus& bus_;
    const token_allocator_selector& members_;
    metrics& counters_;
    hooks hooks_;
    random_source random_;
    suspect_table table_;
    suspect_log log_;
    std::set<digest> alone_;
    /// Ends that this entry saw and nobody else knows of yet, as far as it can tell.
    std::set<crash_evidence> untold_;
    instant dropped_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
