#pragma once

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "roles/gateway/part_suspect_tracker.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/suspects/interrupted_attempts.hpp"
#include "wrenswitch/decision/suspects/suspect_table.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"
#include "wrenswitch/drivers/suspect_log.hpp"

namespace wrenswitch {

/// A gateway's view of the requests, and of the prompt parts, that may have crashed their targets.
/// Crashes are written to a log that every gateway reads, also one that has just started. Urgent
/// ones, and those that can't be logged now, are sent to the other gateways as well.
class suspect_exchange {
public:
    struct hooks {
        /// A request's content or a prompt part is quarantined: it is sent to no target any more.
        /// Called from the event loop, never from within a method of this class.
        std::function<void(const digest& fingerprint)> quarantined;
        std::function<void(bool reachable)> log_reachable;
    };

    /// All references must outlive the exchange.
    suspect_exchange(event_loop& loop, keyed_log& log, std::string log_name, message_bus& bus,
                     const token_allocator_selector& members, metrics& counters, hooks callbacks,
                     const part_suspect_settings& part_settings = {});
    ~suspect_exchange();
    suspect_exchange(const suspect_exchange&) = delete;
    suspect_exchange& operator=(const suspect_exchange&) = delete;

    void start() { log_.start(); }

    /// True once the log was read to its end, or while it is unreachable: a gateway that starts
    /// then serves what it can and learns from the other gateways and its own attempts.
    bool ready() const { return log_.live() || !log_.reachable(); }

    /// An incarnation of a target crashed while requests of this gateway with these fingerprints,
    /// of contents and of prompt parts, were in flight at it.
    void record_crash(const target_incarnation& incarnation, std::span<const digest> fingerprints);

    /// A request of this gateway was completed without a crash.
    void record_success(const digest& request);

    /// An attempt of this gateway that began to write at `began` survived a prompt part. The other
    /// gateways are told at once if it was a trial of the part.
    void record_survival(const digest& part, instant began, bool is_trial);

    /// A response that ended with its connection is complete.
    void record_confirmed(const unconfirmed_response& response);

    /// False if nothing is under suspicion.
    bool has_suspects() const { return table_.size() > 0 || parts_.size() > 0; }

    /// The suspicion against a request's content or a prompt part.
    suspicion suspicion_of(const digest& fingerprint) const;
    std::size_t crash_count(const digest& fingerprint) const;

    /// The prompt parts under suspicion.
    part_suspect_tracker& parts() { return parts_; }
    const part_suspect_tracker& parts() const { return parts_; }

    /// Begins an attempt of a suspected request. False if this gateway already has one in flight:
    /// until it is known whether that crashes its target, the request is sent nowhere else.
    bool try_begin_exclusive(const digest& request) { return exclusive_.insert(request).second; }
    void end_exclusive(const digest& request) { exclusive_.erase(request); }

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// To be called several times a second.
    void tick(instant now);

private:
    void share(std::span<const crash_evidence> crashes);
    /// False if the request was completed here recently, so that the evidence doesn't count.
    bool add_evidence(const crash_evidence& crash, std::string_view source);
    void quarantine_if_due(const digest& request, suspicion before);
    void on_peer_evidence(const message_origin& origin, const crash_evidence& crash);
    void remove_evidence(const crash_evidence& crash, std::string_view source);
    void ensure_logged(const crash_evidence& crash);
    void ensure_removed_from_log(const crash_evidence& crash);
    void after_writer_delay(std::function<void()> action);
    void broadcast_unwritten(std::span<const crash_evidence> crashes);
    void broadcast(std::span<const crash_evidence> crashes, bool cleared);
    bool is_urgent(const digest& request) const;
    bool is_logged(const digest& request) const;
    bool contains(const crash_evidence& crash) const;
    bool is_first_for(std::string_view name) const;

    event_loop& loop_;
    message_bus& bus_;
    const token_allocator_selector& members_;
    metrics& counters_;
    hooks hooks_;
    random_source random_;
    suspect_table table_;
    part_suspect_tracker parts_;
    suspect_log log_;
    std::set<digest> exclusive_;
    /// Crashes that this gateway saw and, as far as it knows, no other process knows of.
    std::set<crash_evidence> unshared_;
    instant last_eviction_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
