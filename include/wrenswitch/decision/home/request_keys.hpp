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

/// How far a request has come, as its home knows it.
enum class request_phase {
    /// A ticket is out; no guard is known to have taken it.
    reserved,
    /// A guard took it.
    started,
    /// Its charge came in.
    ended,
    /// It may have run, and no witness is left.
    lost,
};

/// The name of a phase as it stands in messages.
std::string_view name_of(request_phase phase);

/// What a home remembers of a request key.
struct request_entry {
    digest body;
    request_phase phase = request_phase::reserved;
    ticket_id ticket{};
    /// Where the answer is, once a guard took the request.
    std::string guard_endpoint;
    incarnation_id guard{};
};

/// The request keys of one home, bounded in number: the oldest ended ones go first.
class request_keys {
public:
    explicit request_keys(std::size_t capacity) : capacity_(capacity) {}

    /// The entry of a key, or null.
    const request_entry* find(const digest& key) const;

    /// Starts a key, or starts it anew after it ended or was lost.
    result<void> reserve(const digest& key, const digest& body, ticket_id ticket);

    /// A new ticket takes the place of one whose fate is not known.
    result<void> replace(const digest& key, ticket_id lost, ticket_id ticket);

    /// A guard took the request. An error if the ticket is not the one that is out.
    result<void> start(const digest& key, ticket_id ticket, incarnation_id guard,
                       std::string guard_endpoint);

    /// The charge came in; that may happen before the word that it started.
    result<void> end(const digest& key, ticket_id ticket);

    /// The witnesses are gone.
    result<void> lose(const digest& key, ticket_id ticket);

    /// The ticket came back unused, so the key is as new.
    result<void> release(const digest& key, ticket_id ticket);

    std::size_t size() const { return entries_.size(); }

private:
    result<request_entry*> expect(const digest& key, ticket_id ticket);
    void make_room();

    std::size_t capacity_;
    std::unordered_map<digest, request_entry> entries_;
    /// Keys in the order in which they ended.
    std::deque<digest> ended_order_;
};

}  // namespace wrenswitch
