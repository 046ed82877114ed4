#include "wrenswitch/decision/home/request_key_table.hpp"

#include <array>

namespace wrenswitch {

std::string_view name_of(request_phase phase) {
    constexpr std::array<std::string_view, 4> names{"reserved", "started", "ended", "lost"};
    return names.at(static_cast<std::size_t>(phase));
}

const request_key_entry* request_key_table::find(const digest& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

result<void> request_key_table::reserve(const digest& key, const digest& body, ticket_id ticket) {
    const auto known = entries_.find(key);
    const bool in_use = known != entries_.end() && known->second.phase != request_phase::ended &&
                        known->second.phase != request_phase::lost;
    if (in_use) {
        return failed(error_code::conflict, "The request key is in use: phase " +
                                                std::string(name_of(known->second.phase)) + ".");
    }
    evict_ended();
    entries_[key] = request_key_entry{body, request_phase::reserved, ticket, {}, {}};
    return outcome::success();
}

result<void> request_key_table::replace(const digest& key, ticket_id replaced, ticket_id ticket) {
    const result<request_key_entry*> found_entry = find_with_ticket(key, replaced);
    if (!found_entry) {
        return found_entry.error();
    }
    request_key_entry& entry = *found_entry.value();
    entry.phase = request_phase::reserved;
    entry.ticket = ticket;
    entry.guard_endpoint.clear();
    entry.guard = incarnation_id{};
    return outcome::success();
}

result<void> request_key_table::mark_started(const digest& key, ticket_id ticket,
                                             incarnation_id guard, std::string guard_endpoint) {
    const result<request_key_entry*> found_entry = find_with_ticket(key, ticket);
    if (!found_entry) {
        return found_entry.error();
    }
    request_key_entry& entry = *found_entry.value();
    const bool may_start =
        entry.phase == request_phase::reserved || entry.phase == request_phase::ended;
    if (!may_start) {
        return failed(error_code::conflict,
                      "A request cannot start in phase " + std::string(name_of(entry.phase)) + ".");
    }
    if (entry.phase == request_phase::reserved) {
        entry.phase = request_phase::started;
    }
    entry.guard_endpoint = std::move(guard_endpoint);
    entry.guard = guard;
    return outcome::success();
}

result<void> request_key_table::mark_ended(const digest& key, ticket_id ticket) {
    const result<request_key_entry*> found_entry = find_with_ticket(key, ticket);
    if (!found_entry) {
        return found_entry.error();
    }
    request_key_entry& entry = *found_entry.value();
    if (entry.phase == request_phase::ended) {
        return outcome::success();
    }
    entry.phase = request_phase::ended;
    ended_order_.push_back(key);
    return outcome::success();
}

result<void> request_key_table::mark_lost(const digest& key, ticket_id ticket) {
    const result<request_key_entry*> found_entry = find_with_ticket(key, ticket);
    if (!found_entry) {
        return found_entry.error();
    }
    found_entry.value()->phase = request_phase::lost;
    ended_order_.push_back(key);
    return outcome::success();
}

result<void> request_key_table::release(const digest& key, ticket_id ticket) {
    const result<request_key_entry*> found_entry = find_with_ticket(key, ticket);
    if (!found_entry) {
        return found_entry.error();
    }
    if (found_entry.value()->phase != request_phase::reserved) {
        return failed(error_code::conflict,
                      "Only a reserved request can be released, not one in phase " +
                          std::string(name_of(found_entry.value()->phase)) + ".");
    }
    entries_.erase(key);
    return outcome::success();
}

result<request_key_entry*> request_key_table::find_with_ticket(const digest& key,
                                                               ticket_id ticket) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return failed(error_code::not_found, "The request key is unknown.");
    }
    if (found->second.ticket != ticket) {
        return failed(error_code::conflict, "The request key has another ticket.");
    }
    return &found->second;
}

void request_key_table::evict_ended() {
    while (!ended_order_.empty() &&
           (entries_.size() >= capacity_ || ended_order_.size() > capacity_)) {
        const auto oldest = entries_.find(ended_order_.front());
        ended_order_.pop_front();
        const bool still_ended =
            oldest != entries_.end() && (oldest->second.phase == request_phase::ended ||
                                         oldest->second.phase == request_phase::lost);
        if (still_ended) {
            entries_.erase(oldest);
        }
    }
}

}  // namespace wrenswitch
