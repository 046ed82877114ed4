#include "wrenswitch/drivers/control_codec.hpp"

#include <control.pb.h>

#include <utility>

#include "wrenswitch/drivers/ledger_codec.hpp"

namespace wrenswitch {
namespace {

constexpr std::uint32_t control_format = 1;

void encode_registration(const registration& value, wire::Register& out) {
    out.set_role(value.role == member_role::entry ? wire::ROLE_ENTRY : wire::ROLE_GUARD);
    out.set_host(value.host);
    out.set_region(value.region);
    out.set_failure_domain(value.failure_domain);
    out.set_endpoint(value.endpoint);
    out.set_service(value.service);
    out.set_operator_address(value.operator_address);
}

registration decode_registration(const wire::Register& in) {
    registration value;
    value.role = in.role() == wire::ROLE_GUARD ? member_role::guard : member_role::entry;
    value.host = in.host();
    value.region = in.region();
    value.failure_domain = in.failure_domain();
    value.endpoint = in.endpoint();
    value.service = in.service();
    value.operator_address = in.operator_address();
    return value;
}

void encode_account(const client_account& value, wire::ClientAccount& out) {
    out.set_name(value.name);
    out.set_key_sha256(value.key_sha256);
    out.set_priority(value.priority);
    out.set_budget(value.budget);
}

client_account decode_account(const wire::ClientAccount& in) {
    return {in.name(), in.key_sha256(), in.priority(), in.budget()};
}

void encode_service(const service& value, wire::Service& out) {
    out.set_name(value.name);
    out.set_model(value.model);
    out.set_tokens_per_call(value.tokens_per_call);
    out.set_repeatable(value.repeatable);
    out.set_concurrency(value.concurrency);
}

service decode_service(const wire::Service& in) {
    return {in.name(), in.model(), in.tokens_per_call(), in.repeatable(), in.concurrency()};
}

struct change_encoder {
    wire::Change& out;

    void operator()(const put_client_account& change) const {
        encode_account(change.account, *out.mutable_put_client_account());
    }
    void operator()(const remove_client_account& change) const {
        out.set_remove_client_account(change.name);
    }
    void operator()(const put_service& change) const {
        encode_service(change.value, *out.mutable_put_service());
    }
    void operator()(const remove_service& change) const { out.set_remove_service(change.name); }
    void operator()(const drain_host& change) const { out.set_drain_host(change.host); }
    void operator()(const undrain_host& change) const { out.set_undrain_host(change.host); }
};

result<configuration_change> decode_change(const wire::Change& in) {
    switch (in.kind_case()) {
        case wire::Change::kPutClientAccount:
            return configuration_change(
                put_client_account{decode_account(in.put_client_account())});
        case wire::Change::kRemoveClientAccount:
            return configuration_change(remove_client_account{in.remove_client_account()});
        case wire::Change::kPutService:
            return configuration_change(put_service{decode_service(in.put_service())});
        case wire::Change::kRemoveService:
            return configuration_change(remove_service{in.remove_service()});
        case wire::Change::kDrainHost:
            return configuration_change(drain_host{in.drain_host()});
        case wire::Change::kUndrainHost:
            return configuration_change(undrain_host{in.undrain_host()});
        case wire::Change::KIND_NOT_SET:
            break;
    }
    return failed(error_code::damaged, "A change of a kind that this version does not know.");
}

struct record_encoder {
    wire::ControlRecord& out;

