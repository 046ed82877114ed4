#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace wrenswitch {

/// One named value of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

/// The same, for a line that is kept before it is written.
struct owned_log_field {
    std::string name;
    std::string value;
};

/// How much a line matters to an operator.
enum class log_level { information, warning, error };

/// Sets up logging to standard output for this process, one line of name=value pairs an event.
/// Writing never waits for the reader: what it doesn't take is kept up to a bound, and then
/// dropped, counted, and said once there is room.
void start_logging(std::string_view process_name);

/// Lines that were dropped so far because nobody read them.
std::uint64_t dropped_log_lines();

/// Writes what is kept, as far as the reader takes it. Called by each line and, so that the last
/// lines don't wait for the next, now and then by a process's timer.
void flush_log();

/// Writes one line. Meant for changes of state only: what happens on every request is counted.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);
void log_event(log_level level, std::string_view event, std::span<const log_field> fields);

}  // namespace wrenswitch
