#include "roles/gateway/event_log.hpp"

#include <string>

namespace wrenswitch {

bool event_log::admit(allowance& told) {
    const instant now = monotonic_now();
    if (now - second_ >= seconds(1)) {
        second_ = now;
        const unsigned left_out = served_.left_out + failed_.left_out + routine_.left_out;
        served_ = {};
        failed_ = {};
        routine_ = {};
        if (left_out > 0) {
            log_event(log_level::warning, "events_left_out", {{"count", std::to_string(left_out)}});
        }
    }
    if (told.used >= requests_per_second_) {
        told.left_out += 1;
        counters_.counter("log_events_left_out_total") += 1;
        return false;
    }
    told.used += 1;
    return true;
}

void event_log::tell(const request_trace& trace, bool failed) {
    if (admit(failed ? failed_ : served_)) {
        trace.tell();
    }
}

void event_log::routine(std::string_view event, std::initializer_list<log_field> fields) {
    if (admit(routine_)) {
        log_event(log_level::information, event, fields);
    }
}

}  // namespace wrenswitch
