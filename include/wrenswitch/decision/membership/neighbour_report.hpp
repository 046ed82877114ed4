#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/decision/ingress/account_usage.hpp"

namespace wrenswitch {

/// Whether an entry accepts callers. The values are those of the message.
enum class entry_state : std::uint8_t {
    unknown = 0,
    accepting = 1,
    /// It accepts callers and will step back soon.
    announced = 2,
    stepped_back = 3,
    /// It starts, drains or is not ready for another reason.
    closed = 4,
};

std::string_view name_of(entry_state state);

/// What an entry reports to the others of its failure domain.
struct neighbour_report {
    static constexpr std::uint32_t current_version = 1;
    static constexpr std::size_t max_accounts = 4;

    std::uint32_t version = current_version;
    std::string host;
    incarnation_id process{};
    /// Increases with each report of a process.
    std::uint64_t number = 0;
    /// The capacity of the link in each direction in bytes per second; zero if unknown.
    double bandwidth = 0.0;
    double received_per_second = 0.0;
    double sent_per_second = 0.0;
    entry_state state = entry_state::unknown;
    /// The accounts for which the entry steps back and their demand when it was announced, in
    /// descending order. Empty unless it has announced a step back or has stepped back.
    std::vector<account_demand> step_back;
    std::uint64_t connections = 0;
    /// The accounts with the most bytes per second that it serves.
    std::vector<account_demand> accounts;
    /// Requests a report in return.
    bool asks = false;

    /// The load of the link in the busier direction.
    double carried() const;

    /// The bytes per second of an account at that entry; zero if it isn't named.
    double rate_of(std::string_view account) const;
};

/// Why a report must not be used; empty if it is valid.
std::string_view find_fault(const neighbour_report& report);

}  // namespace wrenswitch
