#include "roles/gateway/request_suspicion.hpp"

#include <utility>

namespace wrenswitch {

void request_suspicion::set_content(const request_content& content,
                                    std::span<const prompt_part> prompt) {
    content_ = content;
    parts_.clear();
    for (const prompt_part& part : prompt.first(prompt.empty() ? 0 : prompt.size() - 1)) {
        parts_.push_back(fingerprint_of_part(part.id));
    }
}

std::vector<digest> request_suspicion::all_fingerprints() {
    std::vector<digest> all{fingerprint()};
    all.insert(all.end(), parts_.begin(), parts_.end());
    return all;
}

const digest& request_suspicion::fingerprint() {
    if (!fingerprint_) {
        fingerprint_ = fingerprint_of(content_);
    }
    return *fingerprint_;
}

suspicion request_suspicion::level() {
    return suspects_.has_suspects() ? suspects_.suspicion_of(fingerprint()) : suspicion::none;
}

bool request_suspicion::begin_attempt(const target_incarnation& incarnation) {
    if (level() != suspicion::none) {
        if (!suspects_.try_begin_exclusive(fingerprint())) {
            return false;
        }
        exclusive_ = true;
    }
    incarnation_ = incarnation;
    attempt_active_ = true;
    return true;
}

/// A malformed response shows that the target is running, and a request that was not sent shows
/// nothing.
void request_suspicion::record_connection_failure(instant now, upstream_failure failure) {
    attempt_active_ = false;
    release_exclusive_attempt();
    if (failure == upstream_failure::cut_short || failure == upstream_failure::broken) {
        crashes_.record_interrupted(now, incarnation_, all_fingerprints());
    }
}

void request_suspicion::record_abandonment(instant now) {
    release_exclusive_attempt();
    if (std::exchange(attempt_active_, false)) {
        crashes_.record_cancelled(now, incarnation_, all_fingerprints());
    }
}

void request_suspicion::record_response(bool succeeded) {
    attempt_active_ = false;
    release_exclusive_attempt();
    if (succeeded) {
        suspects_.record_success(fingerprint());
    }
}

void request_suspicion::release_exclusive_attempt() {
    if (std::exchange(exclusive_, false)) {
        suspects_.end_exclusive(fingerprint());
    }
}

}  // namespace wrenswitch
