#pragma once

#include <cstdint>
#include <string>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/core/settings_reader.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// The settings that entries and guards share.
struct process_settings {
    std::string host;
    std::string region;
    std::string failure_domain;
    http_address log;
    message_bus_settings bus;
    /// How many ledger streams there are; the same for the whole fleet, for good.
    std::uint32_t ledger_shards = 8;
    /// A snapshot of a stream is written after this many records.
    std::uint64_t snapshot_records = 5000;
    /// How many events of the time line are kept.
    std::uint64_t timeline_events = 20'000;
    /// How long a planned stop waits for what runs.
    microseconds longest_drain = seconds(120);
};

/// Reads them out of a settings file.
process_settings read_process_settings(settings_reader& reader, findings& problems);

/// Reads an address that must be there.
http_address read_address(settings_reader& reader, std::string_view name, findings& problems);

}  // namespace wrenswitch
