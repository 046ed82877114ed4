#include "roles/gateway/suspect_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// From so many ends on other entries are told at once: the next target may be theirs.
constexpr std::size_t urgent_ends = 2;

/// Fewer ends aren't told in lines of their own: all requests that stood beside an end have one,
/// which was a thousand lines at each of thirty entries on a day of waves of ends. The line of the
/// end names them.
constexpr std::size_t told_ends = 2;

/// How long whoever saw an end has to write it before others do, and over how long these spread.
constexpr microseconds writer_wait = milliseconds(300);

/// How often evidence is looked through for what is too old; it is kept for hours.
constexpr microseconds drop_period = seconds(5);

/// Messages come from other processes of the fleet, and may be damaged all the same.
constexpr int most_ends_in_a_message = 256;

wire::SuspectEnd to_wire(const crash_evidence& end) {
    wire::SuspectEnd message;
    message.set_request_high(end.request.high);
    message.set_request_low(end.request.low);
    message.set_target(end.incarnation.target);
    message.set_started(end.incarnation.started);
    return message;
}

wire::Envelope news_of(std::span<const crash_evidence> ends, bool cleared) {
    wire::Envelope message;
    wire::SuspectNews& news = *message.mutable_suspect_news();
    news.set_cleared(cleared);
    const std::size_t told = std::min<std::size_t>(ends.size(), most_ends_in_a_message);
    for (const crash_evidence& end : ends.first(told)) {
        *news.add_ends() = to_wire(end);
    }
    return message;
}

crash_evidence from_wire(const wire::SuspectEnd& message) {
    return {{message.request_high(), message.request_low()}, {message.target(), message.started()}};
}

}  // namespace

suspect_exchange::suspect_exchange(event_loop& loop, keyed_log& log, std::string log_name,
                                   message_bus& bus, const token_allocator_selector& members,
                                   metrics& counters, hooks called)
    : loop_(loop),
      bus_(bus),
      members_(members),
      counters_(counters),
      hooks_(std::move(called)),
      log_(loop, log, std::move(log_name), members.own_host(), counters,
           {[this](const crash_evidence& end) {
                if (!learn(end, "log")) {
                    see_to_drop(end);
                }
            },
            [this](const crash_evidence& end) { forget(end, "log"); },
            [this](std::span<const crash_evidence> ends) { tell_unwritten(ends); },
            [this](bool reachable) { hooks_.log_reachable(reachable); }}) {}

suspect_exchange::~suspect_exchange() {
    *alive_ = false;
}

suspicion suspect_exchange::held_of(const digest& request) const {
    return any() ? table_.suspicion_of(monotonic_now(), request) : suspicion::none;
}

void suspect_exchange::ended(const target_incarnation& life, std::span<const digest> requests) {
    std::vector<crash_evidence> news;
    std::vector<crash_evidence> urgent;
    for (const digest& request : requests) {
        const crash_evidence end{request, life};
        if (!learn(end, "own run")) {
            continue;
        }
        news.push_back(end);
        if (is_urgent(request)) {
            urgent.push_back(end);
        } else {
            untold_.insert(end);
        }
    }
    log_.add(news);
    tell_others(urgent, false);
}

/// A dark log takes nothing and tells nobody. Each end is told once, by the one that saw it: a
/// fleet of 340 entries that all told all they knew would send 115,000 messages a time.
void suspect_exchange::tell_unwritten(std::span<const crash_evidence> ends) {
    std::vector<crash_evidence> unknown;
    for (const crash_evidence& end : ends) {
        if (untold_.erase(end) > 0) {
            unknown.push_back(end);
        }
    }
    tell_others(unknown, false);
}

bool suspect_exchange::is_urgent(const digest& request) const {
    return table_.crash_count(request) >= urgent_ends;
}

bool suspect_exchange::is_told(const digest& request) const {
    return table_.crash_count(request) >= told_ends;
}

/// A request that has ended well of late stood beside. Without this, callers that repeat one poll
/// at many targets would have it quarantined when three of them end in the same moment.
bool suspect_exchange::learn(const crash_evidence& end, std::string_view source) {
    const instant now = monotonic_now();
    if (table_.is_proven(now, end.request)) {
        counters_.counter("gateway_suspects_proven_total") += 1;
        return false;
    }
    const suspicion before = table_.suspicion_of(now, end.request);
    if (!table_.add(now, end)) {
        return true;
    }
    counters_.counter("gateway_suspect_ends_total") += 1;
    if (is_told(end.request)) {
        log_event(log_level::information, "request_suspected",
                  {{"fingerprint", end.request.to_hex()},
                   {"held", std::string(name_of(table_.suspicion_of(now, end.request)))},
                   {"ends", std::to_string(table_.crash_count(end.request))},
                   {"target", end.incarnation.target},
                   {"started", std::to_string(end.incarnation.started)},
                   {"known_from", std::string(source)}});
    }
    quarantine_if_due(end.request, before);
    return true;
}

