#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/gateway/warmup_pacer.hpp"

namespace wrenswitch {

/// Which share of a cold target's rate a choice of target draws on.
enum class permit_share {
    /// The share of the engine's coordinator: the gateway that places requests on the engine on
    /// behalf of all gateways.
    coordinator,
    /// The share of gateways that can't reach the engine's coordinator.
    fallback,
    /// An equal share for each gateway, at targets that every gateway chooses by itself.
    equal,
};

constexpr std::array permit_shares{permit_share::coordinator, permit_share::fallback,
                                   permit_share::equal};

/// Tracks which targets are cold and limits the rate at which requests are sent to them. After a
/// power failure, a crash, or the return of an evacuated failure domain many targets are cold at
/// once, and all gateways send to them; each target gets no more than its warm-up rate from all of
/// them together.
class warmup_limiter {
public:
    /// `gateway_count` returns the number of gateways that share a cold target's rate; zero while
    /// it isn't known.
    warmup_limiter(std::function<std::size_t()> gateway_count, random_source& random);

    /// Updates the number of gateways that share a cold target's rate. Until it is known only the
    /// `coordinator` share issues permits: a process that assumed 4 gateways where there are 26
    /// would send 6 times its share. If the directory of gateways is found empty later, the last
    /// count stays in force.
    void refresh_gateway_count(instant now);

    /// Sets the warm-up limits of a service. If they change, the permits of its cold targets are
    /// deferred, since earlier ones were issued under other limits.
    void set_warmup(instant now, const std::string& service, const target_warmup& warmup);

    /// How long a target of a service stays cold after a start.
    microseconds warmup_duration(std::string_view service) const;

    /// Marks a target of the service as cold for this long, or keeps a later end that is already
    /// known.
    void mark_cold(instant now, std::string_view target, std::string_view service,
                   microseconds remaining);

    /// Forgets a target that is gone.
    void forget(std::string_view target);

    /// True if the target is known to be cold.
    bool is_cold(instant now, std::string_view target) const;

    /// The time until the share's next permit at the target is due; zero if the target is warm or
    /// its service has no warm-up rate.
    microseconds delay(instant now, std::string_view target, permit_share share) const;

    /// Reserves the share's next permit and returns the time until it is due.
    microseconds reserve(instant now, std::string_view target, permit_share share);

    /// Defers the permits of the `coordinator` share at all cold targets, because another process
    /// may have issued them until now.
    void defer_permits(instant now);

private:
    struct target_state {
        std::string service;
        /// Indexed by permit_share.
        std::array<warmup_pacer, permit_shares.size()> pacers;
    };

    static constexpr std::size_t index_of(permit_share share) {
        return static_cast<std::size_t>(share);
    }
    microseconds interval(std::string_view service, permit_share share) const;
    microseconds first_permit_delay(std::string_view service, permit_share share);
    void defer_permits(instant now, target_state& state, permit_share share);

    std::function<std::size_t()> gateway_count_;
    /// The last known number of gateways; zero if it was never known.
    std::size_t known_gateway_count_;
    random_source& random_;
    std::map<std::string, target_warmup, std::less<>> warmups_;
    /// Targets that are or were cold.
    std::map<std::string, target_state, std::less<>> targets_;
};

}  // namespace wrenswitch
