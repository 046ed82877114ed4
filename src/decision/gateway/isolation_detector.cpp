#include "wrenswitch/decision/gateway/isolation_detector.hpp"

namespace wrenswitch {
namespace {

/// A single unresponsive peer may have failed; two of them, with no contact to any other host,
/// indicate a fault of this gateway's own links.
constexpr std::size_t min_unresponsive_peers = 2;

/// Several times the response time of a healthy peer, and less than the time that callers lose by
/// reconnecting to another gateway.
constexpr microseconds min_silence = milliseconds(250);

}  // namespace

void isolation_detector::record_contact(instant at) {
    if (at > last_contact_) {
        last_contact_ = at;
        unresponsive_.clear();
    }
}

bool isolation_detector::is_isolated(instant now) const {
    return unresponsive_.size() >= min_unresponsive_peers && now - last_contact_ >= min_silence;
}

}  // namespace wrenswitch
