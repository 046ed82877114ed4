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

/// The writer begins its life under the incarnation that the record names as writer.
struct register_record {
    registration self;
};

/// The writer stopped as planned. For all later fences this counts as its mark.
struct close_record {};

/// Nothing that this incarnation does counts any more, once a guard has read it.
struct fence_record {
    incarnation_id incarnation{};
};

/// "I have applied this fence. Under it I had started these charges."
struct fence_mark {
    incarnation_id fenced{};
    incarnation_id marker{};
    std::vector<charge> charges;
};

/// Marks of several processes in one record.
struct marks_record {
    std::vector<fence_mark> marks;
};

using control_record_kind =
    std::variant<register_record, close_record, fence_record, marks_record, change_set>;

/// One record of the control stream. A second copy is known by its writer and number.
struct control_record {
    incarnation_id writer{};
    std::uint64_t sequence = 0;
    control_record_kind kind;
};

/// A fence and the marks that it still waits for.
struct fence_state {
    incarnation_id fenced{};
    log_offset offset{};
    std::set<incarnation_id> awaited;
    /// Who has marked it, while that matters: for the fence of an entry until it is complete.
    std::set<incarnation_id> marked_by;
    /// All charges that the marks listed.
    std::vector<charge> charges;

    friend bool operator==(const fence_state&, const fence_state&) = default;

    /// True once every mark is in. That never becomes false again.
    bool complete() const { return awaited.empty(); }
};

/// What a record of the control stream changed, for the process that applied it.
struct control_effect {
    bool applied = false;
    bool membership_changed = false;
    /// Set if the record was a change of configuration.
    bool was_configuration = false;
    operation_id operation{};
    change_outcome outcome = change_outcome::accepted;
};

/// The fold of the control stream: members, fences with their marks, and the configuration.
///
/// The fence of an entry waits for a mark from every guard that registered before it, but not from
/// a guard that closed, nor from a fenced guard whose fence this entry had marked or which was
/// fenced before the entry registered: the entry has settled all that such a guard could have
/// started for it. The fence of a guard waits for nobody; entries mark it for the rule above.
///
/// spec/budget.pml models fences and marks.
class control_state {
public:
    friend bool operator==(const control_state&, const control_state&) = default;

    /// Applies one record. A second copy changes nothing.
    control_effect apply(const control_record& record, log_offset offset);

    const configuration& config() const { return configuration_; }

    /// All members that are still of interest, in the order of their identifiers.
    const std::map<incarnation_id, member>& members() const { return members_; }

    /// The member with this incarnation, or null.
    const member* find(incarnation_id incarnation) const;

    /// True if the incarnation registered and was neither fenced nor closed.
    bool is_active(incarnation_id incarnation) const;

    /// True if the incarnation was fenced.
    bool is_fenced(incarnation_id incarnation) const;

    /// True if a mark by this process for this fence would still tell something.
    bool wants_mark(incarnation_id fenced, incarnation_id marker) const;

    /// All fences that are remembered, by the incarnation that they fence.
    const std::map<incarnation_id, fence_state>& fences() const { return fences_; }

    /// The outcome of an operator's change that was applied already, if it is remembered.
    const change_outcome* outcome_of(operation_id operation) const;

    /// The offset of the last fence of a guard, or zero.
    log_offset last_guard_fence() const { return last_guard_fence_; }

    /// The number of the last record of this writer that was applied, or zero.
    std::uint64_t last_sequence_of(incarnation_id writer) const;

    /// A typed copy of everything, for a snapshot.
    struct image {
        configuration config;
        std::map<incarnation_id, member> members;
        std::map<incarnation_id, std::uint64_t> sequences;
        std::map<incarnation_id, fence_state> fences;
        std::deque<operation_id> operation_order;
        std::unordered_map<operation_id, change_outcome> operations;
        log_offset last_guard_fence{};
    };

    image to_image() const;
    void restore(image saved);

private:
    struct visitor;

    void apply_register(incarnation_id writer, const registration& self, log_offset offset);
    void apply_close(incarnation_id writer);
    void apply_fence(incarnation_id fenced, log_offset offset);
    void apply_mark(const fence_mark& mark);
    change_outcome apply_change(const change_set& set);
    bool must_mark(const member& guard, const member& fenced_entry) const;
    void forget_old_fences();
    void forget_old_members();
    bool may_be_forgotten(const member& known) const;

    configuration configuration_;
    std::map<incarnation_id, member> members_;
    std::map<incarnation_id, std::uint64_t> sequences_;
    std::map<incarnation_id, fence_state> fences_;
    std::deque<operation_id> operation_order_;
    std::unordered_map<operation_id, change_outcome> operations_;
    log_offset last_guard_fence_{};
};

}  // namespace wrenswitch
