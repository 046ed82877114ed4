#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Detects that this gateway is cut off from the other hosts: several peers have not responded, and
/// in the meantime nothing was received from any engine or, directly or through a relay, from the
/// platform service. Other gateways that can still be reached may be isolated together with it, so
/// messages from them do not count. An isolated gateway should refuse its callers, because it only
/// delays requests that other gateways could serve.
class isolation_detector {
public:
    /// Data from an engine or from the platform service was received at this time.
    void record_contact(instant at);

    /// An engine or gateway did not respond in time.
    void record_unresponsive(std::string_view peer) { unresponsive_.insert(std::string(peer)); }

    /// True if this gateway appears to be cut off.
    bool is_isolated(instant now) const;

    /// The number of peers that failed to respond since the last contact.
    std::size_t unresponsive_peers() const { return unresponsive_.size(); }

    /// When data was last received.
    instant last_contact() const { return last_contact_; }

private:
    instant last_contact_{};
    std::set<std::string, std::less<>> unresponsive_;
};

}  // namespace wrenswitch
