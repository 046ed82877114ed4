#include "wrenswitch/drivers/control_replica.hpp"

#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

std::optional<snapshot_chunk> chunk_in(std::string_view bytes) {
    result<control_stream_record> record = decode_control_record(bytes);
    if (!record) {
        return std::nullopt;
    }
    auto* chunk = std::get_if<snapshot_chunk>(&record.value());
    return chunk == nullptr ? std::nullopt : std::make_optional(std::move(*chunk));
}

}  // namespace

control_replica::control_replica(event_loop& loop, log_service& log, std::uint64_t snapshot_records,
                                 random_source& random, metrics& counters,
                                 control_replica_hooks hooks)
    : log_(log),
      random_(random),
      counters_(counters),
      hooks_(std::move(hooks)),
      appender_(loop, log, std::string(control_stream)),
      schedule_(snapshot_records),
      follower_(loop, log, std::string(control_stream),
                {[this](const snapshot_image& image) { return load(image); },
                 [this](log_offset offset, std::string_view bytes) { apply(offset, bytes); },
                 [](std::string_view bytes) { return chunk_in(bytes); },
                 [this] {
                     last_contact_ = monotonic_now();
                     hooks_.caught_up();
                 },
                 [](bool) {}}) {}

control_replica::~control_replica() = default;

bool control_replica::log_healthy(instant now) const {
    return follower_.log_reachable() && !appender_.slow(now);
}

void control_replica::set_writer(incarnation_id writer) {
    writer_ = writer;
    sequence_ = 0;
    queue_.clear();
    appender_.abandon();
}

void control_replica::submit(control_record_kind kind) {
    queue_.push_back(std::move(kind));
    pump();
}

void control_replica::submit_change(change_set set, change_hook done) {
    awaited_changes_[set.operation] = std::move(done);
    submit(std::move(set));
}

void control_replica::tick(instant now) {
    if (follower_.live() && schedule_.due(now, follower_.position(), random_)) {
        write_snapshot();
    }
}

void control_replica::pump() {
    if (appender_.busy() || queue_.empty()) {
        return;
    }
    const control_record record{writer_, ++sequence_, std::move(queue_.front())};
    queue_.pop_front();
    const std::string bytes = encode_control_record(record);
    counters_.counter("control_appends_total") += 1;
    counters_.counter("control_append_bytes_total") += bytes.size();
    appender_.submit(bytes);
}

void control_replica::apply(log_offset offset, std::string_view bytes) {
    counters_.counter("control_read_bytes_total") += bytes.size();
    result<control_stream_record> decoded = decode_control_record(bytes);
    if (!decoded) {
        counters_.counter("control_damaged_records_total") += 1;
        log_event(log_level::error, "control_record_damaged",
                  {{"offset", std::to_string(raw(offset))}, {"finding", decoded.error().message}});
        return;
    }
    if (const auto* chunk = std::get_if<snapshot_chunk>(&decoded.value())) {
        schedule_.chunk_seen(monotonic_now(), chunk->as_of, chunk->index + 1 == chunk->count);
        return;
    }
    const auto& record = std::get<control_record>(decoded.value());
    const control_effect effect = state_.apply(record, offset);
    const bool own = record.writer == writer_ && record.sequence == sequence_;
    if (own) {
        appender_.confirm();
    }
    hooks_.applied(record, effect, offset);
    if (effect.applied && effect.was_configuration) {
        auto awaited = awaited_changes_.extract(effect.operation);
        if (!awaited.empty()) {
            awaited.mapped()(effect.outcome);
        }
    }
    pump();
}

bool control_replica::load(const snapshot_image& image) {
    result<control_state> loaded = decode_control_snapshot(image.data);
    if (!loaded) {
        log_event(log_level::error, "control_snapshot_damaged",
                  {{"finding", loaded.error().message}});
        return false;
    }
    state_ = std::move(loaded.value());
    if (appender_.busy() && state_.last_sequence_of(writer_) >= sequence_) {
        appender_.confirm();
    }
    hooks_.restored();
    return true;
}

void control_replica::write_snapshot() {
    const std::string image = encode_control_snapshot(state_, follower_.position());
    const auto chunks = cut_snapshot(random_.next_id<std::uint64_t>(), follower_.position(), image);
    counters_.counter("control_snapshots_total") += 1;
    log_event(log_level::information, "snapshot_written",
              {{"stream", std::string(control_stream)},
               {"as_of", std::to_string(raw(follower_.position()))},
               {"bytes", std::to_string(image.size())}});
    for (const snapshot_chunk& chunk : chunks) {
        // A chunk that fails leaves a snapshot that nobody uses; the next one is not far.
        log_.append(control_stream, encode_control_chunk(chunk), [](const result<log_offset>&) {});
    }
}

}  // namespace wrenswitch
