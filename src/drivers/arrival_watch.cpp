#include "wrenswitch/drivers/arrival_watch.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The longest gap between pieces before a reply counts as stalled. Equals the timeout of calls
/// that are not held open.
constexpr microseconds longest_piece_gap = milliseconds(600);

}  // namespace

/// Each reply is judged by its own pieces: one that has stalled must not count as being received
/// because others arrive.
microseconds arrival_watch::receive_time_until(instant now) const {
    instant from = now;
    for (const incoming_reply* reply : open_replies_) {
        if (now - reply->last_piece() <= longest_piece_gap) {
            from = std::min(from, std::max(reply->last_piece(), counted_until_));
        }
    }
    return receive_time_ + std::chrono::duration_cast<microseconds>(now - from);
}

void arrival_watch::record_piece(const incoming_reply& reply, instant now) {
    const instant from = std::max(reply.last_piece(), counted_until_);
    if (now - reply.last_piece() <= longest_piece_gap && now > from) {
        receive_time_ += std::chrono::duration_cast<microseconds>(now - from);
        counted_until_ = now;
    }
    last_piece_ = now;
}

microseconds arrival_watch::silence_since(const checkpoint& since, instant now) const {
    const auto elapsed = std::chrono::duration_cast<microseconds>(now - since.at);
    return std::max(elapsed - (receive_time_until(now) - since.receive_time), microseconds(0));
}

incoming_reply::incoming_reply(arrival_watch& watch, instant first_piece)
    : watch_(watch), last_piece_(first_piece) {
    watch_.record_piece(*this, first_piece);
    watch_.open_replies_.insert(this);
}

incoming_reply::~incoming_reply() {
    watch_.open_replies_.erase(this);
}

void incoming_reply::record_piece(instant now) {
    watch_.record_piece(*this, now);
    last_piece_ = now;
}

}  // namespace wrenswitch
