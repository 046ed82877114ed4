#pragma once

#include <initializer_list>
#include <string_view>

#include "roles/gateway/request_trace.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Writes log events that may occur with every request, up to a limit per second. The suppressed
/// events are counted, and their number is logged. Served requests, failed requests, routine events
/// and changes of lists have separate limits, so that none can suppress the others.
class rate_limited_log {
public:
    /// The counters must outlive the log.
    rate_limited_log(unsigned max_lines_per_second, metrics& counters)
        : max_lines_per_second_(max_lines_per_second), counters_(counters) {}

    /// Writes the trace of a request.
    void log_request(const request_trace& trace, bool failed);

    /// Writes the trace of a request that was refused on its head. One account can cause hundreds
    /// of them a second, which must not suppress the failed requests of others.
    void log_head_refusal(const request_trace& trace);

    /// Writes an event of the process itself that is as frequent as requests are.
    void log_routine(std::string_view event, std::initializer_list<log_field> fields);

    /// Writes a change of the list of targets or members. A process that starts reads whole lists,
    /// and writing a line for each entry would delay its first requests.
    void log_list_change(std::string_view event, std::initializer_list<log_field> fields);

private:
    /// The number of events that were written and suppressed in the current second.
    struct line_quota {
        unsigned written = 0;
        unsigned suppressed = 0;
    };

    bool try_acquire(line_quota& quota, unsigned max_lines);

    unsigned max_lines_per_second_;
    metrics& counters_;
    instant second_start_{};
    line_quota served_;
    line_quota failed_;
    line_quota routine_;
    line_quota list_changes_;
    line_quota head_refusals_;
};

}  // namespace wrenswitch
