#include "roles/gateway/suspect_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace wrenswitch {
namespace {

/// From this many crashes on, the other gateways are told at once, since the next target may be
/// theirs.
constexpr std::size_t urgent_crashes = 2;

/// Requests with fewer crashes get no log line of their own. Every request in flight at a crashed
/// target counts one crash, which was a thousand lines at each of thirty gateways on a day with
/// waves of crashes. The line about the crash names the requests.
constexpr std::size_t logged_crashes = 2;

/// How long the gateway that saw a crash has to write it before others do, and the range over which
/// those spread their writes.
constexpr microseconds writer_delay = milliseconds(300);

/// How often expired evidence is removed; it is kept for hours.
constexpr microseconds eviction_period = seconds(5);

/// Bounds messages from other processes, which may be damaged.
constexpr int max_crashes_per_message = 256;

wire::SuspectEnd to_wire(const crash_evidence& crash) {
    wire::SuspectEnd message;
    message.set_request_high(crash.fingerprint.high);
    message.set_request_low(crash.fingerprint.low);
    message.set_target(crash.incarnation.target);
    message.set_started(crash.incarnation.started);
    message.set_crashed(crash.crashed);
    return message;
}

wire::Envelope make_message(std::span<const crash_evidence> crashes, bool cleared) {
    wire::Envelope message;
    wire::SuspectNews& batch = *message.mutable_suspect_news();
    batch.set_cleared(cleared);
    const std::size_t count = std::min<std::size_t>(crashes.size(), max_crashes_per_message);
    for (const crash_evidence& crash : crashes.first(count)) {
        *batch.add_ends() = to_wire(crash);
    }
    return message;
}

crash_evidence from_wire(const wire::SuspectEnd& message) {
    return {{message.request_high(), message.request_low()},
            {message.target(), message.started()},
            message.crashed()};
}

}  // namespace

suspect_exchange::suspect_exchange(event_loop& loop, keyed_log& log, std::string log_name,
                                   message_bus& bus, const token_allocator_selector& members,
                                   metrics& counters, hooks callbacks,
                                   const part_suspect_settings& part_settings)
    : loop_(loop),
      bus_(bus),
      members_(members),
      counters_(counters),
      hooks_(std::move(callbacks)),
      parts_(loop, counters, part_settings,
             {[this](const crash_evidence& crash) {
                  share({&crash, 1});
              },
              [this](const digest& part) { hooks_.quarantined(part); },
              [this](std::string_view name) { return is_first_for(name); }}),
      log_(loop, log, std::move(log_name), members.own_host(), counters,
           {[this](const crash_evidence& crash) {
                if (!add_evidence(crash, "log")) {
                    ensure_removed_from_log(crash);
                }
            },
            [this](const crash_evidence& crash) { remove_evidence(crash, "log"); },
            [this](std::span<const crash_evidence> crashes) { broadcast_unwritten(crashes); },
            [this](bool reachable) { hooks_.log_reachable(reachable); }}) {}

suspect_exchange::~suspect_exchange() {
    *alive_ = false;
}

suspicion suspect_exchange::suspicion_of(const digest& fingerprint) const {
    if (!has_suspects()) {
        return suspicion::none;
    }
    return is_prompt_part(fingerprint) ? parts_.suspicion_of(fingerprint)
                                       : table_.suspicion_of(monotonic_now(), fingerprint);
}

std::size_t suspect_exchange::crash_count(const digest& fingerprint) const {
    return is_prompt_part(fingerprint) ? parts_.record_of(fingerprint).crashes
                                       : table_.crash_count(fingerprint);
}

bool suspect_exchange::contains(const crash_evidence& crash) const {
    return is_prompt_part(crash.fingerprint) ? parts_.contains(crash) : table_.contains(crash);
}

bool suspect_exchange::is_first_for(std::string_view name) const {
    const std::vector<cluster_member> first = members_.ranked_members(name, 1);
    return !first.empty() && first.front().host == members_.own_host();
}

