#include "roles/gateway/stream_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/stream_codec.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// A record takes about 300 bytes here, so this bounds the memory to about 5 MB.
constexpr std::size_t max_records = 16384;

/// The longest time for which versions are remembered.
constexpr microseconds versions_kept_for = seconds(600);

/// An entry that hasn't answered by then doesn't hold up the caller any longer.
constexpr microseconds answer_timeout = milliseconds(60);

/// How long to wait for a record of a later attempt once a record has arrived. A holder that is
/// gone must not delay what another one knows.
constexpr microseconds record_settle_time = milliseconds(10);

/// Bounds the size of messages, also of those that other processes send.
constexpr int max_records_per_message = 256;

}  // namespace

stream_exchange::stream_exchange(event_loop& loop, message_bus& bus,
                                 const token_allocator_selector& members,
                                 std::string failure_domain, std::string region, metrics& counters,
                                 hooks callbacks)
    : loop_(loop),
      bus_(bus),
      members_(members),
      counters_(counters),
      hooks_(std::move(callbacks)),
      holders_(members, std::move(failure_domain), std::move(region)),
      table_(max_records),
      versions_(versions_kept_for) {}

stream_exchange::~stream_exchange() {
    *alive_ = false;
}

void stream_exchange::count_message(std::string_view kind, std::string_view direction) {
    counters_.counter(
        labelled("gateway_stream_messages_total", {{"kind", kind}, {"direction", direction}})) += 1;
}

void stream_exchange::begin_stream(stream_record record) {
    const instant now = monotonic_now();
    record.expires = std::min(record.expires, now + stream_record::max_life);
    if (table_.record(now, record) == stream_record_table::outcome::invalid) {
        counters_.counter("gateway_stream_records_refused_total") += 1;
        return;
    }
    begun_stream& stream = begun_[{record.account, record.request}];
    stream.record = std::move(record);
    stream.sent_to.clear();
    records_by_endpoint batches;
    add_recipients(now, stream, batches);
    send_records(now, batches);
}

void stream_exchange::end_stream(std::string_view request, std::uint64_t account) {
    begun_.erase({account, std::string(request)});
    table_.remove(request, account);
}

void stream_exchange::add_recipients(instant now, begun_stream& stream,
                                     records_by_endpoint& batches) {
    if (stream.record.expires <= now) {
        return;
    }
    for (const cluster_member& each : holders_.recipients(stream.record.request)) {
        if (stream.sent_to.emplace(each.host, each.process).second) {
            batches[each.endpoint].push_back(&stream.record);
        }
    }
}

void stream_exchange::send_records(instant now, const records_by_endpoint& batches) {
    for (const auto& [endpoint, records] : batches) {
        wire::Envelope message;
        for (const stream_record* record : records) {
            *message.mutable_stream_records()->add_records() = encode_stream_record(now, *record);
            if (message.stream_records().records_size() == max_records_per_message) {
                bus_.send(endpoint, message);
                count_message("records", "sent");
                message.clear_stream_records();
            }
        }
        if (message.has_stream_records()) {
            bus_.send(endpoint, message);
            count_message("records", "sent");
        }
    }
}

void stream_exchange::note_list_read(instant now) {
    list_read_since_ = list_read_since_.value_or(now);
}

stream_knowledge stream_exchange::knowledge(instant now, const question& asked) const {
    stream_knowledge known;
    known.host = members_.own_host();
    if (const stream_record* record = table_.find(now, asked.request, asked.account)) {
        known.record = *record;
    }
    if (known.record || asked.service.empty()) {
        return known;
    }
    known.versions = versions_.within(now, asked.service, asked.max_age);
    known.versions.merge(hooks_.present_versions(asked.service));
    known.versions_complete = knows_all_versions(now, asked);
    return known;
}

/// True if no target can have begun the stream at a version that this entry doesn't know.
bool stream_exchange::knows_all_versions(instant now, const question& asked) const {
    if (!list_read_since_ || asked.max_age > versions_kept_for || !hooks_.is_list_current()) {
        return false;
    }
    return now - *list_read_since_ >= asked.max_age || hooks_.knows_earlier_versions(asked.service);
}

std::shared_ptr<stream_exchange::handle> stream_exchange::ask(question asked,
                                                              resolution_hook on_resolved) {
    const instant now = monotonic_now();
    const std::uint64_t number = ++last_question_;
    auto owner = std::make_shared<handle>();
    pending_question& pending = pending_[number];
    pending.owner = owner;
    pending.on_resolved = std::move(on_resolved);
    pending.asked_at = now;
    pending.known.push_back(knowledge(now, asked));
    wire::Envelope message;
    wire::StreamQuestion& sent = *message.mutable_stream_question();
    sent.set_number(number);
    sent.set_request(asked.request);
    sent.set_account(asked.account);
    sent.set_service(asked.service);
    sent.set_window_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(asked.max_age).count()));
    microseconds timeout{};
    for (const cluster_member& each : holders_.candidates(asked.request)) {
        bus_.send(each.endpoint, message);
        count_message("question", "sent");
        pending.asked_count += 1;
        timeout = std::max(timeout, answer_timeout + members_.round_trip(each));
    }
    pending.has_record = pending.known.front().record.has_value();
    pending.asked = std::move(asked);
    resolve_after(pending.has_record ? std::min(timeout, record_settle_time) : timeout, number);
    return owner;
}

void stream_exchange::resolve_after(microseconds delay, std::uint64_t number) {
    loop_.call_after(delay, [this, number, alive = alive_] {
        if (*alive) {
            resolve(number);
        }
    });
}

