#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/send_pacer.hpp"

namespace wrenswitch {

/// How a response or a peer's report changed the known limit of a target; `changed` only if the
/// rate changed by a notable factor.
enum class limit_change { none, added, changed, removed };

/// This gateway's view of the gateways that share the targets' limits.
struct limit_peers {
    /// The number of gateways; zero while it isn't known.
    std::function<std::size_t()> gateway_count = [] { return std::size_t{1}; };
    /// True if this gateway is among the first `count` in the target's order of gateways. Gateways
    /// that know the same members compute the same order.
    std::function<bool(std::string_view target, std::size_t count)> is_among_first =
        [](std::string_view, std::size_t) { return true; };
    /// Increases whenever the results of the two functions above may have changed.
    std::function<std::uint64_t()> version = [] { return std::uint64_t{0}; };
};

/// Enforces the request rates that targets advertise. A target's limit covers the requests of all
/// gateways together.
///
/// In any four seconds a target gets at most one and a half times what its limit allows, plus five
/// requests. This holds without messages between gateways: only a few of them, the first in an
/// order that all of them compute, send to a limited target, and each of these has an equal share
/// of the rate. n senders that start without available permits send at most four times the rate
/// plus n in that window, and their number is limited so that this stays below the bound. If all
/// gateways were senders, 26 of them would send 26 requests at once to a target that accepts 1.3
/// per second. A gateway that becomes a sender or restarts gets no permit for one whole interval,
/// so that permits that another gateway has issued aren't issued twice.
class advertised_limits {
public:
    advertised_limits(limit_peers peers, random_source& random)
        : peers_(std::move(peers)), random_(random) {}

    /// Handles a response to a request that was sent at `sent`. It advertises a limit, in requests
    /// per second, or none. Responses may arrive out of order, so a higher limit, or none, is only
    /// accepted from a response to a request that was sent after the current limit was last
    /// advertised.
    limit_change on_response(instant now, std::string_view target, instant sent,
                             std::optional<double> per_second);

    /// Handles another gateway's report that the target advertised this limit, or none, at `as_of`.
    limit_change on_peer_report(instant now, std::string_view target, instant as_of,
                                std::optional<double> per_second);

    /// The time until this gateway's next permit at the target is due. Zero if the target
    /// advertises no limit, longer than any request waits if this gateway isn't one of its senders.
    microseconds delay(instant now, std::string_view target);

    /// Reserves this gateway's next permit at the target.
    void reserve(instant now, std::string_view target);

    /// Increases when the target advertises its first limit, or one that differs notably. Permits
    /// that were reserved in an earlier epoch are void.
    std::uint64_t limit_epoch(std::string_view target) const;

    /// Records that a request was sent to the target.
    void record_sent(instant now, std::string_view target);

    /// Forgets a target that is gone or whose process has restarted, since its limit may differ.
    void forget(std::string_view target);

    /// The known limit of the target, in requests per second.
    std::optional<double> limit_of(std::string_view target) const;

    /// The known limit of a target and the time at which it was known to apply.
    struct known_limit {
        std::optional<double> per_second;
        instant as_of{};
    };
    /// Returns no value if the target never advertised a limit.
    std::optional<known_limit> known_limit_of(std::string_view target) const;

    /// The limited targets whose limit was last confirmed longer ago than this.
    std::vector<std::string> stale_targets(instant now, microseconds age) const;

    /// The largest number of gateways that may send to a target with this limit.
    static std::size_t max_senders(double per_second);

    /// The number of requests that this gateway sent to the target in the last four seconds, while
    /// its limit was known.
    std::size_t recent_sends(instant now, std::string_view target) const;

    /// False if no target has advertised a limit.
    bool has_any() const { return !targets_.empty(); }

    /// The number of targets that currently have a limit.
    std::size_t active_count() const;

    /// Describes the limit, its age and the recent sends for logs; empty if there is no limit.
    std::string describe(instant now, std::string_view target) const;

private:
    struct target_state {
        std::optional<double> per_second;
        /// When the current limit, or one as low, was last advertised.
        instant advertised_at{};
        /// As of when a higher limit, or none, was last accepted.
        instant relaxed_at{};
        std::uint64_t limit_epoch = 0;
        send_pacer pacer;
        send_rate rate;
        bool is_sender = false;
        /// The version of the peers for which the rate was computed; no value if it has to be
        /// computed.
        std::optional<std::uint64_t> peers_version;
        /// When requests were sent there in the last window.
        std::deque<instant> sends;
    };

    limit_change update(instant now, std::string_view target, instant as_of,
                        std::optional<double> per_second);
    void refresh_share(instant now, std::string_view target, target_state& state,
                       bool differs = false);
    const target_state* find(std::string_view target) const;

    limit_peers peers_;
    random_source& random_;
    std::map<std::string, target_state, std::less<>> targets_;
};

}  // namespace wrenswitch
