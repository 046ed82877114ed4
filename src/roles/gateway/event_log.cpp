#include "roles/gateway/event_log.hpp"

#include <string>
#include <utility>

namespace wrenswitch {

bool event_log::admit(allowance& lines) {
    const instant now = monotonic_now();
    if (now - second_ >= seconds(1)) {
        second_ = now;
        const unsigned dropped = routine_.dropped + failure_.dropped;
        routine_ = {};
        failure_ = {};
        if (dropped > 0) {
            log_event(log_level::warning, "lines_dropped", {{"lines", std::to_string(dropped)}});
        }
    }
    if (lines.used >= lines_per_second_) {
        lines.dropped += 1;
        counters_.counter("log_lines_dropped_total") += 1;
        return false;
    }
    lines.used += 1;
    return true;
}

void event_log::routine(std::string_view event, std::initializer_list<log_field> fields) {
    if (admit(routine_)) {
        log_event(log_level::information, event, fields);
    }
}

void event_log::failure(std::string_view event, std::initializer_list<log_field> fields) {
    if (admit(failure_)) {
        log_event(log_level::warning, event, fields);
    }
}

}  // namespace wrenswitch
