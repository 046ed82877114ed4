#include "wrenswitch/drivers/shared_log.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/random_source.hpp"

namespace wrenswitch {
namespace {

/// A timer that is this late shows that replies may lie unread because this process is behind.
constexpr microseconds late_timer_threshold = milliseconds(50);

/// A reader announces itself this often and this long, since entries that lost power together with
/// it start within some seconds.
constexpr unsigned max_announcements = 10;
constexpr microseconds announcement_period = milliseconds(500);

/// The page of a reply. Nothing if its records don't follow each other from the offset that was
/// asked for.
std::optional<keyed_page> decode_page(const wire::LogReadReply& reply, std::uint64_t from) {
    keyed_page page;
    page.generation = reply.generation();
    page.end = reply.end();
    page.age = milliseconds(reply.age_ms());
    std::uint64_t next = from;
    for (const wire::SharedRecord& record : reply.records()) {
        if (record.offset() != next || record.key().empty()) {
            return std::nullopt;
        }
        next += 1;
        page.records.push_back({record.key(),
                                record.dropped() ? std::nullopt : std::optional(record.value()),
                                record.offset()});
    }
    return page.end == next ? std::optional(std::move(page)) : std::nullopt;
}

/// Appends the records of one page of newest records. False if they aren't in the order of their
/// keys, don't continue the page or come from another generation of the store.
bool append_newest(const wire::LogReadReply& reply, keyed_page& page) {
    const bool is_empty_part = reply.more() && reply.records().empty();
    if (reply.generation() != page.generation || is_empty_part) {
        return false;
    }
    for (const wire::SharedRecord& record : reply.records()) {
        const bool is_in_order = page.records.empty() || page.records.back().key < record.key();
        if (!is_in_order || record.key().empty() || record.dropped()) {
            return false;
        }
        page.records.push_back({record.key(), record.value(), record.offset()});
    }
    return true;
}

}  // namespace

shared_log::shared_log(event_loop& loop, keyed_log& store, message_bus& bus,
                       const token_allocator_selector& members, metrics& counters,
                       shared_log_settings settings)
    : loop_(loop),
      store_(store),
      bus_(bus),
      members_(members),
      counters_(counters),
      settings_(std::move(settings)),
      readers_(settings_.own_host, settings_.readers),
      server_(loop, bus, counters, settings_.server),
      // Random, so that a late reply to a predecessor of this process isn't taken for one to it.
      last_call_(random_source().engine()()) {}

shared_log::~shared_log() {
    *alive_ = false;
}

void shared_log::update_readers() {
    if (std::exchange(members_version_, members_.version()) == members_.version()) {
        return;
    }
    const bool was_reader = readers_.is_reader();
    readers_.set_members(members_.members_in(settings_.failure_domain));
    server_.set_active(readers_.is_reader());
    if (!was_reader && readers_.is_reader()) {
        announcements_left_ = max_announcements;
        announce();
    }
    if (was_reader != readers_.is_reader()) {
        log_event(log_level::information, was_reader ? "log_reader_ended" : "log_reader_began",
                  {{"failure_domain", settings_.failure_domain},
                   {"members", std::to_string(members_.members())}});
    }
}

void shared_log::announce() {
    if (!readers_.is_reader() || announcements_left_ == 0) {
        return;
    }
    announcements_left_ -= 1;
    const std::vector<cluster_member> neighbours = members_.members_in(settings_.failure_domain);
    const auto own = std::find_if(
        neighbours.begin(), neighbours.end(),
        [this](const cluster_member& member) { return member.host == settings_.own_host; });
    if (own == neighbours.end()) {
        return;
    }
    wire::Envelope message;
    message.mutable_log_reader_announcement()->set_host(own->host);
    message.mutable_log_reader_announcement()->set_endpoint(own->endpoint);
    for (const cluster_member& member : neighbours) {
        if (member.host != settings_.own_host && member.shares_reads) {
            bus_.send(member.endpoint, message);
        }
    }
    loop_.call_after(announcement_period, [this, alive = alive_] {
        if (*alive) {
            announce();
        }
    });
}

/// Only for an entry that knows no members: the store's own records come first.
void shared_log::on_announcement(const wire::Envelope& message) {
    const wire::LogReaderAnnouncement& body = message.log_reader_announcement();
    if (members_.members() > 0 || body.host().empty() || body.endpoint().empty()) {
        return;
    }
    cluster_member reader;
    reader.host = body.host();
    reader.endpoint = body.endpoint();
    readers_.add_announced(reader);
}

/// At the start, other logs wait until the members are known, since these tell whom to ask.
void shared_log::newest(std::string_view log, page_hook done) {
    if (!waits_for_members_) {
        read_newest(log, std::move(done));
        return;
    }
    if (log != settings_.member_log) {
        if (deferred_.empty()) {
            loop_.call_after(settings_.members_timeout, [this, alive = alive_] {
                if (*alive) {
                    stop_waiting_for_members();
                }
            });
        }
        deferred_.push_back({std::string(log), std::move(done)});
        return;
    }
    read_newest_from_store(
        log, [this, done = std::move(done), alive = alive_](const result<keyed_page>& page) {
            done(page);
            if (*alive) {
                stop_waiting_for_members();
            }
        });
}

void shared_log::stop_waiting_for_members() {
    waits_for_members_ = false;
    for (deferred_read& read : std::exchange(deferred_, {})) {
        read_newest(read.log, std::move(read.done));
    }
}

void shared_log::read_newest(std::string_view log, page_hook done) {
    update_readers();
    pending_read read;
    read.log = log;
    read.wait = settings_.newest_wait;
    read.done = std::move(done);
    read.is_newest = true;
    ask_for_newest(std::move(read));
}

void shared_log::ask_for_newest(pending_read read) {
    const auto reader = readers_.reader(monotonic_now());
    if (!reader || read.readers_asked >= settings_.max_newest_readers) {
        read_newest_from_store(read.log, std::move(read.done));
        return;
    }
    read.readers_asked += 1;
    read.reader = reader->host;
    read.newest = {};
    ask(reader->endpoint, std::move(read));
}

void shared_log::read_newest_from_store(std::string_view log, page_hook done) {
    store_.newest(log, [this, name = std::string(log), began = monotonic_now(),
                        done = std::move(done), alive = alive_](result<keyed_page> page) {
        if (*alive && page) {
            server_.on_newest(name, began, page.value());
        } else if (*alive) {
            server_.on_failure(name);
        }
        done(std::move(page));
    });
}

void shared_log::read(std::string_view log, std::uint64_t from, microseconds wait, page_hook done) {
    update_readers();
    const auto reader = wait > microseconds(0) ? readers_.reader(monotonic_now()) : std::nullopt;
    if (!reader) {
        read_store(log, from, wait, std::move(done));
        return;
    }
    pending_read read;
    read.log = log;
    read.from = from;
    read.wait = wait;
    read.done = std::move(done);
    read.reader = reader->host;
    ask(reader->endpoint, std::move(read));
}

void shared_log::append(std::string_view log, std::optional<std::uint64_t> at,
                        std::span<const keyed_record> records, append_hook done) {
    store_.append(log, at, records,
                  [this, name = std::string(log),
                   copies = std::vector<keyed_record>(records.begin(), records.end()),
                   done = std::move(done), alive = alive_](result<std::uint64_t> end) {
                      if (*alive && end && end.value() >= copies.size()) {
                          server_.on_appended(name, end.value() - copies.size(), copies);
                      }
                      done(std::move(end));
                  });
}

void shared_log::read_store(std::string_view log, std::uint64_t from, microseconds wait,
                            page_hook done) {
    store_.read(log, from, wait,
                [this, name = std::string(log), from, began = monotonic_now(),
                 done = std::move(done), alive = alive_](result<keyed_page> page) {
                    if (*alive && page) {
                        server_.on_page(name, from, began, page.value());
                    } else if (*alive) {
                        server_.on_failure(name);
                    }
                    done(std::move(page));
                });
}

void shared_log::ask(const std::string& endpoint, pending_read read) {
    const std::uint64_t call = ++last_call_;
    wire::Envelope message;
    wire::LogReadRequest& body = *message.mutable_log_read_request();
    body.set_call(call);
    body.set_log(read.log);
    body.set_generation(known_generation());
    body.set_from(read.from);
    body.set_wait_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(read.wait).count()));
    body.set_newest(read.is_newest);
    if (!read.newest.records.empty()) {
        body.set_after_key(read.newest.records.back().key);
    }
    const microseconds timeout = read.wait + settings_.reply_slack;
    read.due = monotonic_now() + timeout;
    read.endpoint = endpoint;
    pending_.emplace(call, std::move(read));
    counters_.counter("shared_reads_asked_total") += 1;
    bus_.send(endpoint, message);
    schedule_timeout(call, timeout);
}

