#pragma once

#include <cstddef>
#include <unordered_map>
#include <unordered_set>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// What is known of one request key.
struct key_facts {
    /// The ticket that holds the claim, or zero.
    ticket_id claimed_by{};
    bool billed = false;

    friend bool operator==(const key_facts&, const key_facts&) = default;
};

/// Remembers request keys and charged tickets of a ledger stream for a bounded number of them. Two
/// generations are kept: when the younger is full it becomes the older and the older is forgotten.
/// That depends on the stream alone, so all readers forget at the same record.
class key_memory {
public:
    /// The number of entries after which a generation is full.
    explicit key_memory(std::size_t generation_size) : generation_size_(generation_size) {}

    /// One generation's keys and charged tickets.
    struct generation {
        std::unordered_map<digest, key_facts> keys;
        std::unordered_set<ticket_id> tickets;

        friend bool operator==(const generation&, const generation&) = default;
    };

    friend bool operator==(const key_memory&, const key_memory&) = default;

    /// The facts of a key, all unset if it is not remembered.
    key_facts facts_of(const digest& key) const;

    /// Replaces the facts of a key and counts it as new.
    void put(const digest& key, key_facts facts);

    /// True if the ticket was charged.
    bool has_ticket(ticket_id ticket) const;

    /// Remembers a charged ticket.
    void add_ticket(ticket_id ticket);

    const generation& younger() const { return younger_; }
    const generation& older() const { return older_; }

    /// Puts back what a snapshot held.
    void restore(generation younger, generation older);

private:
    void rotate_if_full();

    std::size_t generation_size_;
    generation younger_;
    generation older_;
};

}  // namespace wrenswitch
