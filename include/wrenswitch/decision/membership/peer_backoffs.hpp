#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Which peers are skipped because they failed, and for how long. The time doubles with each
/// further failure until the peer answers.
class peer_backoffs {
public:
    /// How long a peer is skipped after its first failure, and at most.
    peer_backoffs(microseconds initial, microseconds max) : initial_(initial), max_(max) {}

    bool is_backed_off(instant now, std::string_view host) const;

    /// What became of a failure.
    enum class outcome {
        /// The peer was skipped already.
        ignored,
        /// The first failure since the peer's last answer.
        first,
        repeated
    };

    /// Records that a peer failed. Failures count again once its backoff has passed.
    outcome record_failure(instant now, std::string_view host);

    /// Records that a peer answered, or was replaced. Returns true if it had failed since its last
    /// answer.
    bool clear(std::string_view host);

    /// Drops the peers that the filter doesn't admit.
    void keep_only(const std::function<bool(std::string_view host)>& admits);

private:
    struct backoff {
        instant until{};
        microseconds duration{};
    };

    microseconds initial_;
    microseconds max_;
    std::map<std::string, backoff, std::less<>> backoffs_;
};

}  // namespace wrenswitch
