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

/// Entries start together and then all write; those that lose a race wait up to this long.
constexpr microseconds longest_race_wait = milliseconds(60);

}  // namespace

keyed_record encode_member(const ledger_member& member) {
    wire::Member value;
    value.set_process(raw(member.process));
    value.set_endpoint(member.endpoint);
    value.set_capacity(member.capacity);
    value.set_failure_domain(member.failure_domain);
    value.set_region(member.region);
    value.set_store_call_us(static_cast<std::uint32_t>(member.store_call.count()));
    return {member.host, value.SerializeAsString(), 0};
}

std::optional<ledger_member> decode_member(const keyed_record& record) {
    wire::Member value;
    const bool good = record.value && value.ParseFromString(*record.value) &&
                      !value.endpoint().empty() && value.capacity() >= 0.0;
    if (!good) {
        return std::nullopt;
    }
    return ledger_member{record.key,
                         incarnation_id{value.process()},
                         value.endpoint(),
                         value.capacity(),
                         value.failure_domain(),
                         value.region(),
                         microseconds(value.store_call_us())};
}

member_directory::member_directory(event_loop& loop, keyed_log& log, std::string name,
                                   ledger_member own, member_directory_hooks hooks,
                                   bool times_store)
    : loop_(loop),
      log_(log),
      name_(std::move(name)),
      own_(std::move(own)),
      hooks_(std::move(hooks)),
      times_store_(times_store),
      follower_(
          loop, log, {.log = name_, .hold = read_hold},
          {[this](const keyed_record& record) { on_changed(record); }, [this] { write_if_due(); },
           [this](bool reachable) { hooks_.reachable(reachable); }}) {}

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

void member_directory::write_if_due() {
    if (appending_ || !follower_.live() || !is_due()) {
        return;
    }
    if (times_store_ && !leaving_) {
        time_store();
        return;
    }
    keyed_record record = encode_member(own_);
    if (leaving_) {
        record.value.reset();
    }
    const std::vector<keyed_record> records{std::move(record)};
    const std::uint64_t at = follower_.position();
    appending_ = true;
    log_.append(name_, at, records,
                [this, records, at, alive = alive_](const result<std::uint64_t>& end) {
                    if (*alive) {
                        on_appended(records, at, end);
                    }
                });
}

/// Times one call before the record is written. A call that fails tells nothing.
void member_directory::time_store() {
    appending_ = true;
    times_store_ = false;
    log_.read(name_, follower_.position(), microseconds(0),
              [this, begun = monotonic_now(), alive = alive_](const result<keyed_page>& page) {
                  if (!*alive) {
                      return;
                  }
                  if (page) {
                      own_.store_call = std::max(monotonic_now() - begun, microseconds(1));
                  }
                  appending_ = false;
                  write_if_due();
              });
}

void member_directory::on_appended(const std::vector<keyed_record>& records, std::uint64_t at,
                                   const result<std::uint64_t>& end) {
    appending_ = false;
    if (end) {
        follower_.appended(at, records);
        return;
    }
    // Whether it lost a race or got no answer, the log tells.
    look_later();
}

void member_directory::look_later() {
    const auto longest = static_cast<std::uint64_t>(longest_race_wait.count());
    const microseconds wait(static_cast<std::int64_t>(random_.below(longest + 1)));
    loop_.call_after(wait, [this, alive = alive_] {
        if (*alive) {
            follower_.look_now();
        }
    });
}

void member_directory::leave() {
    leaving_ = true;
    write_if_due();
}

}  // namespace wrenswitch
