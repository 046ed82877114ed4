#pragma once

#include <algorithm>
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

/// Tracks one request in the search for requests and prompt parts that crash their targets: the
/// suspicion against it, and the evidence of its attempts.
class request_suspicion {
public:
    request_suspicion(suspect_exchange& suspects, target_crash_detector& crashes)
        : suspects_(suspects), crashes_(crashes) {}
    ~request_suspicion() {
        release_permissions();
        end_writing();
    }
    request_suspicion(const request_suspicion&) = delete;
    request_suspicion& operator=(const request_suspicion&) = delete;

    /// Sets the content that identifies the request, and its prompt's parts. The last part belongs
    /// to the request alone. The referenced strings must outlive this object.
    void set_content(const request_content& content, std::span<const prompt_part> prompt);

    const digest& fingerprint();

    /// The prompt's parts that other requests may share, for logs.
    std::string describe_parts() const { return part_names(parts_); }

    /// The strongest suspicion against the content and the parts. A quarantined part that this
    /// request may try counts as suspected.
    suspicion level();

    /// The quarantined part of the prompt, or null.
    const digest* quarantined_part() const;

    /// Records that the request was refused because parts of its prompt are quarantined.
    void record_refusal();

    /// True if this is the fingerprint of the request's content or of one of its parts.
    bool concerns(const digest& fingerprint);

    /// True while an attempt is active whose target has begun to write a response.
    bool has_begun_answer() const { return attempt_active_ && answer_began_; }

    /// Starts an attempt at a target. Returns false if the request must wait for the end of another
    /// attempt with the same content, or of a trial of the same part.
    bool begin_attempt(const target_incarnation& incarnation);

    /// Cancels an attempt that was not sent.
    void cancel_attempt() {
        attempt_active_ = false;
        release_permissions();
    }

    /// Records that data of the target of the current attempt arrived.
    void record_activity(instant now) { crashes_.record_activity(now, incarnation_); }

    /// Records that the target writes the response: its first bytes, or more of them. An attempt
    /// that goes on for some time survives the parts of its prompt.
    void record_answer_progress(instant now);

    /// Records that the connection of the current attempt failed.
    void record_connection_failure(instant now, upstream_failure failure);
    /// Records that this gateway ended the current attempt before its response was complete.
    void record_abandonment(instant now);
    /// Records a successful response that ended with its connection. Whether it is complete shows
    /// when its target does or doesn't go on.
    void record_unconfirmed_response(instant now);
    /// Records the response to the current attempt. `succeeded` is true if the target completed the
    /// request successfully.
    void record_response(bool succeeded);

private:
    /// The fingerprints of the content and of the parts.
    std::vector<digest> all_fingerprints();
    bool take_permissions();
    void release_permissions();
    void begin_writing();
    void end_writing();
    void record_survivals();

    suspect_exchange& suspects_;
    target_crash_detector& crashes_;
    request_content content_;
    std::optional<digest> fingerprint_;
    std::vector<digest> parts_;
    target_incarnation incarnation_;
    bool attempt_active_ = false;
    /// When the target of the current attempt began to write its response.
    std::optional<instant> answer_began_;
    bool survivals_recorded_ = false;
    /// True while the attempt has begun to write and may still survive its prompt's parts.
    bool writing_ = false;
    /// True while the request holds the permission to have the only attempt of its content at this
    /// gateway.
    bool exclusive_ = false;
    /// The quarantined parts of which the request's attempt is the only trial at this gateway.
    std::vector<digest> trials_;
};

}  // namespace wrenswitch
