#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// The progress of a request as known to its allocator.
enum class request_phase {
    /// A ticket is issued; no guard is known to have started it.
    reserved,
    /// A guard started it.
    started,
    /// Its charge was reported.
    ended,
    /// It may have run, but the guard that could confirm it was fenced.
    lost,
};

/// The name of a phase in messages.
std::string_view name_of(request_phase phase);

/// The state of one request key.
struct request_key_entry {
    /// The digest of the request body.
    digest body;
    request_phase phase = request_phase::reserved;
    ticket_id ticket{};
    /// The guard that has the response, once a guard started the request.
    std::string guard_endpoint;
    incarnation_id guard{};
};

/// The request keys known to one allocator. At the capacity, the keys that ended first are evicted.
class request_key_table {
public:
    explicit request_key_table(std::size_t capacity) : capacity_(capacity) {}

    /// Returns the entry of a key, or null.
    const request_key_entry* find(const digest& key) const;

    /// Adds a key, or reuses one that ended or was lost. Fails while the key is in use.
    result<void> reserve(const digest& key, const digest& body, ticket_id ticket);

    /// Replaces the ticket of a key, whose outcome is unknown, with a new one.
    result<void> replace(const digest& key, ticket_id replaced, ticket_id ticket);

    /// A guard started the request. Fails if the ticket is not the current one of the key.
    result<void> mark_started(const digest& key, ticket_id ticket, incarnation_id guard,
                              std::string guard_endpoint);

    /// The charge was reported, possibly before the start of the request.
    result<void> mark_ended(const digest& key, ticket_id ticket);

    /// The guard was fenced, so the outcome of the request is unknown.
    result<void> mark_lost(const digest& key, ticket_id ticket);

    /// The ticket was released unused; forgets the key.
    result<void> release(const digest& key, ticket_id ticket);

    std::size_t size() const { return entries_.size(); }

private:
    result<request_key_entry*> find_with_ticket(const digest& key, ticket_id ticket);
    void evict_ended();

    std::size_t capacity_;
    std::unordered_map<digest, request_key_entry> entries_;
    /// Keys in the order in which they ended or were lost.
    std::deque<digest> ended_order_;
};

}  // namespace wrenswitch
