#include "wrenswitch/decision/home/request_keys.hpp"

#include <array>

namespace wrenswitch {

std::string_view name_of(request_phase phase) {
    constexpr std::array<std::string_view, 4> names{"reserved", "started", "ended", "lost"};
    return names.at(static_cast<std::size_t>(phase));
}

const request_entry* request_keys::find(const digest& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

result<void> request_keys::reserve(const digest& key, const digest& body, ticket_id ticket) {
    const auto known = entries_.find(key);
    const bool busy = known != entries_.end() && known->second.phase != request_phase::ended &&
                      known->second.phase != request_phase::lost;
    if (busy) {
        return failed(error_code::conflict, "The request key is in use: phase " +
                                                std::string(name_of(known->second.phase)) + ".");
    }
    make_room();
    entries_[key] = request_entry{body, request_phase::reserved, ticket, {}, {}};
    return outcome::success();
}

result<void> request_keys::replace(const digest& key, ticket_id lost, ticket_id ticket) {
    const result<request_entry*> expected = expect(key, lost);
    if (!expected) {
        return expected.error();
    }
    request_entry& entry = *expected.value();
    entry.phase = request_phase::reserved;
    entry.ticket = ticket;
    entry.guard_endpoint.clear();
    entry.guard = incarnation_id{};
    return outcome::success();
}

result<void> request_keys::start(const digest& key, ticket_id ticket, incarnation_id guard,
                                 std::string guard_endpoint) {
    const result<request_entry*> expected = expect(key, ticket);
    if (!expected) {
        return expected.error();
    }
    request_entry& entry = *expected.value();
    const bool in_order =
        entry.phase == request_phase::reserved || entry.phase == request_phase::ended;
    if (!in_order) {
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

result<void> request_keys::end(const digest& key, ticket_id ticket) {
    const result<request_entry*> expected = expect(key, ticket);
    if (!expected) {
        return expected.error();
    }
    request_entry& entry = *expected.value();
    if (entry.phase == request_phase::ended) {
        return outcome::success();
    }
    entry.phase = request_phase::ended;
    ended_order_.push_back(key);
    return outcome::success();
}

result<void> request_keys::lose(const digest& key, ticket_id ticket) {
    const result<request_entry*> expected = expect(key, ticket);
    if (!expected) {
        return expected.error();
    }
    expected.value()->phase = request_phase::lost;
    ended_order_.push_back(key);
    return outcome::success();
}

result<void> request_keys::release(const digest& key, ticket_id ticket) {
    const result<request_entry*> expected = expect(key, ticket);
    if (!expected) {
        return expected.error();
    }
    if (expected.value()->phase != request_phase::reserved) {
        return failed(error_code::conflict,
                      "Only a reserved request can be released, not one in phase " +
                          std::string(name_of(expected.value()->phase)) + ".");
    }
    entries_.erase(key);
    return outcome::success();
}

result<request_entry*> request_keys::expect(const digest& key, ticket_id ticket) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return failed(error_code::not_found, "The request key is not known here.");
    }
    if (found->second.ticket != ticket) {
        return failed(error_code::conflict, "Another ticket stands for this request key.");
    }
    return &found->second;
}

void request_keys::make_room() {
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
