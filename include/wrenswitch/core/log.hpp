#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace wrenswitch {

/// One named value of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

/// How much a line matters to an operator.
enum class log_level { information, warning, error };

/// Sets up logging to standard output for this process, one line of name=value pairs an event.
void start_logging(std::string_view process_name);

/// Writes one line. Meant for changes of state only: what happens on every request is counted.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

}  // namespace wrenswitch
