#include "wrenswitch/drivers/member_directory.hpp"

#include <tokens.pb.h>

#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// Members change rarely, so reads are held open for long.
constexpr microseconds read_hold = seconds(5);

}  // namespace

keyed_record encode_member(const ledger_member& member) {
    wire::Member value;
    value.set_process(raw(member.process));
    value.set_endpoint(member.endpoint);
    value.set_capacity(member.capacity);
    value.set_failure_domain(member.failure_domain);
    value.set_region(member.region);
    return {member.host, value.SerializeAsString(), 0};
}

std::optional<ledger_member> decode_member(const keyed_record& record) {
    wire::Member value;
    const bool good = record.value && value.ParseFromString(*record.value) &&
                      !value.endpoint().empty() && value.capacity() >= 0.0;
    if (!good) {
        return std::nullopt;
    }
    return ledger_member{record.key,       incarnation_id{value.process()}, value.endpoint(),
                         value.capacity(), value.failure_domain(),          value.region()};
}

member_directory::member_directory(event_loop& loop, keyed_log& log, std::string name,
                                   ledger_member own, member_directory_hooks hooks)
    : own_(std::move(own)),
      hooks_(std::move(hooks)),
      follower_(loop, log, {.log = name, .hold = read_hold},
                {[this](const keyed_record& record) { on_changed(record); },
                 [this] { appender_.caught_up(); },
                 [this](bool reachable) { hooks_.reachable(reachable); }}),
      appender_(loop, log, std::move(name), follower_, {[this] { return due_records(); }, {}}) {}

void member_directory::on_changed(const keyed_record& record) {
    const bool is_own = record.key == own_.host;
    if (!record.value) {
        if (is_own) {
            written_.reset();
        }
        hooks_.left(record.key);
        return;
    }
    const std::optional<ledger_member> member = decode_member(record);
    if (!member) {
        log_event(log_level::error, "member_record_damaged",
                  {{"key", record.key}, {"offset", std::to_string(record.offset)}});
        return;
    }
    if (is_own) {
        written_ = member;
    }
    hooks_.joined(*member);
}

bool member_directory::is_due() const {
    return leaving_ ? written_.has_value() : written_ != own_;
}

std::vector<keyed_record> member_directory::due_records() const {
    if (!is_due()) {
        return {};
    }
    keyed_record record = encode_member(own_);
    if (leaving_) {
        record.value.reset();
    }
    return {std::move(record)};
}

void member_directory::leave() {
    leaving_ = true;
    appender_.append_if_due();
}

}  // namespace wrenswitch
