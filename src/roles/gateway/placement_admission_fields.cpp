#include "roles/gateway/placement_admission_fields.hpp"

#include <google/protobuf/unknown_field_set.h>
#include <placement.pb.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace wrenswitch {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::UnknownField;
using google::protobuf::UnknownFieldSet;

/// Priorities range from 0 to 9.
constexpr std::uint64_t lowest_priority = 9;

/// The numbers of the fields in placement.proto. Generated code that predates them keeps them as
/// unknown fields, which have the same encoding. They are therefore accessed by number, which works
/// before and after the code is generated again.
constexpr int account_field = 21;
constexpr int priority_field = 22;
constexpr int last_query_field = 23;
constexpr int admission_field = 21;
constexpr int admission_wait_field = 22;

void set_number(Message& target, int number, std::uint32_t value) {
    const google::protobuf::Reflection& access = *target.GetReflection();
    const FieldDescriptor* known = target.GetDescriptor()->FindFieldByNumber(number);
    if (known == nullptr) {
        access.MutableUnknownFields(&target)->AddVarint(number, value);
    } else if (known->cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        access.SetBool(&target, known, value != 0);
    } else if (known->cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
        access.SetEnumValue(&target, known, static_cast<int>(value));
    } else {
        access.SetUInt32(&target, known, value);
    }
}

/// The last unknown field with this number, which is the one that counts, or null.
const UnknownField* find_unknown(const Message& source, int number, UnknownField::Type type) {
    const UnknownFieldSet& fields = source.GetReflection()->GetUnknownFields(source);
    for (int index = fields.field_count() - 1; index >= 0; --index) {
        const UnknownField& field = fields.field(index);
        if (field.number() == number && field.type() == type) {
            return &field;
        }
    }
    return nullptr;
}

std::optional<std::uint64_t> number_of(const Message& source, int number) {
    const google::protobuf::Reflection& access = *source.GetReflection();
    const FieldDescriptor* known = source.GetDescriptor()->FindFieldByNumber(number);
    if (known == nullptr) {
        const UnknownField* field = find_unknown(source, number, UnknownField::TYPE_VARINT);
        return field == nullptr ? std::nullopt : std::optional<std::uint64_t>(field->varint());
    }
    if (known->has_presence() && !access.HasField(source, known)) {
        return std::nullopt;
    }
    if (known->cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        return access.GetBool(source, known) ? 1 : 0;
    }
    if (known->cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
        return static_cast<std::uint64_t>(access.GetEnumValue(source, known));
    }
    return access.GetUInt32(source, known);
}

void set_text(Message& target, int number, const std::string& value) {
    const google::protobuf::Reflection& access = *target.GetReflection();
    if (const FieldDescriptor* known = target.GetDescriptor()->FindFieldByNumber(number)) {
        access.SetString(&target, known, value);
    } else {
        access.MutableUnknownFields(&target)->AddLengthDelimited(number, value);
    }
}

std::string text_of(const Message& source, int number) {
    const google::protobuf::Reflection& access = *source.GetReflection();
    if (const FieldDescriptor* known = source.GetDescriptor()->FindFieldByNumber(number)) {
        return access.GetString(source, known);
    }
    const UnknownField* field = find_unknown(source, number, UnknownField::TYPE_LENGTH_DELIMITED);
    return field == nullptr ? std::string() : field->length_delimited();
}

}  // namespace

void set_admission_fields(const admission_fields& fields, wire::PlacementAsk& query) {
    set_text(query, account_field, fields.account);
    set_number(query, priority_field, fields.priority);
    if (fields.is_last_query) {
        set_number(query, last_query_field, 1);
    }
}

std::optional<admission_fields> admission_fields_of(const wire::PlacementAsk& query) {
    const std::optional<std::uint64_t> priority = number_of(query, priority_field);
    if (!priority || *priority > lowest_priority) {
        return std::nullopt;
    }
    return admission_fields{text_of(query, account_field), static_cast<unsigned>(*priority),
                            number_of(query, last_query_field).value_or(0) != 0};
}

void set_admission(admission_outcome outcome, microseconds wait, wire::PlacementAnswer& reply) {
    if (outcome == admission_outcome::admit) {
        return;
    }
    set_number(reply, admission_field, outcome == admission_outcome::refuse ? 1 : 2);
    const auto wait_us =
        std::clamp<std::int64_t>(wait.count(), 0, std::numeric_limits<std::uint32_t>::max());
    set_number(reply, admission_wait_field, static_cast<std::uint32_t>(wait_us));
}

std::pair<admission_outcome, microseconds> admission_of(const wire::PlacementAnswer& reply) {
    const std::uint64_t outcome = number_of(reply, admission_field).value_or(0);
    const std::uint64_t wait_us =
        std::min<std::uint64_t>(number_of(reply, admission_wait_field).value_or(0),
                                static_cast<std::uint64_t>(max_admission_wait.count()));
    const microseconds wait(static_cast<std::int64_t>(wait_us));
    if (outcome == 1) {
        return {admission_outcome::refuse, wait};
    }
    if (outcome == 2) {
        return {admission_outcome::hold, wait};
    }
    return {admission_outcome::admit, microseconds(0)};
}

}  // namespace wrenswitch
