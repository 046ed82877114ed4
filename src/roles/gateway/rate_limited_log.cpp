#include "roles/gateway/rate_limited_log.hpp"

#include <string>

namespace wrenswitch {
namespace {

/// Changes of lists come in bursts, so that more of them may be written in a second.
constexpr unsigned list_change_factor = 5;

}  // namespace

bool rate_limited_log::try_acquire(line_quota& quota, unsigned max_lines) {
    const instant now = monotonic_now();
    if (now - second_start_ >= seconds(1)) {
        second_start_ = now;
        const unsigned suppressed = served_.suppressed + failed_.suppressed + routine_.suppressed +
                                    list_changes_.suppressed + head_refusals_.suppressed;
        served_ = {};
        failed_ = {};
        routine_ = {};
        list_changes_ = {};
        head_refusals_ = {};
        if (suppressed > 0) {
            log_event(log_level::warning, "events_left_out",
                      {{"count", std::to_string(suppressed)}});
        }
    }
    if (quota.written >= max_lines) {
        quota.suppressed += 1;
        counters_.counter("log_events_left_out_total") += 1;
        return false;
    }
    quota.written += 1;
    return true;
}

void rate_limited_log::log_request(const request_trace& trace, bool failed) {
    if (try_acquire(failed ? failed_ : served_, max_lines_per_second_)) {
        trace.write();
    }
}

void rate_limited_log::log_head_refusal(const request_trace& trace) {
    if (try_acquire(head_refusals_, max_lines_per_second_)) {
        trace.write();
    }
}

void rate_limited_log::log_routine(std::string_view event,
                                   std::initializer_list<log_field> fields) {
    if (try_acquire(routine_, max_lines_per_second_)) {
        log_event(log_level::information, event, fields);
    }
}

void rate_limited_log::log_list_change(std::string_view event,
                                       std::initializer_list<log_field> fields) {
    if (try_acquire(list_changes_, list_change_factor * max_lines_per_second_)) {
        log_event(log_level::information, event, fields);
    }
}

}  // namespace wrenswitch
