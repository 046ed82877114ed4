#include "wrenswitch/drivers/conditional_appender.hpp"

#include <utility>

namespace wrenswitch {

conditional_appender::conditional_appender(event_loop& loop, keyed_log& log, std::string name,
                                           keyed_follower& follower,
                                           conditional_appender_hooks hooks)
    : loop_(loop),
      log_(log),
      name_(std::move(name)),
      follower_(follower),
      hooks_(std::move(hooks)) {}

conditional_appender::~conditional_appender() {
    *alive_ = false;
}

void conditional_appender::caught_up() {
    looking_ = false;
    append_if_due();
}

void conditional_appender::append_if_due() {
    if (appending_ || looking_ || !follower_.live()) {
        return;
    }
    const std::vector<keyed_record> records = hooks_.compose();
    if (records.empty()) {
        return;
    }
    const std::uint64_t at = follower_.position();
    appending_ = true;
    log_.append(name_, at, records,
                [this, records, at, alive = alive_](const result<std::uint64_t>& end) {
                    if (*alive) {
                        on_appended(records, at, end);
                    }
                });
}

void conditional_appender::on_appended(const std::vector<keyed_record>& records, std::uint64_t at,
                                       const result<std::uint64_t>& end) {
    appending_ = false;
    if (end) {
        backoff_.reset();
        follower_.appended(at, records);
        append_if_due();
        return;
    }
    if (hooks_.failed) {
        hooks_.failed(end.error());
    }
    look_later();
}

void conditional_appender::look_later() {
    looking_ = true;
    loop_.call_after(backoff_.next_wait(), [this, alive = alive_] {
        if (*alive) {
            follower_.look_now();
        }
    });
}

}  // namespace wrenswitch