void suspect_exchange::record_crash(const target_incarnation& incarnation,
                                    std::span<const digest> fingerprints) {
    const std::int64_t crashed = unix_milliseconds_now();
    std::vector<crash_evidence> crashes;
    for (const digest& fingerprint : fingerprints) {
        const crash_evidence crash{fingerprint, incarnation, crashed};
        if (!is_prompt_part(fingerprint) || !parts_.awaits_survivor(crash)) {
            crashes.push_back(crash);
        }
    }
    share(crashes);
}

/// Adds evidence of this gateway's own attempts and makes it known to the others.
void suspect_exchange::share(std::span<const crash_evidence> crashes) {
    std::vector<crash_evidence> added;
    std::vector<crash_evidence> urgent;
    for (const crash_evidence& crash : crashes) {
        if (!add_evidence(crash, "own run")) {
            continue;
        }
        added.push_back(crash);
        if (is_urgent(crash.fingerprint)) {
            urgent.push_back(crash);
        } else {
            unshared_.insert(crash);
        }
    }
    log_.add(added);
    broadcast(urgent, false);
}

/// While the log is unreachable it accepts nothing and informs no one. Each crash is sent once, by
/// the gateway that saw it: in a fleet of 340 gateways that all sent everything they knew, each
/// round would take 115,000 messages.
void suspect_exchange::broadcast_unwritten(std::span<const crash_evidence> crashes) {
    std::vector<crash_evidence> unknown;
    for (const crash_evidence& crash : crashes) {
        if (unshared_.erase(crash) > 0) {
            unknown.push_back(crash);
        }
    }
    broadcast(unknown, false);
}

bool suspect_exchange::is_urgent(const digest& request) const {
    return crash_count(request) >= urgent_crashes;
}

bool suspect_exchange::is_logged(const digest& request) const {
    return table_.crash_count(request) >= logged_crashes;
}

/// A request that was completed recently was only in flight beside the one that caused the crash.
/// Without this, callers that repeat one poll at many targets would have it quarantined when three
/// of them crash at the same moment.
bool suspect_exchange::add_evidence(const crash_evidence& crash, std::string_view source) {
    if (is_prompt_part(crash.fingerprint)) {
        parts_.add(crash, source);
        return true;
    }
    const instant now = monotonic_now();
    if (table_.is_proven(now, crash.fingerprint)) {
        counters_.counter("gateway_suspects_proven_total") += 1;
        return false;
    }
    const suspicion before = table_.suspicion_of(now, crash.fingerprint);
    if (!table_.add(now, crash)) {
        return true;
    }
    counters_.counter("gateway_suspect_ends_total") += 1;
    if (is_logged(crash.fingerprint)) {
        log_event(log_level::information, "request_suspected",
                  {{"fingerprint", crash.fingerprint.to_hex()},
                   {"held", std::string(name_of(table_.suspicion_of(now, crash.fingerprint)))},
                   {"ends", std::to_string(table_.crash_count(crash.fingerprint))},
                   {"target", crash.incarnation.target},
                   {"started", std::to_string(crash.incarnation.started)},
                   {"known_from", std::string(source)}});
    }
    quarantine_if_due(crash.fingerprint, before);
    return true;
}

void suspect_exchange::quarantine_if_due(const digest& request, suspicion before) {
    if (before == suspicion::quarantined || suspicion_of(request) != suspicion::quarantined) {
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

/// Delays an action by a random time, so that it can see what other gateways have done meanwhile.
void suspect_exchange::after_writer_delay(std::function<void()> action) {
    const auto spread =
        static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(writer_delay.count())));
    loop_.call_after(writer_delay + microseconds(spread),
                     [action = std::move(action), alive = alive_] {
                         if (*alive) {
                             action();
                         }
                     });
}

/// The gateway that saw a crash may be gone before the log accepts the record. Without this, a
/// gateway that started after the log became reachable again sent a request to a fourth target
/// although two other gateways had it in quarantine.
void suspect_exchange::ensure_logged(const crash_evidence& crash) {
    after_writer_delay([this, crash] {
        if (!log_.holds(crash) && contains(crash)) {
            log_.add({&crash, 1});
        }
    });
}

/// Only this gateway may know that the request was completed.
void suspect_exchange::ensure_removed_from_log(const crash_evidence& crash) {
    after_writer_delay([this, crash] {
        if (log_.holds(crash)) {
            log_.drop({&crash, 1});
        }
    });
}

