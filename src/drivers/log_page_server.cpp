#include "wrenswitch/drivers/log_page_server.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace wrenswitch {
namespace {

/// A request waits for this long at most, whatever it asks for.
constexpr microseconds max_wait = seconds(10);

/// The number of logs that may be asked for, since the names come from other processes.
constexpr std::size_t max_logs = 32;

/// The bytes that may be sent at once are those of this much time.
constexpr double burst_seconds = 1.0;

wire::LogReadReply& make_reply(wire::Envelope& message, std::uint64_t call,
                               wire::LogReadOutcome outcome) {
    wire::LogReadReply& reply = *message.mutable_log_read_reply();
    reply.set_call(call);
    reply.set_outcome(outcome);
    return reply;
}

void add_record(wire::LogReadReply& reply, const keyed_record& record) {
    wire::SharedRecord& added = *reply.add_records();
    added.set_key(record.key);
    added.set_value(record.value.value_or(""));
    added.set_dropped(!record.value.has_value());
    added.set_offset(record.offset);
}

std::uint32_t age_ms(instant began) {
    const auto age = std::chrono::duration_cast<milliseconds>(monotonic_now() - began);
    // Rounded up, so that a page never seems younger than it is.
    return static_cast<std::uint32_t>(age.count() + 1);
}

}  // namespace

log_page_server::log_page_server(event_loop& loop, message_bus& bus, metrics& counters,
                                 log_page_server_settings settings)
    : loop_(loop), bus_(bus), counters_(counters), settings_(settings) {}

log_page_server::~log_page_server() {
    *alive_ = false;
}

void log_page_server::set_active(bool active) {
    if (std::exchange(active_, active) == active || active) {
        return;
    }
    for (auto& [log, served] : logs_) {
        for (const auto& [number, request] : served.waiting) {
            refuse(request.origin, request.call, false);
        }
    }
    logs_.clear();
}

log_page_server::served_log* log_page_server::find(std::string_view log) {
    const auto found = logs_.find(log);
    return found == logs_.end() ? nullptr : &found->second;
}

log_page_server::served_log& log_page_server::serve(std::string_view log) {
    const auto [found, is_new] = logs_.try_emplace(
        std::string(log), served_log{log_window(settings_.window_bytes), {}, {}, false, {}});
    return found->second;
}

void log_page_server::on_newest(std::string_view log, instant began, const keyed_page& page) {
    if (!active_) {
        return;
    }
    served_log& served = serve(log);
    served.read_began = std::max(served.read_began, began);
    served.is_failing = false;
    // Reads go on from this end, so that the window has no gap behind it.
    served.window.restart(page.generation, page.end);
    served.newest.emplace();
    for (const keyed_record& record : page.records) {
        served.newest->insert_or_assign(record.key, record);
    }
    answer_waiting(served);
}

void log_page_server::on_page(std::string_view log, std::uint64_t from, instant began,
                              const keyed_page& page) {
    if (!active_) {
        return;
    }
    served_log& served = serve(log);
    served.read_began = std::max(served.read_began, began);
    served.is_failing = false;
    add_records(served, page.generation, from, page.records);
    answer_waiting(served);
}

/// Records behind a gap leave unknown what the newest ones of other keys are.
void log_page_server::add_records(served_log& served, std::uint64_t generation, std::uint64_t from,
                                  std::span<const keyed_record> records) {
    const bool continues = generation == served.window.generation() && from <= served.window.end();
    served.window.add(generation, from, records);
    if (!continues) {
        served.newest.reset();
    }
    if (!served.newest) {
        return;
    }
    for (const keyed_record& record : records) {
        if (record.value) {
            served.newest->insert_or_assign(record.key, record);
        } else {
            served.newest->erase(record.key);
        }
    }
}

void log_page_server::on_appended(std::string_view log, std::uint64_t first,
                                  std::span<const keyed_record> records) {
    served_log* const served = find(log);
    if (served == nullptr || served->window.end() != first) {
        return;
    }
    std::vector<keyed_record> placed(records.begin(), records.end());
    for (std::size_t at = 0; at < placed.size(); ++at) {
        placed[at].offset = first + at;
    }
    add_records(*served, served->window.generation(), first, placed);
    answer_waiting(*served);
}

void log_page_server::on_failure(std::string_view log) {
    if (!active_) {
        return;
    }
    served_log& served = serve(log);
    served.is_failing = true;
    for (const auto& [number, request] : std::exchange(served.waiting, {})) {
        refuse(request.origin, request.call, false);
    }
}

void log_page_server::on_request(const message_origin& origin, const wire::Envelope& message) {
    const wire::LogReadRequest& body = message.log_read_request();
    const bool is_known = find(body.log()) != nullptr || logs_.size() < max_logs;
    if (!active_ || !is_known) {
        refuse(origin, body.call(), false);
        return;
    }
    const microseconds wait = std::min<microseconds>(milliseconds(body.wait_ms()), max_wait);
    waiting_request request{origin, body.call(), body.generation(), body.from(),
                            2 * wait + settings_.age_slack};
    if (body.newest()) {
        request.after_key = body.after_key();
    }
    served_log& served = serve(body.log());
    if (answer(served, request)) {
        return;
    }
    const std::uint64_t number = ++last_waiting_;
    served.waiting.emplace(number, request);
    loop_.call_after(wait, [this, log = body.log(), number, alive = alive_] {
        if (*alive) {
            expire(log, number);
        }
    });
}

