#include "wrenswitch/decision/membership/peer_suspicions.hpp"

namespace wrenswitch {

std::optional<peer_suspicions::suspicion_id> peer_suspicions::begin(std::string_view host) {
    if (is_suspected(host)) {
        return std::nullopt;
    }
    last_id_ += 1;
    suspicions_.emplace(host, suspicion{last_id_, false});
    return last_id_;
}

void peer_suspicions::clear(std::string_view host) {
    const auto found = suspicions_.find(host);
    if (found != suspicions_.end()) {
        suspicions_.erase(found);
    }
}

void peer_suspicions::record_late_answer(std::string_view host) {
    const auto found = suspicions_.find(host);
    if (found != suspicions_.end()) {
        found->second.has_answered = true;
    }
}

bool peer_suspicions::end(std::string_view host, suspicion_id id) {
    const auto found = suspicions_.find(host);
    if (found == suspicions_.end() || found->second.id != id) {
        return false;
    }
    const bool is_lost = !found->second.has_answered;
    suspicions_.erase(found);
    return is_lost;
}

void peer_suspicions::add_suspected(std::vector<std::string>& hosts) const {
    for (const auto& [host, each] : suspicions_) {
        hosts.push_back(host);
    }
}

}  // namespace wrenswitch
