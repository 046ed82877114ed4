#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "wrenswitch/decision/control/configuration.hpp"
#include "wrenswitch/decision/control/member.hpp"
#include "wrenswitch/decision/ledger/ledger_operation.hpp"

namespace wrenswitch {

/// Registers the record's writer as a new incarnation.
struct register_record {
    registration info;
};

/// Announces the orderly shutdown of the writer. It counts as the writer's acknowledgement of all
/// open and later fences.
struct close_record {};

/// Fences an incarnation: a guard that has read the record refuses its requests.
struct fence_record {
    incarnation_id incarnation{};
};

/// Acknowledges a fence. Lists the charges of the fenced incarnation that the acknowledging process
/// had started.
struct fence_ack {
    incarnation_id fenced{};
    incarnation_id sender{};
    std::vector<charge> charges;
};

/// Fence acknowledgements of several processes in one record.
struct fence_acks_record {
    std::vector<fence_ack> acks;
};

using control_record_kind =
    std::variant<register_record, close_record, fence_record, fence_acks_record, change_set>;

/// One record of the control stream. Duplicates are detected by writer and sequence number.
struct control_record {
    incarnation_id writer{};
    std::uint64_t sequence = 0;
    control_record_kind kind;
};

/// A fence and its outstanding acknowledgements.
struct fence_state {
    incarnation_id fenced{};
    log_offset offset{};
    std::set<incarnation_id> pending_acks;
    /// The processes that acknowledged the fence. Cleared when the fence of an entry is complete.
    std::set<incarnation_id> acked_by;
    /// The charges listed by all acknowledgements.
    std::vector<charge> charges;

    friend bool operator==(const fence_state&, const fence_state&) = default;

    /// True once no acknowledgement is outstanding; it stays true from then on.
    bool complete() const { return pending_acks.empty(); }
};

/// Describes what the application of one control record changed.
struct control_effect {
    /// False if the record was a duplicate.
    bool applied = false;
    bool membership_changed = false;
    /// True if the record was a change set; operation and outcome are set only then.
    bool was_configuration = false;
    operation_id operation{};
    change_outcome outcome = change_outcome::accepted;
};

/// The state replicated through the control stream: members, fences with their acknowledgements,
/// and the configuration. It depends on the records and their order alone.
///
/// The fence of an entry requires an acknowledgement from every guard that registered before it,
/// except from a closed guard and from a fenced guard whose fence this entry had acknowledged or
/// which was fenced before the entry registered: the entry has settled every charge that such a
/// guard could have started for it. The fence of a guard requires no acknowledgement; entries
/// acknowledge it for the exception above.
///
/// spec/budget.pml models fences and their acknowledgements.
class control_state {
public:
    friend bool operator==(const control_state&, const control_state&) = default;

    /// Applies one record. A duplicate changes nothing.
    control_effect apply(const control_record& record, log_offset offset);

    const configuration& config() const { return configuration_; }

    /// The remembered members, ordered by identifier: active ones and the latest inactive ones.
    const std::map<incarnation_id, member>& members() const { return members_; }

    /// Returns the member with this incarnation, or null.
    const member* find(incarnation_id incarnation) const;

    /// True if the incarnation registered and was neither fenced nor closed.
    bool is_active(incarnation_id incarnation) const;

    /// True if the incarnation was fenced.
    bool is_fenced(incarnation_id incarnation) const;

    /// True if this process has not acknowledged this fence yet and its acknowledgement is needed.
    bool wants_ack(incarnation_id fenced, incarnation_id sender) const;

    /// The remembered fences, by fenced incarnation.
    const std::map<incarnation_id, fence_state>& fences() const { return fences_; }

    /// Returns the outcome of a change set that was applied before, or null if it is not
    /// remembered.
    const change_outcome* outcome_of(operation_id operation) const;

    /// The offset of the latest fence of a guard, or zero.
    log_offset last_guard_fence() const { return last_guard_fence_; }

    /// The sequence number of the last record applied from this writer, or zero.
    std::uint64_t last_sequence_of(incarnation_id writer) const;

    /// A copy of the whole state for encoding a snapshot.
    struct snapshot {
        configuration config;
        std::map<incarnation_id, member> members;
        std::map<incarnation_id, std::uint64_t> sequences;
        std::map<incarnation_id, fence_state> fences;
        std::deque<operation_id> operation_order;
        std::unordered_map<operation_id, change_outcome> operations;
        log_offset last_guard_fence{};
    };

    snapshot to_snapshot() const;
    void restore(snapshot saved);

private:
    struct visitor;

    void apply_registration(incarnation_id writer, const registration& info, log_offset offset);
    void apply_close(incarnation_id writer);
    void apply_fence(incarnation_id fenced, log_offset offset);
    void apply_ack(const fence_ack& ack);
    change_outcome apply_change(const change_set& set);
    bool must_acknowledge(const member& guard, const member& fenced_entry) const;
    void evict_fences();
    void evict_members();
    bool is_evictable(const member& known) const;

    configuration configuration_;
    std::map<incarnation_id, member> members_;
    std::map<incarnation_id, std::uint64_t> sequences_;
    std::map<incarnation_id, fence_state> fences_;
    std::deque<operation_id> operation_order_;
    std::unordered_map<operation_id, change_outcome> operations_;
    log_offset last_guard_fence_{};
};

}  // namespace wrenswitch
