#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace wrenswitch::experiment {

/// Measures what one more of each thing costs, for docs/CAPACITY.md: bytes of memory and of
/// records, and microseconds of processor time. Every figure comes from running the code at two
/// sizes.
nlohmann::json measure_slopes(std::uint64_t seed);

}  // namespace wrenswitch::experiment
