#pragma once

#include <cstddef>
#include <unordered_map>
#include <unordered_set>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// The recorded state of one request key.
struct request_key_state {
    /// The ticket that claimed the key, or zero.
    ticket_id claimed_by{};
    bool billed = false;

    friend bool operator==(const request_key_state&, const request_key_state&) = default;
};

/// Bounded history of request keys and settled tickets for detecting duplicates. It keeps two
/// generations: when the younger one is full, it replaces the older one, which is dropped. Eviction
/// depends on the ledger stream alone, so all replicas evict at the same record.
class request_history {
public:
    /// A generation is full at this number of entries, keys and tickets together.
    explicit request_history(std::size_t generation_size) : generation_size_(generation_size) {}

    /// The keys and settled tickets of one generation.
    struct generation {
        std::unordered_map<digest, request_key_state> keys;
        std::unordered_set<ticket_id> tickets;

        friend bool operator==(const generation&, const generation&) = default;
    };

    friend bool operator==(const request_history&, const request_history&) = default;

    /// Returns the state of a key, or the default state if the key is not remembered.
    request_key_state key_state(const digest& key) const;

    /// Sets the state of a key in the younger generation.
    void set_key_state(const digest& key, request_key_state state);

    /// True if the ticket is remembered as settled.
    bool has_ticket(ticket_id ticket) const;

    /// Records a settled ticket.
    void add_ticket(ticket_id ticket);

    const generation& younger() const { return younger_; }
    const generation& older() const { return older_; }

    /// Replaces the history with the contents of a snapshot.
    void restore(generation younger, generation older);

private:
    void rotate_if_full();

    std::size_t generation_size_;
    generation younger_;
    generation older_;
};

}  // namespace wrenswitch