void shared_log::schedule_timeout(std::uint64_t call, microseconds timeout) {
    loop_.call_after(timeout, [this, call, alive = alive_] {
        if (*alive) {
            check_timeout(call);
        }
    });
}

void shared_log::check_timeout(std::uint64_t call) {
    const auto found = pending_.find(call);
    if (found == pending_.end()) {
        return;
    }
    const bool is_late = monotonic_now() - found->second.due > late_timer_threshold;
    if (is_late && !std::exchange(found->second.is_extended, true)) {
        schedule_timeout(call, late_timer_threshold);
        return;
    }
    on_reader_failed(std::string(found->second.reader), "no reply");
}

std::optional<shared_log::pending_read> shared_log::take(std::uint64_t call) {
    auto found = pending_.extract(call);
    return found.empty() ? std::nullopt : std::optional(std::move(found.mapped()));
}

bool shared_log::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_log_read_request()) {
        update_readers();
        server_.on_request(origin, message);
        return true;
    }
    if (message.has_log_read_reply()) {
        on_reply(message);
        return true;
    }
    if (message.has_log_reader_announcement()) {
        on_announcement(message);
        return true;
    }
    return false;
}

void shared_log::on_reply(const wire::Envelope& message) {
    const wire::LogReadReply& reply = message.log_read_reply();
    std::optional<pending_read> read = take(reply.call());
    if (!read) {
        return;
    }
    switch (reply.outcome()) {
        case wire::LOG_READ_PAGE:
            if (names_newer_generation(reply)) {
                read_again_from_store(std::move(*read));
            } else {
                on_page(std::move(*read), message);
            }
            return;
        case wire::LOG_READ_MISSING:
            counters_.counter("shared_reads_missing_total") += 1;
            read_elsewhere(std::move(*read));
            return;
        default:
            pending_.emplace(reply.call(), std::move(*read));
            on_reader_failed(std::string(pending_.at(reply.call()).reader), "refused");
    }
}

