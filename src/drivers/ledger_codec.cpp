#include "wrenswitch/drivers/ledger_codec.hpp"

#include <ledger.pb.h>

#include <map>
#include <utility>

namespace wrenswitch {
namespace {

constexpr std::uint32_t ledger_format = 1;

/// Writes each kind of operation.
struct operation_encoder {
    incarnation_id writer;
    wire::LedgerOperation& out;

    void operator()(const set_budget_operation& operation) const {
        wire::SetBudget& target = *out.mutable_set_budget();
        target.set_operation(raw(operation.operation));
        target.set_name(operation.name);
        target.set_limit(operation.limit);
    }
    void operator()(const draw_operation& operation) const {
        wire::Draw& target = *out.mutable_draw();
        target.set_budget(raw(operation.budget));
        target.set_amount(operation.amount);
        target.set_need(operation.need);
    }
    void operator()(const return_operation& operation) const {
        wire::Return& target = *out.mutable_return_tokens();
        target.set_budget(raw(operation.budget));
        target.set_amount(operation.amount);
    }
    void operator()(const settle_operation& operation) const {
        encode_charge(operation.settled, writer, *out.mutable_settle());
    }
    void operator()(const close_holder_operation&) const { out.mutable_close_holder(); }
    void operator()(const reclaim_operation& operation) const {
        wire::Reclaim& target = *out.mutable_reclaim();
        target.set_holder(raw(operation.holder));
        for (const charge& item : operation.charges) {
            encode_charge(item, incarnation_id{}, *target.add_charges());
        }
    }
    void operator()(const claim_key_operation& operation) const {
        wire::ClaimKey& target = *out.mutable_claim_key();
        target.set_key_high(operation.key.high);
        target.set_key_low(operation.key.low);
        target.set_ticket(raw(operation.ticket));
    }
    void operator()(const lock_keys_operation&) const { out.mutable_hold_keys(); }
    void operator()(const unlock_keys_operation&) const { out.mutable_release_keys(); }
};

result<ledger_operation> decode_operation(const wire::LedgerOperation& in, incarnation_id writer) {
    switch (in.kind_case()) {
        case wire::LedgerOperation::kSetBudget:
            return ledger_operation(set_budget_operation{operation_id{in.set_budget().operation()},
                                                         in.set_budget().name(),
                                                         in.set_budget().limit()});
        case wire::LedgerOperation::kDraw:
            return ledger_operation(draw_operation{budget_id{in.draw().budget()},
                                                   in.draw().amount(), in.draw().need()});
        case wire::LedgerOperation::kReturnTokens:
            return ledger_operation(return_operation{budget_id{in.return_tokens().budget()},
                                                     in.return_tokens().amount()});
        case wire::LedgerOperation::kSettle:
            return ledger_operation(settle_operation{decode_charge(in.settle(), writer)});
        case wire::LedgerOperation::kCloseHolder:
            return ledger_operation(close_holder_operation{});
        case wire::LedgerOperation::kReclaim: {
            reclaim_operation reclaim;
            reclaim.holder = incarnation_id{in.reclaim().holder()};
            for (const wire::Charge& item : in.reclaim().charges()) {
                reclaim.charges.push_back(decode_charge(item, incarnation_id{}));
            }
            return ledger_operation(std::move(reclaim));
        }
        case wire::LedgerOperation::kClaimKey:
            return ledger_operation(
                claim_key_operation{digest{in.claim_key().key_high(), in.claim_key().key_low()},
                                    ticket_id{in.claim_key().ticket()}});
        case wire::LedgerOperation::kHoldKeys:
            return ledger_operation(lock_keys_operation{});
        case wire::LedgerOperation::kReleaseKeys:
            return ledger_operation(unlock_keys_operation{});
        case wire::LedgerOperation::KIND_NOT_SET:
            break;
    }
    return failed(error_code::damaged, "An operation of a kind that this version does not know.");
}

void encode_budget(const budget_state& budget, wire::SnapshotBudget& out) {
    out.set_name(budget.name);
    out.set_limit(budget.limit);
    out.set_billed(budget.billed);
    out.set_burnt(budget.burnt);
    out.set_unbacked(budget.unbacked);
    for (const holding& item : budget.holdings) {
        wire::SnapshotHolding& target = *out.add_holdings();
        target.set_holder(raw(item.holder));
        target.set_outstanding(item.outstanding);
    }
    for (const charge& item : budget.running) {
        encode_charge(item, incarnation_id{}, *out.add_running());
    }
    for (const waiting_need& item : budget.waiting) {
        wire::SnapshotWaiting& target = *out.add_waiting();
        target.set_holder(raw(item.holder));
        target.set_need(item.need);
    }
    for (const operation_id item : budget.operations) {
        out.add_operations(raw(item));
    }
}

budget_state decode_budget(const wire::SnapshotBudget& in) {
    budget_state budget;
    budget.name = in.name();
    budget.limit = in.limit();
    budget.billed = in.billed();
    budget.burnt = in.burnt();
    budget.unbacked = in.unbacked();
    for (const wire::SnapshotHolding& item : in.holdings()) {
        budget.holdings.push_back({incarnation_id{item.holder()}, item.outstanding()});
    }
    for (const wire::Charge& item : in.running()) {
        budget.running.push_back(decode_charge(item, incarnation_id{}));
    }
    for (const wire::SnapshotWaiting& item : in.waiting()) {
        budget.waiting.push_back({incarnation_id{item.holder()}, item.need()});
    }
    for (const std::uint64_t item : in.operations()) {
        budget.operations.push_back(operation_id{item});
    }
    return budget;
}

void encode_generation(const request_history::generation& generation, bool older,
                       wire::LedgerSnapshot& out) {
    for (const auto& [key, facts] : generation.keys) {
        wire::SnapshotKey& target = *out.add_keys();
        target.set_key_high(key.high);
        target.set_key_low(key.low);
        target.set_claimed_by(raw(facts.claimed_by));
        target.set_billed(facts.billed);
        target.set_older_generation(older);
    }
    for (const ticket_id ticket : generation.tickets) {
        wire::SnapshotTicket& target = *out.add_tickets();
        target.set_ticket(raw(ticket));
        target.set_older_generation(older);
    }
}

}  // namespace

void encode_charge(const charge& value, incarnation_id writer, wire::Charge& out) {
    out.set_budget(raw(value.budget));
    if (value.holder != writer) {
        out.set_holder(raw(value.holder));
    }
    out.set_key_high(value.key.high);
    out.set_key_low(value.key.low);
    out.set_ticket(raw(value.ticket));
    out.set_tokens(value.amount);
    out.set_running(value.running);
}

charge decode_charge(const wire::Charge& in, incarnation_id writer) {
    charge value;
    value.budget = budget_id{in.budget()};
    value.holder = in.holder() == 0 ? writer : incarnation_id{in.holder()};
    value.key = digest{in.key_high(), in.key_low()};
    value.ticket = ticket_id{in.ticket()};
    value.amount = in.tokens();
    value.running = in.running();
    return value;
}

std::string encode_ledger_batch(const ledger_batch& batch) {
    wire::LedgerRecord record;
    record.set_format(ledger_format);
    record.set_writer(raw(batch.writer));
    record.set_sequence(batch.sequence);
    for (const ledger_operation& operation : batch.operations) {
        std::visit(operation_encoder{batch.writer, *record.add_operations()}, operation);
    }
    return record.SerializeAsString();
}

std::string encode_ledger_chunk(const snapshot_chunk& chunk) {
    wire::LedgerRecord record;
    record.set_format(ledger_format);
    wire::SnapshotChunk& target = *record.mutable_snapshot_chunk();
    target.set_snapshot(chunk.snapshot);
    target.set_index(chunk.index);
    target.set_count(chunk.count);
    target.set_as_of(raw(chunk.as_of));
    target.set_data(chunk.data);
    return record.SerializeAsString();
}

result<ledger_record> decode_ledger_record(std::string_view bytes) {
    wire::LedgerRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failed(error_code::damaged, "The record is not in the ledger's form.");
    }
    if (record.format() != ledger_format) {
        return failed(error_code::damaged, "The record has format " +
                                               std::to_string(record.format()) + "; known is " +
                                               std::to_string(ledger_format) + ".");
    }
    if (record.has_snapshot_chunk()) {
        const wire::SnapshotChunk& chunk = record.snapshot_chunk();
        return ledger_record(snapshot_chunk{chunk.snapshot(), chunk.index(), chunk.count(),
                                            log_offset{chunk.as_of()}, chunk.data()});
    }
    ledger_batch batch;
    batch.writer = incarnation_id{record.writer()};
    batch.sequence = record.sequence();
    if (record.writer() == 0 || record.sequence() == 0) {
        return failed(error_code::damaged, "The record names no writer or no sequence number.");
    }
    for (const wire::LedgerOperation& item : record.operations()) {
        result<ledger_operation> operation = decode_operation(item, batch.writer);
        if (!operation) {
            return operation.error();
        }
        batch.operations.push_back(std::move(operation.value()));
    }
    return ledger_record(std::move(batch));
}

