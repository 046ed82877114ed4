#include "roles/gateway/part_suspect_tracker.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace wrenswitch {
namespace {

/// How long an attempt may show that a part known as sound had nothing to do with a crash.
constexpr microseconds survivor_wait = milliseconds(500);

/// Parts with fewer crashes get no log line of their own: most were only beside the one that
/// caused the crash.
constexpr std::size_t logged_crashes = 2;

/// Crashes that are said to be older count as this old.
constexpr microseconds max_crash_age = part_suspect_settings{}.evidence_retention;

/// From this many crashes on a part may be quarantined without waiting for the next update.
constexpr std::size_t immediate_crashes = part_suspect_settings{}.certain_threshold;

/// When a crash happened, by this host's clock. One in the future, by a clock that is ahead, is
/// now, and so is an unknown one.
instant time_of(instant now, const crash_evidence& crash) {
    const std::int64_t unix_now = unix_milliseconds_now();
    if (crash.crashed <= 0 || crash.crashed >= unix_now) {
        return now;
    }
    return now - std::min<microseconds>(max_crash_age, milliseconds(std::min<std::int64_t>(
                                                           unix_now - crash.crashed,
                                                           max_crash_age / milliseconds(1))));
}

/// The age of a time in milliseconds, for logs; empty if there is none.
std::string age_text(instant now, const std::optional<instant>& at) {
    return at ? millis_text(now - *at) : "";
}

}  // namespace

part_suspect_tracker::part_suspect_tracker(event_loop& loop, metrics& counters,
                                           const part_suspect_settings& settings, hooks callbacks)
    : loop_(loop),
      counters_(counters),
      hooks_(std::move(callbacks)),
      trial_turn_(settings.trial_turn),
      table_(settings) {}

part_suspect_tracker::~part_suspect_tracker() {
    *alive_ = false;
}

bool part_suspect_tracker::awaits_survivor(const crash_evidence& crash) {
    const instant now = monotonic_now();
    if (!table_.is_survived_recently(now, crash.fingerprint)) {
        return false;
    }
    loop_.call_after(survivor_wait, [this, crash, now, alive = alive_] {
        if (*alive && !table_.is_survived_since(crash.fingerprint, now)) {
            hooks_.share(crash);
        }
    });
    return true;
}

void part_suspect_tracker::add(const crash_evidence& crash, std::string_view source) {
    const instant now = monotonic_now();
    if (!table_.add(now, crash, time_of(now, crash))) {
        return;
    }
    counters_.counter("gateway_part_crashes_total") += 1;
    log_suspected(crash, source);
    if (table_.record_of(crash.fingerprint).crashes >= immediate_crashes) {
        update(now);
    }
}

void part_suspect_tracker::log_suspected(const crash_evidence& crash,
                                         std::string_view source) const {
    const part_record record = table_.record_of(crash.fingerprint);
    if (record.crashes < logged_crashes) {
        return;
    }
    const instant now = monotonic_now();
    log_event(log_level::warning, "part_suspected",
              {{"part", part_name(crash.fingerprint)},
               {"held", std::string(name_of(table_.suspicion_of(now, crash.fingerprint)))},
               {"ends", std::to_string(record.crashes)},
               {"target", crash.incarnation.target},
               {"started", std::to_string(crash.incarnation.started)},
               {"known_from", std::string(source)},
               {"age_ms", millis_text(now - record.first_crash)},
               {"survived_ms_ago", age_text(now, record.survived)}});
}

void part_suspect_tracker::remove(const crash_evidence& crash, std::string_view source) {
    const std::string held_before(name_of(table_.suspicion_of(monotonic_now(), crash.fingerprint)));
    if (!table_.withdraw(crash) || held_before == name_of(suspicion::none)) {
        return;
    }
    log_event(log_level::information, "part_end_taken_back",
              {{"part", part_name(crash.fingerprint)},
               {"held_before", held_before},
               {"ends", std::to_string(table_.record_of(crash.fingerprint).crashes)},
               {"target", crash.incarnation.target},
               {"known_from", std::string(source)}});
}

std::vector<crash_evidence> part_suspect_tracker::record_survival(const digest& part,
                                                                  instant began) {
    const instant now = monotonic_now();
    const suspicion before = table_.suspicion_of(now, part);
    std::vector<crash_evidence> removed = table_.record_survival(part, began);
    if (!removed.empty() && before != suspicion::none) {
        counters_.counter("gateway_parts_acquitted_total") += 1;
        log_event(log_level::information, "part_acquitted",
                  {{"part", part_name(part)},
                   {"held_before", std::string(name_of(before))},
                   {"ends", std::to_string(removed.size())},
                   {"began_ms_ago", millis_text(now - began)}});
    }
    return removed;
}

suspicion part_suspect_tracker::suspicion_of(const digest& part) const {
    return table_.suspicion_of(monotonic_now(), part);
}

bool part_suspect_tracker::is_trial_due(const digest& part) const {
    return !trials_.contains(part) && table_.is_trial_due(monotonic_now(), part);
}

bool part_suspect_tracker::may_try(const digest& part) const {
    if (!is_trial_due(part)) {
        return false;
    }
    const part_record record = table_.record_of(part);
    const auto turn = (monotonic_now() - record.last_crash) / trial_turn_;
    return hooks_.is_first_for(part_name(part) + "/" + std::to_string(record.crashes) + "/" +
                               std::to_string(turn));
}

bool part_suspect_tracker::may_stand_beside(const digest& part, const digest& tried) const {
    const bool is_quarantined = suspicion_of(part) == suspicion::quarantined;
    return is_quarantined ? is_trial_due(part)
                          : table_.is_less_suspect(monotonic_now(), part, tried);
}

bool part_suspect_tracker::may_try_any(std::span<const digest> parts) const {
    return std::any_of(parts.begin(), parts.end(), [&](const digest& tried) {
        return may_try(tried) && std::all_of(parts.begin(), parts.end(), [&](const digest& other) {
                   return other == tried || may_stand_beside(other, tried);
               });
    });
}

bool part_suspect_tracker::try_begin_trial(const digest& part) {
    if (!trials_.insert(part).second) {
        return false;
    }
    counters_.counter("gateway_parts_tried_total") += 1;
    log_event(
        log_level::warning, "part_tried",
        {{"part", part_name(part)}, {"ends", std::to_string(table_.record_of(part).crashes)}});
    return true;
}

void part_suspect_tracker::update(instant now) {
    counters_.gauge("gateway_suspected_parts") = static_cast<double>(table_.size());
    for (const digest& part : table_.quarantine_due(now)) {
        const part_record record = table_.record_of(part);
        counters_.counter("gateway_parts_quarantined_total") += 1;
        log_event(log_level::warning, "part_quarantined",
                  {{"part", part_name(part)},
                   {"ends", std::to_string(record.crashes)},
                   {"age_ms", millis_text(now - record.first_crash)},
                   {"survived_ms_ago", age_text(now, record.survived)}});
        loop_.call_after(microseconds(0), [this, part, alive = alive_] {
            if (*alive) {
                hooks_.quarantined(part);
            }
        });
    }
}

}  // namespace wrenswitch
