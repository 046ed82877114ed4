#include "wrenswitch/drivers/member_directory.hpp"

#include <tokens.pb.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// Members change rarely, so reads are held open for long.
constexpr microseconds read_hold = seconds(5);

}  // namespace

keyed_record encode_member(const cluster_member& member) {
    wire::Member value;
    value.set_process(raw(member.process));
    value.set_endpoint(member.endpoint);
    value.set_capacity(member.capacity);
    value.set_failure_domain(member.failure_domain);
    value.set_region(member.region);
    value.set_store_call_us(static_cast<std::uint32_t>(member.store_latency.count()));
    return {member.host, value.SerializeAsString(), 0};
}

std::optional<cluster_member> decode_member(const keyed_record& record) {
    wire::Member value;
    const bool good = record.value && value.ParseFromString(*record.value) &&
                      !value.endpoint().empty() && value.capacity() >= 0.0;
    if (!good) {
        return std::nullopt;
    }
    return cluster_member{record.key,
                          incarnation_id{value.process()},
                          value.endpoint(),
                          value.capacity(),
                          value.failure_domain(),
                          value.region(),
                          microseconds(value.store_call_us())};
}

member_directory::member_directory(event_loop& loop, keyed_log& log, std::string name,
                                   cluster_member own, member_directory_hooks hooks,
                                   bool times_store)
    : log_(log),
      name_(std::move(name)),
      own_(std::move(own)),
      hooks_(std::move(hooks)),
      times_store_(times_store),
      follower_(loop, log, {.log = name_, .hold = read_hold},
                {[this](const keyed_record& record) { on_changed(record); },
                 [this] {
                     if (times_store_ && !leaving_) {
                         time_store();
                     } else {
                         appender_.caught_up();
                     }
                 },
                 [this](bool reachable) { hooks_.reachable(reachable); },
                 [this](std::span<const std::string> keys) { on_restored(keys); }}),
      appender_(loop, log, name_, follower_, {[this] { return due_records(); }, {}}) {}

member_directory::~member_directory() {
    *alive_ = false;
}

void member_directory::on_changed(const keyed_record& record) {
    const bool is_own = record.key == own_.host;
    if (!record.value) {
        if (is_own) {
            written_.reset();
        }
        hooks_.left(record.key);
        return;
    }
    const std::optional<cluster_member> member = decode_member(record);
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

/// Rewrites this process's own record if it was lost; other processes rewrite theirs.
void member_directory::on_restored(std::span<const std::string> lost) {
    if (std::find(lost.begin(), lost.end(), own_.host) != lost.end()) {
        written_.reset();
    }
}

bool member_directory::is_due() const {
    return leaving_ ? written_.has_value() : written_ != own_;
}

std::vector<keyed_record> member_directory::due_records() const {
    if (!is_due() || timing_) {
        return {};
    }
    keyed_record record = encode_member(own_);
    if (leaving_) {
        record.value.reset();
    }
    return {std::move(record)};
}

/// Times one call before the record is written. A call that fails tells nothing.
void member_directory::time_store() {
    if (std::exchange(timing_, true)) {
        return;
    }
    log_.read(name_, follower_.position(), microseconds(0),
              [this, begun = monotonic_now(), alive = alive_](const result<keyed_page>& page) {
                  if (!*alive) {
                      return;
                  }
                  if (page) {
                      own_.store_latency = std::max(monotonic_now() - begun, microseconds(1));
                  }
                  times_store_ = false;
                  timing_ = false;
                  appender_.append_if_due();
              });
}

void member_directory::leave() {
    leaving_ = true;
    appender_.append_if_due();
}

}  // namespace wrenswitch
