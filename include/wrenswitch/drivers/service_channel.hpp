#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/drivers/arrival_watch.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// A way to call the platform's service. A call without an answer may have been done, so whoever
/// calls must be ready for it to be done late, and for a copy of it.
class service_channel {
public:
    using reply_hook = std::function<void(result<http_reply>)>;
    /// Called for each piece of the reply body as it is received.
    using piece_hook = std::function<void()>;

    virtual ~service_channel() = default;

    /// Makes a call. The reply hook is called once, never from within. The request's timeout limits
    /// the time during which neither this reply nor any other is being received. It does not limit
    /// the total duration of a reply.
    virtual void call(http_request request, reply_hook done, piece_hook piece_received = {}) = 0;
};

/// Calls the service at its address. The arrival watch must outlive the channel.
std::unique_ptr<service_channel> make_direct_channel(event_loop& loop, const http_address& address,
                                                     arrival_watch& arrivals);

/// Settings of a relayed channel.
struct relayed_channel_settings {
    /// Added to a call's own time on the way through a peer.
    microseconds relay_slack = milliseconds(100);
    /// How often a direct way that failed is tried again.
    microseconds probe_period = milliseconds(500);
    microseconds probe_timeout = milliseconds(500);
    /// How long a peer that failed isn't asked.
    microseconds peer_rest = seconds(2);
    /// How many peers one call is tried through.
    unsigned most_relays = 3;
};

/// Calls the service directly while that works, and else through a peer that can reach it. A call
/// that fails is made again on another way, so the service may see it twice; keyed_log's
/// conditional appends and all reads bear that. A call whose reply is being received is not moved
/// when its way is considered lost or the direct way recovers, since that would transfer the
/// received part again over the same link.
class relayed_channel final : public service_channel {
public:
    /// The endpoints of the peers that relay, those to ask first in front.
    using peer_source = std::function<std::vector<std::string>()>;
    /// A cheap call that shows whether the direct way works.
    using probe_source = std::function<http_request()>;

    /// The direct channel, the bus and the arrival watch must outlive this one. The bus's relay
    /// replies must be handed to on_reply().
    relayed_channel(event_loop& loop, service_channel& direct, message_bus& bus, peer_source peers,
                    probe_source probe, arrival_watch& arrivals, metrics& counters,
                    relayed_channel_settings settings);
    ~relayed_channel() override;
    relayed_channel(const relayed_channel&) = delete;
    relayed_channel& operator=(const relayed_channel&) = delete;

    void call(http_request request, reply_hook done, piece_hook piece_received = {}) override;

    /// A peer's answer came over the bus.
    void on_reply(const wire::Envelope& message);

    /// True while calls go directly.
    bool direct() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace wrenswitch
