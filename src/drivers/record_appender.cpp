#include "wrenswitch/drivers/record_appender.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

constexpr microseconds first_backoff = milliseconds(50);
constexpr microseconds longest_backoff = seconds(2);
constexpr microseconds healthy_round_trip = milliseconds(1500);

}  // namespace

record_appender::record_appender(event_loop& loop, log_service& log, std::string stream)
    : loop_(loop), log_(log), stream_(std::move(stream)) {}

record_appender::~record_appender() {
    *alive_ = false;
}

void record_appender::submit(std::string data) {
    data_ = std::move(data);
    busy_ = true;
    ++number_;
    submitted_ = monotonic_now();
    backoff_ = first_backoff;
    append();
}

void record_appender::confirm() {
    busy_ = false;
    data_.clear();
}

bool record_appender::slow(instant now) const {
    return busy_ && now - submitted_ > healthy_round_trip;
}

void record_appender::append() {
    log_.append(stream_, data_,
                [this, alive = alive_, number = number_](const result<log_offset>& appended) {
                    const bool concerned = *alive && busy_ && number == number_;
                    if (!concerned || appended) {
                        return;
                    }
                    const microseconds wait = backoff_;
                    backoff_ = std::min(backoff_ * 2, longest_backoff);
                    loop_.call_after(wait, [this, alive, number] {
                        if (*alive && busy_ && number == number_) {
                            append();
                        }
                    });
                });
}

}  // namespace wrenswitch
