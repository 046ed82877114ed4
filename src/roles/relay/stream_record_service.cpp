#include "roles/relay/stream_record_service.hpp"

#include <bus.pb.h>

#include <utility>

#include "roles/shared/stream_codec.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// A record takes about 300 bytes here, so this bounds the memory to about 5 MB.
constexpr std::size_t max_records = 16384;

/// How often expired records are removed.
constexpr microseconds tick_period = seconds(1);

}  // namespace

stream_record_service::stream_record_service(event_loop& loop, message_bus& bus, std::string host)
    : bus_(bus),
      host_(std::move(host)),
      table_(max_records),
      versions_(stream_versions_kept_for),
      ticker_(loop.call_every(tick_period, [this] { tick(); })) {}

bool stream_record_service::on_message(const message_origin& origin,
                                       const wire::Envelope& message) {
    if (message.has_stream_records()) {
        take_records(message);
    } else if (message.has_stream_question()) {
        answer(origin, message);
    } else {
        return false;
    }
    return true;
}

void stream_record_service::take_records(const wire::Envelope& message) {
    const instant now = monotonic_now();
    accept_stream_records(now, message.stream_records(), [this, now](stream_record record) {
        const std::string service = record.service;
        const std::string version = record.version;
        const auto outcome = table_.record(now, std::move(record));
        if (outcome != stream_record_table::outcome::invalid) {
            versions_.note(now, service, version);
        }
        return outcome;
    });
}

void stream_record_service::answer(const message_origin& origin, const wire::Envelope& message) {
    const instant now = monotonic_now();
    const std::optional<stream_question> asked = decode_stream_question(message.stream_question());
    if (!asked) {
        return;
    }
    stream_knowledge known;
    known.host = host_;
    if (const stream_record* record = table_.find(now, asked->request, asked->account)) {
        known.record = *record;
    } else {
        known.versions = versions_.within(now, asked->service, asked->max_age);
    }
    wire::Envelope reply;
    *reply.mutable_stream_answer() = encode_stream_answer(now, known);
    reply.mutable_stream_answer()->set_number(message.stream_question().number());
    bus_.answer(origin, reply);
}

void stream_record_service::tick() {
    const instant now = monotonic_now();
    table_.remove_expired(now);
    versions_.remove_old(now);
}

}  // namespace wrenswitch
