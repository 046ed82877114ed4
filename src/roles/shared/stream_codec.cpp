#include "roles/shared/stream_codec.hpp"

#include <streams.pb.h>

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// Two versions are as good as any larger number: the origin of the stream is then unknown.
constexpr std::size_t max_sent_versions = 2;

}  // namespace

wire::StreamRecord encode_stream_record(instant now, const stream_record& record) {
    wire::StreamRecord message;
    message.set_request(record.request);
    message.set_service(record.service);
    message.set_version(record.version);
    message.set_account(record.account);
    message.set_attempt(record.attempt);
    const auto remaining = std::chrono::duration_cast<milliseconds>(record.expires - now).count();
    message.set_remaining_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, remaining)));
    return message;
}

stream_record decode_stream_record(instant now, const wire::StreamRecord& message) {
    constexpr std::uint64_t max_ms =
        std::chrono::duration_cast<milliseconds>(stream_record::max_life).count();
    stream_record record;
    record.request = message.request();
    record.service = message.service();
    record.version = message.version();
    record.account = message.account();
    record.attempt = message.attempt();
    record.expires = now + milliseconds(std::min(max_ms, message.remaining_ms()));
    return record;
}

std::size_t accept_stream_records(
    instant now, const wire::StreamRecords& message,
    const std::function<stream_record_table::outcome(stream_record)>& keep) {
    if (message.records_size() > max_records_per_message) {
        log_event(log_level::error, "stream_records_refused",
                  {{"records", std::to_string(message.records_size())}});
        return 1;
    }
    std::size_t refused = 0;
    for (const wire::StreamRecord& each : message.records()) {
        const auto outcome = keep(decode_stream_record(now, each));
        refused += outcome == stream_record_table::outcome::invalid ? 1 : 0;
    }
    return refused;
}

wire::StreamQuestion encode_stream_question(std::uint64_t number, const stream_question& asked) {
    wire::StreamQuestion message;
    message.set_number(number);
    message.set_request(asked.request);
    message.set_account(asked.account);
    message.set_service(asked.service);
    message.set_window_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(asked.max_age).count()));
    return message;
}

std::optional<stream_question> decode_stream_question(const wire::StreamQuestion& message) {
    if (message.request().size() > stream_record::max_request_bytes ||
        message.service().size() > stream_record::max_name_bytes) {
        return std::nullopt;
    }
    constexpr std::uint64_t max_window_ms =
        std::chrono::duration_cast<milliseconds>(stream_versions_kept_for).count();
    const milliseconds window(std::min(message.window_ms(), max_window_ms + 1));
    return stream_question{message.request(), message.account(), message.service(), window};
}

wire::StreamAnswer encode_stream_answer(instant now, const stream_knowledge& known) {
    wire::StreamAnswer message;
    message.set_host(known.host);
    if (known.record) {
        *message.mutable_record() = encode_stream_record(now, *known.record);
        return message;
    }
    for (const std::string& version : known.versions) {
        if (static_cast<std::size_t>(message.versions_size()) < max_sent_versions) {
            message.add_versions(version);
        }
    }
    message.set_versions_complete(known.versions_complete);
    return message;
}

stream_knowledge decode_stream_answer(instant now, const wire::StreamAnswer& message) {
    stream_knowledge known;
    known.host = message.host();
    if (message.has_record()) {
        stream_record record = decode_stream_record(now, message.record());
        if (is_valid(record)) {
            known.record = std::move(record);
        }
        return known;
    }
    for (const std::string& version : message.versions()) {
        if (known.versions.size() < max_sent_versions) {
            known.versions.insert(version);
        }
    }
    known.versions_complete = message.versions_complete();
    return known;
}

}  // namespace wrenswitch
