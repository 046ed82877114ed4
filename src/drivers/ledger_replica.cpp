#include "wrenswitch/drivers/ledger_replica.hpp"

#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

std::optional<snapshot_chunk> chunk_in(std::string_view bytes) {
    result<ledger_record> record = decode_ledger_record(bytes);
    if (!record) {
        return std::nullopt;
    }
    auto* chunk = std::get_if<snapshot_chunk>(&record.value());
    return chunk == nullptr ? std::nullopt : std::make_optional(std::move(*chunk));
}

}  // namespace

std::string ledger_stream_of(shard_index shard) {
    return "ledger-" + std::to_string(raw(shard));
}

ledger_replica::ledger_replica(event_loop& loop, log_service& log, shard_index shard,
                               std::uint64_t snapshot_records, random_source& random,
                               metrics& counters, ledger_replica_hooks hooks)
    : log_(log),
      stream_(ledger_stream_of(shard)),
      random_(random),
      counters_(counters),
      hooks_(std::move(hooks)),
      appender_(loop, log, stream_),
      schedule_(snapshot_records),
      follower_(loop, log, stream_,
                {[this](const snapshot_image& image) { return load(image); },
                 [this](log_offset offset, std::string_view bytes) { apply(offset, bytes); },
                 [](std::string_view bytes) { return chunk_in(bytes); },
                 [this] { hooks_.caught_up(); }, [](bool) {}}) {}

ledger_replica::~ledger_replica() = default;

bool ledger_replica::log_healthy(instant now) const {
    return follower_.log_reachable() && !appender_.slow(now);
}

void ledger_replica::set_writer(incarnation_id writer) {
    writer_ = writer;
    sequence_ = 0;
    appender_.abandon();
}

void ledger_replica::submit(std::vector<ledger_operation> operations) {
    ledger_batch batch{writer_, ++sequence_, std::move(operations)};
    const std::string bytes = encode_ledger_batch(batch);
    counters_.counter("ledger_appends_total") += 1;
    counters_.counter("ledger_append_bytes_total") += bytes.size();
    appender_.submit(bytes);
}

void ledger_replica::tick(instant now) {
    if (follower_.live() && schedule_.due(now, follower_.position(), random_)) {
        write_snapshot();
    }
}

void ledger_replica::apply(log_offset offset, std::string_view bytes) {
    counters_.counter("ledger_read_bytes_total") += bytes.size();
    result<ledger_record> record = decode_ledger_record(bytes);
    if (!record) {
        counters_.counter("ledger_damaged_records_total") += 1;
        log_event(log_level::error, "ledger_record_damaged",
                  {{"stream", stream_},
                   {"offset", std::to_string(raw(offset))},
                   {"finding", record.error().message}});
        return;
    }
    if (const auto* chunk = std::get_if<snapshot_chunk>(&record.value())) {
        schedule_.chunk_seen(monotonic_now(), chunk->as_of, chunk->index + 1 == chunk->count);
        return;
    }
    apply_batch(std::get<ledger_batch>(record.value()));
}

void ledger_replica::apply_batch(const ledger_batch& batch) {
    const std::uint64_t before = state_.last_sequence_of(batch.writer);
    const std::vector<operation_outcome> outcomes = state_.apply(batch);
    if (batch.sequence <= before) {
        counters_.counter("ledger_second_copies_total") += 1;
        return;
    }
    for (const operation_outcome outcome : outcomes) {
        counters_.counter(labelled("ledger_operations_total", {{"outcome", name_of(outcome)}})) +=
            1;
    }
    const bool own = batch.writer == writer_ && batch.sequence == sequence_;
    if (own) {
        appender_.confirm();
    }
    hooks_.applied(batch, outcomes, own);
}

bool ledger_replica::load(const snapshot_image& image) {
    result<ledger_state> loaded = decode_ledger_snapshot(image.data);
    if (!loaded) {
        log_event(log_level::error, "ledger_snapshot_damaged",
                  {{"stream", stream_}, {"finding", loaded.error().message}});
        return false;
    }
    state_ = std::move(loaded.value());
    hooks_.restored();
    return true;
}

void ledger_replica::write_snapshot() {
    const std::string image = encode_ledger_snapshot(state_, follower_.position());
    const auto chunks = cut_snapshot(random_.next_id<std::uint64_t>(), follower_.position(), image);
    counters_.counter("ledger_snapshots_total") += 1;
    log_event(log_level::information, "snapshot_written",
              {{"stream", stream_},
               {"as_of", std::to_string(raw(follower_.position()))},
               {"bytes", std::to_string(image.size())}});
    for (const snapshot_chunk& chunk : chunks) {
        // A chunk that fails leaves a snapshot that nobody uses; the next one is not far.
        log_.append(stream_, encode_ledger_chunk(chunk), [](const result<log_offset>&) {});
    }
}

}  // namespace wrenswitch