    void operator()(const register_record& record) const {
        encode_registration(record.info, *out.mutable_registration());
    }
    void operator()(const close_record&) const { out.mutable_close(); }
    void operator()(const fence_record& record) const {
        out.mutable_fence()->set_incarnation(raw(record.incarnation));
    }
    void operator()(const fence_acks_record& record) const {
        wire::Marks& target = *out.mutable_marks();
        for (const fence_ack& mark : record.acks) {
            wire::Mark& item = *target.add_marks();
            item.set_fenced(raw(mark.fenced));
            item.set_marker(raw(mark.sender));
            for (const charge& listed : mark.charges) {
                encode_charge(listed, incarnation_id{}, *item.add_charges());
            }
        }
    }
    void operator()(const change_set& set) const {
        wire::ConfigurationChange& target = *out.mutable_configuration();
        target.set_operation(raw(set.operation));
        target.set_base_version(set.base_version);
        target.set_guarded(set.check_base_version);
        for (const configuration_change& change : set.changes) {
            std::visit(change_encoder{*target.add_changes()}, change);
        }
    }
};

result<control_record_kind> decode_kind(const wire::ControlRecord& in) {
    switch (in.kind_case()) {
        case wire::ControlRecord::kRegistration:
            return control_record_kind(register_record{decode_registration(in.registration())});
        case wire::ControlRecord::kClose:
            return control_record_kind(close_record{});
        case wire::ControlRecord::kFence:
            return control_record_kind(fence_record{incarnation_id{in.fence().incarnation()}});
        case wire::ControlRecord::kMarks: {
            fence_acks_record marks;
            for (const wire::Mark& item : in.marks().marks()) {
                fence_ack mark{incarnation_id{item.fenced()}, incarnation_id{item.marker()}, {}};
                for (const wire::Charge& listed : item.charges()) {
                    mark.charges.push_back(decode_charge(listed, incarnation_id{}));
                }
                marks.acks.push_back(std::move(mark));
            }
            return control_record_kind(std::move(marks));
        }
        case wire::ControlRecord::kConfiguration: {
            change_set set;
            set.operation = operation_id{in.configuration().operation()};
            set.base_version = in.configuration().base_version();
            set.check_base_version = in.configuration().guarded();
            for (const wire::Change& item : in.configuration().changes()) {
                result<configuration_change> change = decode_change(item);
                if (!change) {
                    return change.error();
                }
                set.changes.push_back(std::move(change.value()));
            }
            return control_record_kind(std::move(set));
        }
        default:
            return failed(error_code::damaged,
                          "A record of a kind that this version does not know.");
    }
}

void encode_fence(const fence_state& fence, wire::SnapshotFence& out) {
    out.set_incarnation(raw(fence.fenced));
    out.set_offset(raw(fence.offset));
    for (const incarnation_id id : fence.pending_acks) {
        out.add_awaited(raw(id));
    }
    for (const incarnation_id id : fence.acked_by) {
        out.add_marked_by(raw(id));
    }
    for (const charge& item : fence.charges) {
        encode_charge(item, incarnation_id{}, *out.add_charges());
    }
}

fence_state decode_fence(const wire::SnapshotFence& in) {
    fence_state fence;
    fence.fenced = incarnation_id{in.incarnation()};
    fence.offset = log_offset{in.offset()};
    for (const std::uint64_t id : in.awaited()) {
        fence.pending_acks.insert(incarnation_id{id});
    }
    for (const std::uint64_t id : in.marked_by()) {
        fence.acked_by.insert(incarnation_id{id});
    }
    for (const wire::Charge& item : in.charges()) {
        fence.charges.push_back(decode_charge(item, incarnation_id{}));
    }
    return fence;
}

}  // namespace

std::string encode_control_record(const control_record& record) {
    wire::ControlRecord out;
    out.set_format(control_format);
    out.set_writer(raw(record.writer));
    out.set_sequence(record.sequence);
    std::visit(record_encoder{out}, record.kind);
    return out.SerializeAsString();
}

std::string encode_control_chunk(const snapshot_chunk& chunk) {
    wire::ControlRecord out;
    out.set_format(control_format);
    wire::SnapshotChunk& target = *out.mutable_snapshot_chunk();
    target.set_snapshot(chunk.snapshot);
    target.set_index(chunk.index);
    target.set_count(chunk.count);
    target.set_as_of(raw(chunk.as_of));
    target.set_data(chunk.data);
    return out.SerializeAsString();
}

result<control_stream_record> decode_control_record(std::string_view bytes) {
    wire::ControlRecord in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failed(error_code::damaged, "The record is not in the control stream's form.");
    }
    if (in.format() != control_format) {
        return failed(error_code::damaged, "The record has format " + std::to_string(in.format()) +
                                               "; known is " + std::to_string(control_format) +
                                               ".");
    }
    if (in.has_snapshot_chunk()) {
        const wire::SnapshotChunk& chunk = in.snapshot_chunk();
        return control_stream_record(snapshot_chunk{chunk.snapshot(), chunk.index(), chunk.count(),
                                                    log_offset{chunk.as_of()}, chunk.data()});
    }
    if (in.writer() == 0 || in.sequence() == 0) {
        return failed(error_code::damaged, "The record names no writer or no sequence number.");
    }
    result<control_record_kind> kind = decode_kind(in);
    if (!kind) {
        return kind.error();
    }
    return control_stream_record(
        control_record{incarnation_id{in.writer()}, in.sequence(), std::move(kind.value())});
}

