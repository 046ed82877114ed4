#include "roles/gateway/request_suspicion.hpp"

#include <utility>

namespace wrenswitch {
namespace {

/// A part that crashes its target does so when the target begins to write.
constexpr microseconds survival_time = part_suspect_settings{}.survival_time;

}  // namespace

void request_suspicion::set_content(const request_content& content,
                                    std::span<const prompt_part> prompt) {
    content_ = content;
    parts_ = shared_part_fingerprints(prompt);
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
    if (!suspects_.has_suspects()) {
        return suspicion::none;
    }
    const suspicion content_level = suspects_.suspicion_of(fingerprint());
    suspicion strongest = content_level;
    for (const digest& part : parts_) {
        strongest = std::max(strongest, suspects_.suspicion_of(part));
    }
    const bool is_part_quarantined =
        strongest == suspicion::quarantined && content_level != suspicion::quarantined;
    return is_part_quarantined && suspects_.parts().may_try_any(parts_) ? suspicion::suspected
                                                                        : strongest;
}

const digest* request_suspicion::quarantined_part() const {
    const auto found = std::find_if(parts_.begin(), parts_.end(), [this](const digest& part) {
        return suspects_.suspicion_of(part) == suspicion::quarantined;
    });
    return found == parts_.end() ? nullptr : &*found;
}

void request_suspicion::record_refusal() {
    for (const digest& part : parts_) {
        suspects_.parts().record_refusal(part);
    }
}

bool request_suspicion::concerns(const digest& fingerprint_sought) {
    return is_prompt_part(fingerprint_sought)
               ? std::find(parts_.begin(), parts_.end(), fingerprint_sought) != parts_.end()
               : fingerprint() == fingerprint_sought;
}

bool request_suspicion::begin_attempt(const target_incarnation& incarnation) {
    if (suspects_.has_suspects() && !take_permissions()) {
        release_permissions();
        return false;
    }
    incarnation_ = incarnation;
    attempt_active_ = true;
    answer_began_.reset();
    survivals_recorded_ = false;
    return true;
}

bool request_suspicion::take_permissions() {
    if (suspects_.suspicion_of(fingerprint()) != suspicion::none) {
        exclusive_ = suspects_.try_begin_exclusive(fingerprint());
        if (!exclusive_) {
            return false;
        }
    }
    for (const digest& part : parts_) {
        if (suspects_.suspicion_of(part) != suspicion::quarantined) {
            continue;
        }
        if (!suspects_.parts().try_begin_trial(part)) {
            return false;
        }
        trials_.push_back(part);
    }
    return true;
}

void request_suspicion::release_permissions() {
    if (std::exchange(exclusive_, false)) {
        suspects_.end_exclusive(fingerprint());
    }
    for (const digest& part : std::exchange(trials_, {})) {
        suspects_.parts().end_trial(part);
    }
}

void request_suspicion::record_answer_progress(instant now) {
    if (!answer_began_) {
        answer_began_ = now;
        begin_writing();
    }
    if (now - *answer_began_ >= survival_time) {
        record_survivals();
    }
}

void request_suspicion::begin_writing() {
    if (!suspects_.has_suspects()) {
        return;
    }
    writing_ = true;
    for (const digest& part : parts_) {
        suspects_.parts().begin_writing(part);
    }
}

void request_suspicion::end_writing() {
    if (!std::exchange(writing_, false)) {
        return;
    }
    for (const digest& part : parts_) {
        suspects_.parts().end_writing(part);
    }
}

void request_suspicion::record_survivals() {
    end_writing();
    if (!answer_began_ || std::exchange(survivals_recorded_, true)) {
        return;
    }
    for (const digest& part : parts_) {
        const bool is_trial = std::find(trials_.begin(), trials_.end(), part) != trials_.end();
        suspects_.record_survival(part, *answer_began_, is_trial);
    }
}

/// A malformed response shows that the target is running, and a request that was not sent shows
/// nothing.
void request_suspicion::record_connection_failure(instant now, upstream_failure failure) {
    attempt_active_ = false;
    release_permissions();
    end_writing();
    if (failure == upstream_failure::cut_short || failure == upstream_failure::broken) {
        crashes_.record_interrupted(now, incarnation_, all_fingerprints());
    }
}

void request_suspicion::record_abandonment(instant now) {
    release_permissions();
    end_writing();
    if (std::exchange(attempt_active_, false)) {
        crashes_.record_cancelled(now, incarnation_, all_fingerprints());
    }
}

void request_suspicion::record_unconfirmed_response(instant now) {
    attempt_active_ = false;
    release_permissions();
    end_writing();
    crashes_.record_unconfirmed(now, incarnation_,
                                {all_fingerprints(), answer_began_.value_or(now)});
}

void request_suspicion::record_response(bool succeeded) {
    attempt_active_ = false;
    if (succeeded) {
        suspects_.record_success(fingerprint());
        record_survivals();
    }
    release_permissions();
    end_writing();
}

}  // namespace wrenswitch
