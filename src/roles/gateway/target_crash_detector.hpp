#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/suspects/interrupted_attempts.hpp"
#include "wrenswitch/drivers/connection_probe.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// The incarnation of a target as currently listed.
target_incarnation incarnation_of(const gateway_target& target);

/// Detects whether a target whose attempts were interrupted has crashed, and which requests were in
/// flight then. An interrupted attempt looks the same whether the target crashed, its connection
/// was reset or its response was garbled, and a response that ends with its connection looks
/// complete even if it ended with the target's process. It counts as a crash if two connection
/// probes in a row are refused and nothing was received from the target meanwhile, or if the target
/// is listed with a later start time or removed from the list.
class target_crash_detector {
public:
    struct hooks {
        /// An incarnation of a target crashed while requests of this process with these
        /// fingerprints, of contents and of prompt parts, were in flight at it.
        std::function<void(const target_incarnation& incarnation,
                           std::span<const digest> fingerprints)>
            crashed;
        /// A response that ended with its connection is complete: its target is alive.
        std::function<void(const unconfirmed_response& response)> confirmed;
    };

    /// All references must outlive the detector.
    target_crash_detector(event_loop& loop, const target_pool& targets, metrics& counters,
                          hooks callbacks)
        : loop_(loop), targets_(targets), counters_(counters), hooks_(std::move(callbacks)) {}

    /// The connection of an attempt at this incarnation closed before the response was complete.
    void record_interrupted(instant now, const target_incarnation& incarnation,
                            std::span<const digest> fingerprints);

    /// The response of an attempt at this incarnation ended with its connection. One of a target
    /// that is to end shows nothing.
    void record_unconfirmed(instant now, const target_incarnation& incarnation,
                            unconfirmed_response response);

    /// This process cancelled an attempt before its response was complete.
    void record_cancelled(instant now, const target_incarnation& incarnation,
                          std::span<const digest> fingerprints) {
        attempts_.record_cancelled(now, incarnation, fingerprints);
    }

    /// Data from this incarnation was received, so it is alive, unless the data was sent before the
    /// interruption and read only now.
    void record_activity(instant now, const target_incarnation& incarnation);

    /// The target was removed from the list, or is listed with a later start time.
    void on_unlisted(const std::string& id);
    void on_restarted(const std::string& id);

    /// To be called several times a second.
    void tick(instant now);

private:
    /// The probes of one incarnation.
    struct probe_state {
        std::unique_ptr<connection_probe> probe;
        unsigned refusals = 0;
        /// True if the last probe was accepted: the target then ends as planned if it is unlisted.
        bool accepted = false;
        instant interrupted_at{};
        std::optional<instant> probed_at;
    };

    bool is_expected_to_run(const target_incarnation& incarnation) const;
    void probe_later(const target_incarnation& incarnation, microseconds delay);
    void confirm(std::span<const unconfirmed_response> responses) const;
    void start_probe(const target_incarnation& incarnation);
    void on_probe_result(const target_incarnation& incarnation, probe_answer result);
    void report_crash(const target_incarnation& incarnation, std::string_view evidence);

    event_loop& loop_;
    const target_pool& targets_;
    metrics& counters_;
    hooks hooks_;
    interrupted_attempts attempts_;
    std::map<target_incarnation, probe_state> probes_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