void suspect_exchange::remove_evidence(const crash_evidence& crash, std::string_view source) {
    if (is_prompt_part(crash.fingerprint)) {
        parts_.remove(crash, source);
        return;
    }
    const suspicion before = suspicion_of(crash.fingerprint);
    const bool was_logged = is_logged(crash.fingerprint);
    if (!table_.remove(crash) || !was_logged) {
        return;
    }
    log_event(log_level::information, "request_end_taken_back",
              {{"fingerprint", crash.fingerprint.to_hex()},
               {"held_before", std::string(name_of(before))},
               {"ends", std::to_string(table_.crash_count(crash.fingerprint))},
               {"target", crash.incarnation.target},
               {"known_from", std::string(source)}});
}

void suspect_exchange::record_success(const digest& request) {
    const bool urgent = is_urgent(request) || !log_.reachable();
    const bool was_logged = is_logged(request);
    const suspicion before = suspicion_of(request);
    const std::vector<crash_evidence> cleared = table_.record_success(monotonic_now(), request);
    if (cleared.empty()) {
        return;
    }
    counters_.counter("gateway_suspects_cleared_total") += 1;
    if (was_logged) {
        log_event(log_level::information, "request_cleared",
                  {{"fingerprint", request.to_hex()},
                   {"held_before", std::string(name_of(before))},
                   {"ends", std::to_string(cleared.size())}});
    }
    log_.drop(cleared);
    if (urgent) {
        broadcast(cleared, true);
    }
}

/// Many gateways may have survivors of a common part at the same time. Only a trial, of which there
/// is one in the fleet, is told to all.
void suspect_exchange::record_survival(const digest& part, instant began, bool is_trial) {
    const std::vector<crash_evidence> removed = parts_.record_survival(part, began);
    if (is_trial) {
        log_.drop(removed);
        broadcast(removed, true);
        return;
    }
    for (const crash_evidence& crash : removed) {
        ensure_removed_from_log(crash);
    }
}

void suspect_exchange::record_confirmed(const unconfirmed_response& response) {
    for (const digest& fingerprint : response.fingerprints) {
        if (is_prompt_part(fingerprint)) {
            record_survival(fingerprint, response.began, false);
        } else {
            record_success(fingerprint);
        }
    }
}

void suspect_exchange::broadcast(std::span<const crash_evidence> crashes, bool cleared) {
    if (crashes.empty()) {
        return;
    }
    const wire::Envelope message = make_message(crashes, cleared);
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
    const wire::SuspectNews& batch = message.suspect_news();
    if (batch.ends_size() > max_crashes_per_message) {
        counters_.counter("gateway_suspect_news_refused_total") += 1;
        log_event(log_level::error, "suspect_news_refused",
                  {{"ends", std::to_string(batch.ends_size())}});
        return true;
    }
    for (const wire::SuspectEnd& crash : batch.ends()) {
        if (crash.target().empty()) {
            continue;
        }
        if (batch.cleared()) {
            remove_evidence(from_wire(crash), "other entry");
        } else {
            on_peer_evidence(origin, from_wire(crash));
        }
    }
    return true;
}

void suspect_exchange::on_peer_evidence(const message_origin& origin, const crash_evidence& crash) {
    if (add_evidence(crash, "other entry")) {
        ensure_logged(crash);
        return;
    }
    ensure_removed_from_log(crash);
    bus_.answer(origin, make_message({&crash, 1}, true));
}

/// Only one gateway cleans up the log, the largest reachable one.
void suspect_exchange::tick(instant now) {
    parts_.update(now);
    counters_.gauge("gateway_suspects") = static_cast<double>(table_.size());
    if (now - last_eviction_ < eviction_period) {
        return;
    }
    last_eviction_ = now;
    std::erase_if(unshared_, [this](const crash_evidence& crash) {
        return log_.holds(crash) || !contains(crash);
    });
    std::vector<crash_evidence> dropped = table_.evict_expired(now);
    const std::vector<crash_evidence> dropped_of_parts = parts_.evict_expired(now);
    dropped.insert(dropped.end(), dropped_of_parts.begin(), dropped_of_parts.end());
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
