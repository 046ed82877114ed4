#include "wrenswitch/decision/membership/peer_backoffs.hpp"

#include <algorithm>

namespace wrenswitch {

bool peer_backoffs::is_backed_off(instant now, std::string_view host) const {
    const auto found = backoffs_.find(host);
    return found != backoffs_.end() && found->second.until > now;
}

peer_backoffs::outcome peer_backoffs::record_failure(instant now, std::string_view host) {
    backoff& current = backoffs_[std::string(host)];
    if (current.until > now) {
        return outcome::ignored;
    }
    const bool is_first = current.duration == microseconds(0);
    current.duration = is_first ? initial_ : std::min(current.duration * 2, max_);
    current.until = now + current.duration;
    return is_first ? outcome::first : outcome::repeated;
}

bool peer_backoffs::clear(std::string_view host) {
    const auto found = backoffs_.find(host);
    if (found == backoffs_.end()) {
        return false;
    }
    backoffs_.erase(found);
    return true;
}

void peer_backoffs::keep_only(const std::function<bool(std::string_view host)>& admits) {
    std::erase_if(backoffs_, [&admits](const auto& each) { return !admits(each.first); });
}

}  // namespace wrenswitch
