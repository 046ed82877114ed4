#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace wrenswitch::ctl {

/// How answers are printed.
enum class output_format { table, json, lines };

/// Prints the answer to a script.
void print_answer(std::ostream& out, const nlohmann::json& answer, output_format format);

/// Prints events of the time line, which must be in order.
void print_timeline(std::ostream& out, const nlohmann::json& events, output_format format);

}  // namespace wrenswitch::ctl