void stream_exchange::resolve(std::uint64_t number) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    pending_question pending = std::move(found->second);
    pending_.erase(found);
    if (pending.owner.expired()) {
        return;
    }
    if (pending.asked_count > 0 && pending.answered_count == 0) {
        // An entry that reaches no other one may have an old list without knowing it.
        pending.known.front().versions_complete = false;
    }
    const instant now = monotonic_now();
    resolution result{determine_origin(pending.known, pending.asked.service),
                      now - pending.asked_at, pending.asked_count, pending.answered_count};
    counters_.histogram("gateway_stream_question_ms").observe(result.elapsed);
    counters_.counter(
        labelled("gateway_stream_origins_total", {{"source", name_of(result.origin.source)}})) += 1;
    pending.on_resolved(result);
}

bool stream_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    const instant now = monotonic_now();
    if (message.has_stream_records()) {
        on_records(now, message);
    } else if (message.has_stream_question()) {
        on_question(now, origin, message);
    } else if (message.has_stream_answer()) {
        on_answer(message);
    } else {
        return false;
    }
    return true;
}

void stream_exchange::on_records(instant now, const wire::Envelope& message) {
    count_message("records", "received");
    if (message.stream_records().records_size() > max_records_per_message) {
        counters_.counter("gateway_stream_records_refused_total") += 1;
        log_event(log_level::error, "stream_records_refused",
                  {{"records", std::to_string(message.stream_records().records_size())}});
        return;
    }
    for (const wire::StreamRecord& each : message.stream_records().records()) {
        const auto outcome = table_.record(now, decode_stream_record(now, each));
        if (outcome == stream_record_table::outcome::invalid) {
            counters_.counter("gateway_stream_records_refused_total") += 1;
        }
    }
}

void stream_exchange::on_question(instant now, const message_origin& origin,
                                  const wire::Envelope& message) {
    count_message("question", "received");
    const wire::StreamQuestion& asked = message.stream_question();
    if (asked.request().size() > stream_record::max_request_bytes ||
        asked.service().size() > stream_record::max_name_bytes) {
        counters_.counter("gateway_stream_questions_refused_total") += 1;
        return;
    }
    constexpr std::uint64_t max_window_ms =
        std::chrono::duration_cast<milliseconds>(versions_kept_for).count();
    // A longer window than versions are kept for leaves them incomplete.
    const milliseconds window(std::min(asked.window_ms(), max_window_ms + 1));
    wire::Envelope answer;
    *answer.mutable_stream_answer() = encode_stream_answer(
        now, knowledge(now, {asked.request(), asked.account(), asked.service(), window}));
    answer.mutable_stream_answer()->set_number(asked.number());
    bus_.answer(origin, answer);
    count_message("answer", "sent");
}

void stream_exchange::on_answer(const wire::Envelope& message) {
    count_message("answer", "received");
    const std::uint64_t number = message.stream_answer().number();
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    pending_question& pending = found->second;
    stream_knowledge known = decode_stream_answer(monotonic_now(), message.stream_answer());
    const bool is_asked_stream = known.record && known.record->request == pending.asked.request &&
                                 known.record->account == pending.asked.account;
    if (known.record && !is_asked_stream) {
        known.record.reset();
    }
    const bool is_first_record = known.record && !std::exchange(pending.has_record, true);
    pending.known.push_back(std::move(known));
    pending.answered_count += 1;
    if (pending.answered_count >= pending.asked_count) {
        resolve(number);
    } else if (is_first_record) {
        resolve_after(record_settle_time, number);
    }
}

void stream_exchange::hand_over() {
    const instant now = monotonic_now();
    std::vector<stream_record> records;
    table_.for_each([&records](const stream_record& each) { records.push_back(each); });
    records_by_endpoint batches;
    for (const stream_record& each : records) {
        for (const cluster_member& member : holders_.recipients(each.request)) {
            batches[member.endpoint].push_back(&each);
        }
    }
    send_records(now, batches);
    log_event(
        log_level::information, "stream_records_handed_over",
        {{"records", std::to_string(records.size())}, {"members", std::to_string(batches.size())}});
}

/// A process that replaces a holder knows nothing of its predecessor's records.
void stream_exchange::repair(instant now) {
    if (members_.version() == std::exchange(members_version_, members_.version())) {
        return;
    }
    connect_to_keepers();
    records_by_endpoint batches;
    for (auto& [key, stream] : begun_) {
        add_recipients(now, stream, batches);
    }
    send_records(now, batches);
}

/// Opens connections before records need them. A record that waits for its connection may still be
/// here when the caller has the first event, and is lost if this process is killed then.
void stream_exchange::connect_to_keepers() {
    std::set<holder> keepers;
    for (const cluster_member& each : holders_.keepers()) {
        const holder process{each.host, each.process};
        keepers.insert(process);
        if (!connected_.contains(process)) {
            wire::Envelope message;
            message.mutable_stream_records();
            bus_.send(each.endpoint, message);
        }
    }
    connected_ = std::move(keepers);
}

void stream_exchange::tick(instant now) {
    repair(now);
    table_.remove_expired(now);
    versions_.remove_old(now);
    // The table bounds the number of records, also of those of this entry.
    std::erase_if(begun_, [this, now](const auto& entry) {
        return table_.find(now, entry.first.second, entry.first.first) == nullptr;
    });
    counters_.gauge("gateway_streams_begun") = static_cast<double>(begun_.size());
    counters_.gauge("gateway_stream_records") = static_cast<double>(table_.size());
    counters_.gauge("gateway_stream_record_bytes") = static_cast<double>(table_.bytes());
    counters_.counter("gateway_stream_records_evicted_total") = table_.evictions();
}

}  // namespace wrenswitch