std::string encode_ledger_snapshot(const ledger_state& state, log_offset as_of) {
    wire::LedgerSnapshot snapshot;
    snapshot.set_as_of(raw(as_of));
    snapshot.set_key_holder(raw(state.key_holder()));
    // In the order of identifiers, so that equal states give equal bytes.
    std::map<budget_id, const budget_state*> budgets;
    for (const auto& [id, budget] : state.budgets()) {
        budgets[id] = &budget;
    }
    for (const auto& [id, budget] : budgets) {
        encode_budget(*budget, *snapshot.add_budgets());
    }
    std::map<incarnation_id, ledger_writer> writers(state.writers().begin(), state.writers().end());
    for (const auto& [id, writer] : writers) {
        wire::SnapshotWriter& target = *snapshot.add_writers();
        target.set_writer(raw(id));
        target.set_sequence(writer.last_sequence);
        target.set_closed(writer.closed);
    }
    encode_generation(state.history().younger(), false, snapshot);
    encode_generation(state.history().older(), true, snapshot);
    return snapshot.SerializeAsString();
}

result<ledger_state> decode_ledger_snapshot(std::string_view bytes) {
    wire::LedgerSnapshot snapshot;
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failed(error_code::damaged, "The snapshot is not in the ledger's form.");
    }
    std::unordered_map<budget_id, budget_state> budgets;
    for (const wire::SnapshotBudget& item : snapshot.budgets()) {
        budgets[budget_id_of(item.name())] = decode_budget(item);
    }
    std::unordered_map<incarnation_id, ledger_writer> writers;
    for (const wire::SnapshotWriter& item : snapshot.writers()) {
        writers[incarnation_id{item.writer()}] = {item.sequence(), item.closed()};
    }
    request_history::generation younger;
    request_history::generation older;
    for (const wire::SnapshotKey& item : snapshot.keys()) {
        request_history::generation& target = item.older_generation() ? older : younger;
        target.keys[digest{item.key_high(), item.key_low()}] =
            request_key_state{ticket_id{item.claimed_by()}, item.billed()};
    }
    for (const wire::SnapshotTicket& item : snapshot.tickets()) {
        request_history::generation& target = item.older_generation() ? older : younger;
        target.tickets.insert(ticket_id{item.ticket()});
    }
    request_history keys(ledger_state::default_generation_size);
    keys.restore(std::move(younger), std::move(older));
    ledger_state state;
    state.restore(std::move(budgets), std::move(writers), std::move(keys),
                  incarnation_id{snapshot.key_holder()});
    return state;
}

}  // namespace wrenswitch