/// Asks for the next page of newest records, or hands all of them over.
void shared_log::on_newest_page(pending_read read, const wire::Envelope& message) {
    const wire::LogReadReply& reply = message.log_read_reply();
    keyed_page& page = read.newest;
    const bool is_first = page.records.empty();
    if (is_first) {
        page.generation = reply.generation();
        page.end = reply.end();
        page.age = milliseconds(reply.age_ms());
    }
    if (!append_newest(reply, page)) {
        counters_.counter("shared_reads_damaged_total") += 1;
        const std::string reader = read.reader;
        pending_.emplace(reply.call(), std::move(read));
        on_reader_failed(reader, "damaged page");
        return;
    }
    if (reply.more()) {
        const std::string endpoint = read.endpoint;
        ask(endpoint, std::move(read));
        return;
    }
    readers_.record_answer(read.reader);
    read.done(std::move(read.newest));
}

std::uint64_t shared_log::known_generation() const {
    return std::max(store_.generation(), first_generation_);
}

/// A reader tells an entry that starts which generation the store has. That the store was restored
/// from a copy after that is only believed from the store itself.
bool shared_log::names_newer_generation(const wire::LogReadReply& reply) {
    if (known_generation() == 0) {
        first_generation_ = reply.generation();
    }
    return reply.generation() > known_generation();
}

void shared_log::read_again_from_store(pending_read read) {
    if (read.is_newest) {
        read_newest_from_store(read.log, std::move(read.done));
    } else {
        read_store(read.log, read.from, read.wait, std::move(read.done));
    }
}

void shared_log::read_elsewhere(pending_read read) {
    if (read.is_newest) {
        ask_for_newest(std::move(read));
    } else {
        read_again_from_store(std::move(read));
    }
}

void shared_log::on_page(pending_read read, const wire::Envelope& message) {
    if (read.is_newest) {
        on_newest_page(std::move(read), message);
        return;
    }
    std::optional<keyed_page> page = decode_page(message.log_read_reply(), read.from);
    if (!page) {
        counters_.counter("shared_reads_damaged_total") += 1;
        const std::string reader = read.reader;
        pending_.emplace(message.log_read_reply().call(), std::move(read));
        on_reader_failed(reader, "damaged page");
        return;
    }
    if (readers_.record_answer(read.reader)) {
        log_event(log_level::information, "log_reader_regained", {{"reader", read.reader}});
    }
    read.done(std::move(*page));
}

/// All reads that wait for this reader go to the store.
void shared_log::on_reader_failed(const std::string& host, std::string_view reason) {
    counters_.counter("shared_reads_failed_total") += 1;
    if (readers_.record_failure(monotonic_now(), host)) {
        log_event(log_level::warning, "log_reader_lost",
                  {{"reader", host}, {"reason", std::string(reason)}});
    }
    std::vector<pending_read> moved;
    for (auto at = pending_.begin(); at != pending_.end();) {
        if (at->second.reader == host) {
            moved.push_back(std::move(at->second));
            at = pending_.erase(at);
        } else {
            ++at;
        }
    }
    for (pending_read& read : moved) {
        read_elsewhere(std::move(read));
    }
}

}  // namespace wrenswitch
