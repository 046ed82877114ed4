#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "roles/gateway/suspect_exchange.hpp"
#include "roles/gateway/target_crash_detector.hpp"
#include "wrenswitch/decision/placement/prompt_profile.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"

namespace wrenswitch {

/// Tracks one request in the search for requests that crash their targets: the suspicion against
/// it, and the evidence of its attempts.
class request_suspicion {
public:
    request_suspicion(suspect_exchange& suspects, target_crash_detector& crashes)
        : suspects_(suspects), crashes_(crashes) {}
    ~request_suspicion() { release_exclusive_attempt(); }
    request_suspicion(const request_suspicion&) = delete;
    request_suspicion& operator=(const request_suspicion&) = delete;

    /// Sets the content that identifies the request, and its prompt's parts. The last part belongs
    /// to the request alone. The referenced strings must outlive this object.
    void set_content(const request_content& content, std::span<const prompt_part> prompt);

    const digest& fingerprint();

    /// The prompt's parts that other requests may share, for logs.
    std::string describe_parts() const { return part_names(parts_); }

    /// The current suspicion against the request.
    suspicion level();

    /// True if this is the request with the given fingerprint and an attempt of it is active.
    bool has_active_attempt(const digest& request) {
        return attempt_active_ && fingerprint() == request;
    }

    /// Starts an attempt at a target. Returns false if the request must wait for the end of another
    /// attempt with the same content.
    bool begin_attempt(const target_incarnation& incarnation);

    /// Cancels an attempt that was not sent.
    void cancel_attempt() {
        attempt_active_ = false;
        release_exclusive_attempt();
    }

    /// Records that data of the target of the current attempt arrived.
    void record_activity(instant now) { crashes_.record_activity(now, incarnation_); }

    /// Records that the connection of the current attempt failed.
    void record_connection_failure(instant now, upstream_failure failure);
    /// Records that this gateway ended the current attempt before its response was complete.
    void record_abandonment(instant now);
    /// Records the response to the current attempt. `succeeded` is true if the target completed the
    /// request successfully.
    void record_response(bool succeeded);

private:
    void release_exclusive_attempt();

    /// The fingerprints of the content and of the parts.
    std::vector<digest> all_fingerprints();

    suspect_exchange& suspects_;
    target_crash_detector& crashes_;
    request_content content_;
    std::optional<digest> fingerprint_;
    std::vector<digest> parts_;
    target_incarnation incarnation_;
    bool attempt_active_ = false;
    /// True while the request holds the permission to have the only attempt of its content at this
    /// gateway.
    bool exclusive_ = false;
};

}  // namespace wrenswitch
