#include "wrenswitch/decision/ledger/key_memory.hpp"

#include <utility>

namespace wrenswitch {

key_facts key_memory::facts_of(const digest& key) const {
    const auto young = younger_.keys.find(key);
    if (young != younger_.keys.end()) {
        return young->second;
    }
    const auto old = older_.keys.find(key);
    return old == older_.keys.end() ? key_facts{} : old->second;
}

void key_memory::put(const digest& key, key_facts facts) {
    rotate_if_full();
    younger_.keys[key] = facts;
}

bool key_memory::has_ticket(ticket_id ticket) const {
    return younger_.tickets.count(ticket) > 0 || older_.tickets.count(ticket) > 0;
}

void key_memory::add_ticket(ticket_id ticket) {
    rotate_if_full();
    younger_.tickets.insert(ticket);
}

void key_memory::restore(generation younger, generation older) {
    younger_ = std::move(younger);
    older_ = std::move(older);
}

void key_memory::rotate_if_full() {
    if (younger_.keys.size() + younger_.tickets.size() < generation_size_) {
        return;
    }
    older_ = std::exchange(younger_, {});
}

}  // namespace wrenswitch