bool log_page_server::is_stale(const served_log& served, const waiting_request& request) {
    return monotonic_now() - served.read_began > request.max_age;
}

/// Answers a request unless it has to wait: for the first read of the log, for the generation that
/// it names, or for a record. Returns true if it was answered.
bool log_page_server::answer(const served_log& served, const waiting_request& request) {
    if (served.is_failing) {
        refuse(request.origin, request.call, false);
        return true;
    }
    const bool is_read = served.read_began != instant{};
    const std::uint64_t generation = served.window.generation();
    if (!is_read || request.generation > generation) {
        return false;
    }
    if (request.after_key) {
        if (served.newest) {
            send_newest(served, request);
        }
        return served.newest.has_value();
    }
    if (is_stale(served, request)) {
        refuse(request.origin, request.call, false);
    } else if (request.generation != 0 && request.generation < generation) {
        // The reader learns of the restored store by the page's generation.
        send_empty_page(served, request);
    } else if (request.from < served.window.first()) {
        refuse(request.origin, request.call, true);
    } else if (request.from < served.window.end()) {
        send_page(served, request);
    } else {
        return false;
    }
    return true;
}

void log_page_server::answer_waiting(served_log& served) {
    std::erase_if(served.waiting,
                  [this, &served](const auto& each) { return answer(served, each.second); });
}

/// A request whose offset lies behind what was read meanwhile is told to read the store, since its
/// position may be wrong.
void log_page_server::expire(const std::string& log, std::uint64_t number) {
    served_log* const served = find(log);
    if (served == nullptr) {
        return;
    }
    const auto found = served->waiting.find(number);
    if (found == served->waiting.end()) {
        return;
    }
    const waiting_request request = found->second;
    served->waiting.erase(found);
    const bool has_current_page =
        !is_stale(*served, request) && request.generation <= served->window.generation();
    if (!has_current_page || request.after_key || request.from > served->window.end()) {
        refuse(request.origin, request.call, has_current_page);
    } else {
        send_empty_page(*served, request);
    }
}

void log_page_server::send_page(const served_log& served, const waiting_request& request) {
    wire::Envelope message;
    wire::LogReadReply& reply = make_reply(message, request.call, wire::LOG_READ_PAGE);
    reply.set_generation(served.window.generation());
    reply.set_end(served.window.end());
    reply.set_age_ms(age_ms(served.read_began));
    std::size_t bytes = 0;
    for (auto at = served.window.at(request.from); at != served.window.behind_last(); ++at) {
        add_record(reply, *at);
        bytes += payload_bytes(*at);
    }
    if (bytes > settings_.max_page_bytes || !take_bytes(bytes)) {
        refuse(request.origin, request.call, true);
        return;
    }
    counters_.counter("shared_reads_answered_total") += 1;
    counters_.counter("shared_reads_sent_bytes_total") += bytes;
    bus_.answer(request.origin, message);
}

void log_page_server::send_newest(const served_log& served, const waiting_request& request) {
    wire::Envelope message;
    wire::LogReadReply& reply = make_reply(message, request.call, wire::LOG_READ_PAGE);
    reply.set_generation(served.window.generation());
    reply.set_end(served.window.end());
    reply.set_age_ms(age_ms(served.read_began));
    std::size_t bytes = 0;
    auto at = served.newest->upper_bound(*request.after_key);
    for (; at != served.newest->end() && bytes < settings_.newest_page_bytes; ++at) {
        add_record(reply, at->second);
        bytes += payload_bytes(at->second);
    }
    reply.set_more(at != served.newest->end());
    if (!take_bytes(bytes)) {
        refuse(request.origin, request.call, true);
        return;
    }
    counters_.counter("shared_reads_answered_total") += 1;
    counters_.counter("shared_reads_sent_bytes_total") += bytes;
    bus_.answer(request.origin, message);
}

void log_page_server::send_empty_page(const served_log& served, const waiting_request& request) {
    wire::Envelope message;
    wire::LogReadReply& reply = make_reply(message, request.call, wire::LOG_READ_PAGE);
    reply.set_generation(served.window.generation());
    reply.set_end(request.from);
    reply.set_age_ms(age_ms(served.read_began));
    counters_.counter("shared_reads_answered_total") += 1;
    bus_.answer(request.origin, message);
}

void log_page_server::refuse(const message_origin& origin, std::uint64_t call, bool is_missing) {
    wire::Envelope message;
    make_reply(message, call, is_missing ? wire::LOG_READ_MISSING : wire::LOG_READ_UNAVAILABLE);
    counters_.counter("shared_reads_refused_total") += 1;
    bus_.answer(origin, message);
}

/// True if this many bytes may be sent now. Keeps a share of the link for callers.
bool log_page_server::take_bytes(std::size_t bytes) {
    if (settings_.bytes_per_second <= 0.0) {
        return true;
    }
    const instant now = monotonic_now();
    const double most = settings_.bytes_per_second * burst_seconds;
    const double earned = bytes_left_at_ == instant{}
                              ? most
                              : settings_.bytes_per_second * as_seconds(now - bytes_left_at_);
    bytes_left_ = std::min(most, bytes_left_ + earned);
    bytes_left_at_ = now;
    const auto wanted = static_cast<double>(bytes);
    if (wanted > bytes_left_) {
        return false;
    }
    bytes_left_ -= wanted;
    return true;
}

}  // namespace wrenswitch
