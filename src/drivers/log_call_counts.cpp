#include "wrenswitch/drivers/log_call_counts.hpp"

#include <string_view>

namespace wrenswitch {
namespace {

std::string_view name_of(keyed_log_operation operation) {
    switch (operation) {
        case keyed_log_operation::newest:
            return "newest";
        case keyed_log_operation::read:
            return "read";
        case keyed_log_operation::append:
            return "append";
    }
    return "unnamed";
}

}  // namespace

void count_call(metrics& counters, const keyed_log_call& call) {
    const std::string_view operation = name_of(call.operation);
    const std::string_view outcome = call.succeeded ? "done" : "failed";
    counters.counter(
        labelled("store_calls_total",
                 {{"log", call.log}, {"operation", operation}, {"outcome", outcome}})) += 1;
    counters.counter(labelled("store_reply_bytes_total",
                              {{"log", call.log}, {"operation", operation}})) += call.reply_bytes;
}

}  // namespace wrenswitch
