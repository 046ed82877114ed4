#pragma once

#include <initializer_list>
#include <string_view>

#include "roles/gateway/request_trace.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Log lines that could come with every request, bounded in number: what was left out is counted
/// and said. Served and failed requests have a bound each, so that neither can hide the other.
class event_log {
public:
    /// The counters must outlive the log.
    event_log(unsigned requests_per_second, metrics& counters)
        : requests_per_second_(requests_per_second), counters_(counters) {}

    /// Tells all that was decided for a request.
    void tell(const request_trace& trace, bool failed);

    /// A step of the process's own that is as frequent as requests are.
    void routine(std::string_view event, std::initializer_list<log_field> fields);

private:
    /// What was written in this second.
    struct allowance {
        unsigned used = 0;
        unsigned left_out = 0;
    };

    bool admit(allowance& told);

    unsigned requests_per_second_;
    metrics& counters_;
    instant second_{};
    allowance served_;
    allowance failed_;
    allowance routine_;
};

}  // namespace wrenswitch
