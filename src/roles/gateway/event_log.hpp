#pragma once

#include <initializer_list>
#include <string_view>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Log lines about requests, bounded in number: what was dropped is counted and said.
class event_log {
public:
    /// The counters must outlive the log.
    event_log(unsigned lines_per_second, metrics& counters)
        : lines_per_second_(lines_per_second), counters_(counters) {}

    /// A routine step of a request.
    void routine(std::string_view event, std::initializer_list<log_field> fields);

    /// A request that failed, or was refused.
    void failure(std::string_view event, std::initializer_list<log_field> fields);

private:
    /// Lines left in this second.
    struct allowance {
        unsigned used = 0;
        unsigned dropped = 0;
    };

    bool admit(allowance& lines);

    unsigned lines_per_second_;
    metrics& counters_;
    instant second_{};
    allowance routine_;
    allowance failure_;
};

}  // namespace wrenswitch
