#pragma once

#include <cstdint>
#include <type_traits>

namespace wrenswitch {

/// One run of one process. A process that restarts, or that finds itself fenced, takes a new one.
enum class incarnation_id : std::uint64_t {};

/// One budget, derived from its name by budget_id_of().
enum class budget_id : std::uint64_t {};

/// The right to spend one reservation at one guard, issued by a budget's home.
enum class ticket_id : std::uint64_t {};

/// One try of a request at one guard. A retry takes a new one.
enum class attempt_id : std::uint64_t {};

/// One operation that is issued by an operator, so that a repeat of it can be recognised.
enum class operation_id : std::uint64_t {};

/// The position of a record in a stream of the platform's log.
enum class log_offset : std::uint64_t {};

/// The number of a ledger stream.
enum class shard_index : std::uint32_t {};

/// The underlying number of any of the identifiers above.
template <typename Id>
constexpr auto raw(Id id) {
    return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace wrenswitch
