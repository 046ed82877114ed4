#include "wrenswitch/decision/ledger/request_history.hpp"

#include <utility>

namespace wrenswitch {

request_key_state request_history::key_state(const digest& key) const {
    const auto younger_entry = younger_.keys.find(key);
    if (younger_entry != younger_.keys.end()) {
        return younger_entry->second;
    }
    const auto older_entry = older_.keys.find(key);
    return older_entry == older_.keys.end() ? request_key_state{} : older_entry->second;
}

void request_history::set_key_state(const digest& key, request_key_state state) {
    rotate_if_full();
    younger_.keys[key] = state;
}

bool request_history::has_ticket(ticket_id ticket) const {
    return younger_.tickets.count(ticket) > 0 || older_.tickets.count(ticket) > 0;
}

void request_history::add_ticket(ticket_id ticket) {
    rotate_if_full();
    younger_.tickets.insert(ticket);
}

void request_history::restore(generation younger, generation older) {
    younger_ = std::move(younger);
    older_ = std::move(older);
}

void request_history::rotate_if_full() {
    if (younger_.keys.size() + younger_.tickets.size() < generation_size_) {
        return;
    }
    older_ = std::exchange(younger_, {});
}

}  // namespace wrenswitch