std::string encode_control_snapshot(const control_state& state, log_offset as_of) {
    const control_state::snapshot image = state.to_snapshot();
    wire::ControlSnapshot out;
    out.set_as_of(raw(as_of));
    out.set_version(image.config.version());
    for (const auto& [name, account] : image.config.client_accounts()) {
        encode_account(account, *out.add_client_accounts());
    }
    for (const auto& [name, value] : image.config.services()) {
        encode_service(value, *out.add_services());
    }
    for (const std::string& host : image.config.drained_hosts()) {
        out.add_drained_hosts(host);
    }
    for (const auto& [id, known] : image.members) {
        wire::SnapshotMember& target = *out.add_members();
        target.set_incarnation(raw(id));
        encode_registration(known.info, *target.mutable_registration());
        target.set_registered_at(raw(known.registered_at));
        target.set_closed(known.closed);
        target.set_fenced_at(raw(known.fenced_at));
    }
    for (const auto& [id, sequence] : image.sequences) {
        wire::SnapshotSequence& target = *out.add_sequences();
        target.set_writer(raw(id));
        target.set_sequence(sequence);
    }
    for (const auto& [id, fence] : image.fences) {
        encode_fence(fence, *out.add_fences());
    }
    for (const operation_id id : image.operation_order) {
        wire::SnapshotOperation& target = *out.add_operations();
        target.set_operation(raw(id));
        target.set_outcome(static_cast<std::uint32_t>(image.operations.at(id)));
    }
    out.set_last_guard_fence(raw(image.last_guard_fence));
    return out.SerializeAsString();
}

result<control_state> decode_control_snapshot(std::string_view bytes) {
    wire::ControlSnapshot in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failed(error_code::damaged, "The snapshot is not in the control stream's form.");
    }
    control_state::snapshot image;
    std::vector<client_account> accounts;
    for (const wire::ClientAccount& item : in.client_accounts()) {
        accounts.push_back(decode_account(item));
    }
    std::vector<service> services;
    for (const wire::Service& item : in.services()) {
        services.push_back(decode_service(item));
    }
    std::vector<std::string> drained(in.drained_hosts().begin(), in.drained_hosts().end());
    image.config.restore(in.version(), std::move(accounts), std::move(services),
                         std::move(drained));
    for (const wire::SnapshotMember& item : in.members()) {
        const incarnation_id id{item.incarnation()};
        image.members[id] =
            member{id, decode_registration(item.registration()), log_offset{item.registered_at()},
                   item.closed(), log_offset{item.fenced_at()}};
    }
    for (const wire::SnapshotSequence& item : in.sequences()) {
        image.sequences[incarnation_id{item.writer()}] = item.sequence();
    }
    for (const wire::SnapshotFence& item : in.fences()) {
        image.fences[incarnation_id{item.incarnation()}] = decode_fence(item);
    }
    for (const wire::SnapshotOperation& item : in.operations()) {
        const operation_id id{item.operation()};
        image.operation_order.push_back(id);
        image.operations[id] = static_cast<change_outcome>(item.outcome());
    }
    image.last_guard_fence = log_offset{in.last_guard_fence()};
    control_state state;
    state.restore(std::move(image));
    return state;
}

}  // namespace wrenswitch
