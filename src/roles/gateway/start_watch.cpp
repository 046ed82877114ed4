#include "roles/gateway/start_watch.hpp"

#include <string>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How long a start takes at most when the store can be reached.
constexpr microseconds expected_start_time = seconds(3);

constexpr microseconds warning_period = seconds(10);

std::string joined(std::span<const std::string_view> names) {
    std::string text;
    for (const std::string_view name : names) {
        text.append(text.empty() ? "" : ",").append(name);
    }
    return text;
}

}  // namespace

void start_watch::update(instant now, std::span<const std::string_view> missing) {
    if (is_ready_) {
        return;
    }
    if (started_ == instant{}) {
        started_ = now;
        next_warning_ = now + expected_start_time;
    }
    if (missing.empty()) {
        is_ready_ = true;
        log_event(log_level::information, "gateway_ready",
                  {{"after_ms", millis_text(now - started_)}});
        return;
    }
    if (now >= next_warning_) {
        next_warning_ = now + warning_period;
        log_event(log_level::warning, "gateway_not_ready",
                  {{"missing", joined(missing)}, {"after_ms", millis_text(now - started_)}});
    }
}

}  // namespace wrenswitch
