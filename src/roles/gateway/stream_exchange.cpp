#include "roles/gateway/stream_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// A record takes about 300 bytes here, so this bounds the memory to about 5 MB.
constexpr std::size_t max_records = 16384;

/// An entry that hasn't answered by then doesn't hold up the caller any longer.
constexpr microseconds answer_timeout = milliseconds(60);

/// How long to wait for a record of a later attempt once a record has arrived. A holder that is
/// gone must not delay what another one knows.
constexpr microseconds record_settle_time = milliseconds(10);

/// How long bound streams are gathered into one message to each relay. What is gathered is lost
/// with this process.
constexpr microseconds relay_batch_time = milliseconds(20);

/// How often the records of running streams are sent to relays again, which may have restarted.
constexpr microseconds relay_refresh_period = seconds(5);

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
      versions_(stream_versions_kept_for) {}

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
    stream = {std::move(record), {}, false, {}};
    records_by_endpoint batches;
    add_recipients(now, stream, batches);
    send_records(now, batches, "records");
}

void stream_exchange::bind_stream(std::string_view request, std::uint64_t account) {
    const stream_key key{account, std::string(request)};
    const auto found = begun_.find(key);
    if (found == begun_.end() || std::exchange(found->second.is_bound, true) ||
        relays_.selected().empty()) {
        return;
    }
    newly_bound_.push_back(key);
    if (newly_bound_.size() == 1) {
        loop_.call_after(relay_batch_time, [this, alive = alive_] {
            if (*alive) {
                flush_bound();
            }
        });
    }
}

/// Sends the records of streams that were bound a moment ago and haven't ended meanwhile.
void stream_exchange::flush_bound() {
    const instant now = monotonic_now();
    records_by_endpoint batches;
    for (const stream_key& key : std::exchange(newly_bound_, {})) {
        const auto found = begun_.find(key);
        if (found != begun_.end()) {
            send_to_relays(now, found->second, batches);
        }
    }
    send_records(now, batches, "relay_records");
}

void stream_exchange::send_to_relays(instant now, begun_stream& stream,
                                     records_by_endpoint& batches) const {
    stream.relayed_at = now;
    for (const std::string& endpoint : relays_.recipients(stream.record.request)) {
        batches[endpoint].push_back(&stream.record);
    }
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

void stream_exchange::send_records(instant now, const records_by_endpoint& batches,
                                   std::string_view kind) {
    for (const auto& [endpoint, records] : batches) {
        wire::Envelope message;
        for (const stream_record* record : records) {
            *message.mutable_stream_records()->add_records() = encode_stream_record(now, *record);
            if (message.stream_records().records_size() == max_records_per_message) {
                bus_.send(endpoint, message);
                count_message(kind, "sent");
                message.clear_stream_records();
            }
        }
        if (message.has_stream_records()) {
            bus_.send(endpoint, message);
            count_message(kind, "sent");
        }
    }
}

void stream_exchange::note_list_read(instant now) {
    list_read_since_ = list_read_since_.value_or(now);
    if (relays_.selected().empty()) {
        // A caller may resume a stream before the next tick.
        update_relays();
    }
}

stream_knowledge stream_exchange::knowledge(instant now, const stream_question& asked) const {
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
bool stream_exchange::knows_all_versions(instant now, const stream_question& asked) const {
    if (!list_read_since_ || asked.max_age > stream_versions_kept_for ||
        !hooks_.is_list_current()) {
        return false;
    }
    return now - *list_read_since_ >= asked.max_age || hooks_.knows_earlier_versions(asked.service);
}

std::shared_ptr<stream_exchange::handle> stream_exchange::ask(stream_question asked,
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
    *message.mutable_stream_question() = encode_stream_question(number, asked);
    microseconds timeout{};
    for (const cluster_member& each : holders_.candidates(asked.request)) {
        bus_.send(each.endpoint, message);
        count_message("question", "sent");
        pending.entries_asked += 1;
        timeout = std::max(timeout, answer_timeout + members_.round_trip(each));
    }
    pending.asked_count = pending.entries_asked;
    for (const std::string& endpoint : relays_.candidates(asked.request)) {
        bus_.send(endpoint, message);
        count_message("relay_question", "sent");
        pending.asked_count += 1;
        timeout = std::max(timeout, answer_timeout);
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
    if (pending.entries_asked > 0 && pending.entries_answered == 0) {
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
        on_answer(origin, message);
    } else {
        return false;
    }
    return true;
}

void stream_exchange::on_records(instant now, const wire::Envelope& message) {
    count_message("records", "received");
    counters_.counter("gateway_stream_records_refused_total") += accept_stream_records(
        now, message.stream_records(),
        [this, now](stream_record record) { return table_.record(now, std::move(record)); });
}

void stream_exchange::on_question(instant now, const message_origin& origin,
                                  const wire::Envelope& message) {
    count_message("question", "received");
    const std::optional<stream_question> asked = decode_stream_question(message.stream_question());
    if (!asked) {
        counters_.counter("gateway_stream_questions_refused_total") += 1;
        return;
    }
    wire::Envelope answer;
    *answer.mutable_stream_answer() = encode_stream_answer(now, knowledge(now, *asked));
    answer.mutable_stream_answer()->set_number(message.stream_question().number());
    bus_.answer(origin, answer);
    count_message("answer", "sent");
}

void stream_exchange::on_answer(const message_origin& origin, const wire::Envelope& message) {
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
    pending.entries_answered += relays_.contains(origin.endpoint) ? 0 : 1;
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
    send_records(now, batches, "records");
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
    send_records(now, batches, "records");
}

/// Connects to relays that are new among those that hold records.
void stream_exchange::update_relays() {
    if (!hooks_.relays || !relays_.select(hooks_.relays())) {
        return;
    }
    std::set<std::string> endpoints;
    for (const record_relay& each : relays_.selected()) {
        endpoints.insert(each.endpoint);
        if (!connected_relays_.contains(each.endpoint)) {
            wire::Envelope message;
            message.mutable_stream_records();
            bus_.send(each.endpoint, message);
        }
    }
    connected_relays_ = std::move(endpoints);
    for (auto& [key, stream] : begun_) {
        stream.relayed_at = {};
    }
}

/// Sends records again that relays may have lost, or that other relays should have now.
void stream_exchange::refresh_relays(instant now) {
    records_by_endpoint batches;
    for (auto& [key, stream] : begun_) {
        if (stream.is_bound && now - stream.relayed_at >= relay_refresh_period) {
            send_to_relays(now, stream, batches);
        }
    }
    send_records(now, batches, "relay_records");
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
    update_relays();
    table_.remove_expired(now);
    versions_.remove_old(now);
    // The table bounds the number of records, also of those of this entry.
    std::erase_if(begun_, [this, now](const auto& entry) {
        return table_.find(now, entry.first.second, entry.first.first) == nullptr;
    });
    refresh_relays(now);
    counters_.gauge("gateway_streams_begun") = static_cast<double>(begun_.size());
    counters_.gauge("gateway_stream_records") = static_cast<double>(table_.size());
    counters_.gauge("gateway_stream_record_bytes") = static_cast<double>(table_.bytes());
    counters_.counter("gateway_stream_records_evicted_total") = table_.evictions();
}

}  // namespace wrenswitch
