#include "roles/gateway/request_suspicion.hpp"

#include <utility>

namespace wrenswitch {

const digest& request_suspicion::fingerprint() {
    if (!fingerprint_) {
        fingerprint_ = fingerprint_of(content_);
    }
    return *fingerprint_;
}

suspicion request_suspicion::held() {
    return suspects_.any() ? suspects_.held_of(fingerprint()) : suspicion::none;
}

bool request_suspicion::begin(const target_incarnation& life) {
    if (held() != suspicion::none) {
        if (!suspects_.begin_alone(fingerprint())) {
            return false;
        }
        alone_ = true;
    }
    life_ = life;
    begun_ = true;
    return true;
}

/// An answer that can't be read shows that its target lives, and one that was never sent to shows
/// nothing.
void request_suspicion::broke(instant now, upstream_failure failure) {
    begun_ = false;
    end_alone();
    if (failure == upstream_failure::cut_short || failure == upstream_failure::broken) {
        ends_.broke(now, life_, fingerprint());
    }
}

void request_suspicion::left(instant now) {
    end_alone();
    if (std::exchange(begun_, false)) {
        ends_.left(now, life_, fingerprint());
    }
}

void request_suspicion::answered(bool well) {
    begun_ = false;
    end_alone();
    if (well) {
        suspects_.ended_well(fingerprint());
    }
}

void request_suspicion::end_alone() {
    if (std::exchange(alone_, false)) {
        suspects_.end_alone(fingerprint());
    }
}

}  // namespace wrenswitch