void suspect_exchange::quarantine_if_due(const digest& request, suspicion before) {
    if (before == suspicion::quarantined || held_of(request) != suspicion::quarantined) {
        return;
    }
    counters_.counter("gateway_requests_quarantined_total") += 1;
    log_event(
        log_level::warning, "request_quarantined",
        {{"fingerprint", request.to_hex()}, {"ends", std::to_string(table_.crash_count(request))}});
    loop_.call_after(microseconds(0), [this, request, alive = alive_] {
        if (*alive) {
            hooks_.quarantined(request);
        }
    });
}

/// Others may do the same at the same time, and see what was done meanwhile.
void suspect_exchange::after_writer(std::function<void()> action) {
    const auto spread =
        static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(writer_wait.count())));
    loop_.call_after(writer_wait + microseconds(spread),
                     [action = std::move(action), alive = alive_] {
                         if (*alive) {
                             action();
                         }
                     });
}

/// Whoever saw an end may be gone before the log takes it. Without this, an entry that started when
/// a dark log was back sent a request to a fourth target that two others held in quarantine.
void suspect_exchange::see_to_log(const crash_evidence& end) {
    after_writer([this, end] {
        if (!log_.holds(end) && table_.contains(end)) {
            log_.add({&end, 1});
        }
    });
}

/// Only this entry may know that the request has ended well.
void suspect_exchange::see_to_drop(const crash_evidence& end) {
    after_writer([this, end] {
        if (log_.holds(end)) {
            log_.drop({&end, 1});
        }
    });
}

void suspect_exchange::forget(const crash_evidence& end, std::string_view source) {
    const suspicion before = held_of(end.request);
    const bool told = is_told(end.request);
    if (!table_.remove(end) || !told) {
        return;
    }
    log_event(log_level::information, "request_end_taken_back",
              {{"fingerprint", end.request.to_hex()},
               {"held_before", std::string(name_of(before))},
               {"ends", std::to_string(table_.crash_count(end.request))},
               {"target", end.incarnation.target},
               {"known_from", std::string(source)}});
}

void suspect_exchange::ended_well(const digest& request) {
    const bool urgent = is_urgent(request) || !log_.reachable();
    const bool told = is_told(request);
    const suspicion before = held_of(request);
    const std::vector<crash_evidence> cleared = table_.record_success(monotonic_now(), request);
    if (cleared.empty()) {
        return;
    }
    counters_.counter("gateway_suspects_cleared_total") += 1;
    if (told) {
        log_event(log_level::information, "request_cleared",
                  {{"fingerprint", request.to_hex()},
                   {"held_before", std::string(name_of(before))},
                   {"ends", std::to_string(cleared.size())}});
    }
    log_.drop(cleared);
    if (urgent) {
        tell_others(cleared, true);
    }
}

void suspect_exchange::tell_others(std::span<const crash_evidence> ends, bool cleared) {
    if (ends.empty()) {
        return;
    }
    const wire::Envelope message = news_of(ends, cleared);
    for (const cluster_member& member : members_.largest_known(members_.members())) {
        if (member.host != members_.own_host()) {
            bus_.send(member.endpoint, message);
        }
    }
}

bool suspect_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (!message.has_suspect_news()) {
        return false;
    }
    const wire::SuspectNews& news = message.suspect_news();
    if (news.ends_size() > most_ends_in_a_message) {
        counters_.counter("gateway_suspect_news_refused_total") += 1;
        log_event(log_level::error, "suspect_news_refused",
                  {{"ends", std::to_string(news.ends_size())}});
        return true;
    }
    for (const wire::SuspectEnd& end : news.ends()) {
        if (end.target().empty()) {
            continue;
        }
        if (news.cleared()) {
            forget(from_wire(end), "other entry");
        } else {
            take_news(origin, from_wire(end));
        }
    }
    return true;
}

void suspect_exchange::take_news(const message_origin& origin, const crash_evidence& end) {
    if (learn(end, "other entry")) {
        see_to_log(end);
        return;
    }
    see_to_drop(end);
    bus_.answer(origin, news_of({&end, 1}, true));
}

/// The log is cleaned by one entry alone, the largest that answers.
void suspect_exchange::tick(instant now) {
    counters_.gauge("gateway_suspects") = static_cast<double>(table_.size());
    if (now - dropped_at_ < drop_period) {
        return;
    }
    dropped_at_ = now;
    std::erase_if(untold_, [this](const crash_evidence& end) {
        return log_.holds(end) || !table_.contains(end);
    });
    const std::vector<crash_evidence> dropped = table_.evict_expired(now);
    if (dropped.empty()) {
        return;
    }
    counters_.counter("gateway_suspect_ends_dropped_total") += dropped.size();
    const std::vector<cluster_member> largest = members_.largest_reachable(now, 1);
    if (!largest.empty() && largest.front().host == members_.own_host()) {
        log_.drop(dropped);
    }
}

}  // namespace wrenswitch
