#include "roles/gateway/target_list.hpp"

#include <algorithm>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// A line doesn't hold more of what another writer's entry may bring.
constexpr std::size_t most_told_bytes = 300;

std::string started_text(const gateway_target& target) {
    return target.started ? std::to_string(*target.started) : "";
}

}  // namespace

void target_list::changed(instant now, const keyed_record& record) {
    if (!record.value) {
        unlisted(now, record.key);
        return;
    }
    const result<listed_target> read = hooks_.read(record.key, *record.value);
    if (!read) {
        unreadable(record, read.error().message);
        return;
    }
    if (unreadable_.erase(record.key) > 0) {
        log_event(log_level::information, "target_entry_readable", {{"target", record.key}});
    }
    listed(now, record, read.value());
}

void target_list::unlisted(instant now, const std::string& id) {
    unreadable_.erase(id);
    targets_.remove(now, id);
    log_event(log_level::information, "target_unlisted", {{"target", id}});
    hooks_.unlisted(id);
}

/// Told when it turns unreadable or is so in another way, not with each beat.
void target_list::unreadable(const keyed_record& record, const std::string& why) {
    counters_.counter("gateway_targets_unreadable_total") += 1;
    targets_.mark_unreadable(record.key);
    std::string told = why.substr(0, most_told_bytes);
    std::replace(told.begin(), told.end(), '\n', ';');
    std::string& before = unreadable_[record.key];
    if (before == told) {
        return;
    }
    before = told;
    log_event(log_level::error, "target_entry_unreadable",
              {{"target", record.key},
               {"offset", std::to_string(record.offset)},
               {"known", targets_.find(record.key) == nullptr ? "no" : "yes"},
               {"findings", told}});
}

bool target_list::is_of_older_start(const gateway_target& target,
                                    const gateway_target* known) const {
    return known != nullptr && known->started && target.started &&
           *target.started < *known->started;
}

/// True if the target's process is another one than before. What is known of the one before ends.
bool target_list::look_for_restart(const gateway_target& target, const gateway_target* known) {
    if (known == nullptr) {
        return false;
    }
    const bool again = known->started && target.started && *target.started > *known->started;
    if (again) {
        counters_.counter("gateway_targets_restarted_total") += 1;
        log_event(log_level::information, "target_restarted",
                  {{"target", target.id},
                   {"started", started_text(target)},
                   {"started_before", started_text(*known)},
                   {"dropped", targets_.describe(monotonic_now(), target.id)}});
        targets_.on_restarted(target.id);
        hooks_.restarted(target.id);
    }
    if (again || known->address != target.address) {
        hooks_.replaced(target.id);
    }
    return again;
}

void target_list::listed(instant now, const keyed_record& record, const listed_target& entry) {
    const gateway_target& target = entry.target;
    const gateway_target* known = targets_.find(record.key);
    if (is_of_older_start(target, known)) {
        // A word of the process before that came late.
        counters_.counter("gateway_target_entries_late_total") += 1;
        return;
    }
    const bool is_new = known == nullptr;
    const bool news = is_new || !(*known == target);
    const bool restarted = look_for_restart(target, known);
    // A restored store reuses offsets, so they can't order entries.
    targets_.apply(target, ++entry_sequence_);
    targets_.mark_cold(now, target.id, entry.cold_remaining);
    if (is_new || restarted) {
        targets_.quarantine_new_version(now, target.id);
    }
    if (news) {
        log_event(log_level::information, "target_listed",
                  {{"target", target.id},
                   {"service", target.service},
                   {"address", target.address},
                   {"started", started_text(target)},
                   {"leaving", target.draining ? "yes" : "no"},
                   {"cold_ms", millis_text(entry.cold_remaining)}});
    }
}

}  // namespace wrenswitch
