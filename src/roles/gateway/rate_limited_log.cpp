#include "roles/gateway/rate_limited_log.hpp"

#include <string>

namespace wrenswitch {

bool rate_limited_log::try_acquire(line_quota& quota) {
    const instant now = monotonic_now();
    if (now - second_start_ >= seconds(1)) {
        second_start_ = now;
        const unsigned suppressed = served_.suppressed + failed_.suppressed + routine_.suppressed;
        served_ = {};
        failed_ = {};
        routine_ = {};
        if (suppressed > 0) {
            log_event(log_level::warning, "events_left_out",
                      {{"count", std::to_string(suppressed)}});
        }
    }
    if (quota.written >= max_lines_per_second_) {
        quota.suppressed += 1;
        counters_.counter("log_events_left_out_total") += 1;
        return false;
    }
    quota.written += 1;
    return true;
}

void rate_limited_log::log_request(const request_trace& trace, bool failed) {
    if (try_acquire(failed ? failed_ : served_)) {
        trace.write();
    }
}

void rate_limited_log::log_routine(std::string_view event,
                                   std::initializer_list<log_field> fields) {
    if (try_acquire(routine_)) {
        log_event(log_level::information, event, fields);
    }
}

}  // namespace wrenswitch
