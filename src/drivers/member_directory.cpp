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

/// After a failed append the log is read within this time, spread over the processes that failed
/// together.
constexpr microseconds max_read_delay = milliseconds(200);

/// More processor cores than any host has. A greater number is damage.
constexpr double max_capacity = 1e6;

}  // namespace

keyed_record encode_member(const cluster_member& member) {
    wire::Member value;
    value.set_process(raw(member.process));
    value.set_endpoint(member.endpoint);
    value.set_capacity(member.capacity);
    value.set_failure_domain(member.failure_domain);
    value.set_region(member.region);
    value.set_store_call_us(static_cast<std::uint32_t>(member.store_latency.count()));
    value.set_shares_reads(member.shares_reads);
    return {member.host, value.SerializeAsString(), 0};
}

std::optional<cluster_member> decode_member(const keyed_record& record) {
    wire::Member value;
    const bool good = record.value && value.ParseFromString(*record.value) &&
                      !value.endpoint().empty() && value.capacity() >= 0.0 &&
                      value.capacity() <= max_capacity;
    if (!good) {
        return std::nullopt;
    }
    return cluster_member{record.key,
                          incarnation_id{value.process()},
                          value.endpoint(),
                          value.capacity(),
                          value.failure_domain(),
                          value.region(),
                          microseconds(value.store_call_us()),
                          value.shares_reads()};
}

member_directory::member_directory(event_loop& loop, keyed_log& log, std::string name,
                                   cluster_member own, member_directory_hooks hooks,
                                   bool times_store)
    : loop_(loop),
      log_(log),
      name_(std::move(name)),
      own_(std::move(own)),
      hooks_(std::move(hooks)),
      times_store_(times_store),
      follower_(
          loop, log, {.log = name_, .hold = read_hold},
          {[this](const keyed_record& record) { on_changed(record); }, [this] { on_caught_up(); },
           [this](bool reachable) { hooks_.reachable(reachable); },
           [this](std::span<const std::string> keys) { on_restored(keys); }}) {}

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

void member_directory::on_caught_up() {
    if (times_store_ && !leaving_) {
        time_store();
        return;
    }
    is_reading_ = false;
    write_if_due();
}

/// Rewrites this process's own record if it was lost; other processes rewrite theirs.
void member_directory::on_restored(std::span<const std::string> lost) {
    written_end_ = 0;
    if (std::find(lost.begin(), lost.end(), own_.host) != lost.end()) {
        written_.reset();
    }
}

bool member_directory::is_due() const {
    return leaving_ ? written_.has_value() : written_ != own_;
}

void member_directory::write_if_due() {
    const bool is_busy = is_writing_ || is_reading_ || timing_;
    const bool has_read_own_write = follower_.live() && follower_.position() >= written_end_;
    if (is_busy || !has_read_own_write || !is_due()) {
        return;
    }
    keyed_record record = encode_member(own_);
    if (leaving_) {
        record.value.reset();
    }
    is_writing_ = true;
    log_.append(name_, std::nullopt, std::span(&record, 1),
                [this, record, alive = alive_](const result<std::uint64_t>& end) {
                    if (*alive) {
                        on_written(record, end);
                    }
                });
}

void member_directory::on_written(const keyed_record& record, const result<std::uint64_t>& end) {
    is_writing_ = false;
    if (!end) {
        // The record may have been appended, which reading the log tells.
        read_later();
        return;
    }
    written_end_ = end.value();
    follower_.appended(end.value() - 1, std::span(&record, 1));
    write_if_due();
}

void member_directory::read_later() {
    is_reading_ = true;
    const auto longest = static_cast<std::uint64_t>(max_read_delay.count());
    const microseconds delay(static_cast<std::int64_t>(random_.below(longest + 1)));
    loop_.call_after(delay, [this, alive = alive_] {
        if (*alive) {
            follower_.look_now();
        }
    });
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
                  write_if_due();
              });
}

void member_directory::leave() {
    leaving_ = true;
    write_if_due();
}

}  // namespace wrenswitch
