#include "roles/shared/process_settings.hpp"

namespace wrenswitch {
namespace {

constexpr std::int64_t max_shards = 4096;
constexpr std::int64_t max_snapshot_records = 10'000'000;
constexpr std::int64_t max_timeline_events = 10'000'000;
constexpr std::int64_t max_drain_ms = 86'400'000;
constexpr std::size_t curve_key_length = 40;
constexpr std::int64_t bytes_per_mb = 1'000'000;
constexpr std::int64_t min_memory_mb = 32;
constexpr std::int64_t max_memory_mb = 1'000'000;
constexpr std::int64_t min_descriptors = 128;
constexpr std::int64_t max_descriptors = 10'000'000;

std::string read_curve_key(settings_reader& reader, std::string_view name, findings& problems) {
    std::string key = reader.text_or(name, "");
    if (!key.empty() && key.size() != curve_key_length) {
        problems.add("/" + std::string(name), std::to_string(key.size()) + " characters",
                     "a CURVE key of 40 characters, Z85 encoded");
    }
    return key;
}

}  // namespace

http_address read_address(settings_reader& reader, std::string_view name, findings& problems) {
    const std::string text = reader.text(name);
    if (text.empty()) {
        return {};
    }
    result<http_address> address = http_address::parse(text);
    if (!address) {
        problems.add("/" + std::string(name), text,
                     "an address and a port, such as 127.0.0.1:9000");
        return {};
    }
    return address.value();
}

process_limits read_process_limits(settings_reader& reader) {
    const process_limits usual;
    const auto usual_mb = static_cast<std::int64_t>(usual.memory_bytes) / bytes_per_mb;
    const auto usual_descriptors = static_cast<std::int64_t>(usual.descriptors);
    process_limits limits;
    limits.memory_bytes = static_cast<std::size_t>(
        bytes_per_mb * reader.integer_or("memory_mb", usual_mb, min_memory_mb, max_memory_mb));
    limits.descriptors = static_cast<std::size_t>(
        reader.integer_or("most_descriptors", usual_descriptors, min_descriptors, max_descriptors));
    return limits;
}

std::size_t max_message_bytes(const process_limits& limits) {
    constexpr std::size_t message_divisor = 4;
    return limits.memory_bytes / message_divisor;
}

process_settings read_process_settings(settings_reader& reader, findings& problems) {
    process_settings settings;
    settings.host = reader.text("host");
    settings.region = reader.text("region");
    settings.failure_domain = reader.text("failure_domain");
    settings.log = read_address(reader, "log", problems);
    settings.bus.endpoint = reader.text_or("bus_endpoint", "tcp://127.0.0.1:0");
    settings.bus.curve_public_key = read_curve_key(reader, "curve_public_key", problems);
    settings.bus.curve_secret_key = read_curve_key(reader, "curve_secret_key", problems);
    if (settings.bus.curve_public_key.empty() != settings.bus.curve_secret_key.empty()) {
        problems.add("/curve_public_key", "only one of the two keys", "both curve keys or neither");
    }
    settings.ledger_shards = static_cast<std::uint32_t>(
        reader.integer_or("ledger_shards", settings.ledger_shards, 1, max_shards));
    settings.snapshot_records = static_cast<std::uint64_t>(
        reader.integer_or("snapshot_records", static_cast<std::int64_t>(settings.snapshot_records),
                          10, max_snapshot_records));
    settings.timeline_events = static_cast<std::uint64_t>(
        reader.integer_or("timeline_events", static_cast<std::int64_t>(settings.timeline_events), 1,
                          max_timeline_events));
    settings.max_drain =
        milliseconds(reader.integer_or("longest_drain_ms", 120'000, 0, max_drain_ms));
    settings.limits = read_process_limits(reader);
    settings.bus.max_message_bytes = max_message_bytes(settings.limits);
    return settings;
}

}  // namespace wrenswitch
