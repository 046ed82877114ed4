#pragma once

#include <cstdint>
#include <string>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/core/process_limits.hpp"
#include "wrenswitch/core/settings_reader.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// The settings that entries and guards have in common.
struct process_settings {
    std::string host;
    std::string region;
    std::string failure_domain;
    http_address log;
    message_bus_settings bus;
    /// The number of ledger streams. Must be the same in all processes of a deployment and must
    /// never change.
    std::uint32_t ledger_shards = 8;
    /// The number of records after which a snapshot of a stream is written.
    std::uint64_t snapshot_records = 5000;
    /// The number of events that the timeline retains.
    std::uint64_t timeline_events = 20'000;
    /// How long a graceful shutdown waits for running requests.
    microseconds max_drain = seconds(120);
    process_limits limits;
};

/// Parses the common settings. Every invalid one is added to `problems`.
process_settings read_process_settings(settings_reader& reader, findings& problems);

/// Parses what the process may use of its host.
process_limits read_process_limits(settings_reader& reader);

/// The largest message that a process takes from another one.
std::size_t max_message_bytes(const process_limits& limits);

/// Parses a required address. Adds a finding and returns an empty address if it is missing or
/// malformed.
http_address read_address(settings_reader& reader, std::string_view name, findings& problems);

}  // namespace wrenswitch
