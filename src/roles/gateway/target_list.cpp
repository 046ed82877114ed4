#include "roles/gateway/target_list.hpp"

#include <algorithm>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// The maximum length of the findings in a log line, since the entries are written by other
/// processes.
constexpr std::size_t max_logged_bytes = 300;

std::string format_start(const gateway_target& target) {
    return target.started ? std::to_string(*target.started) : "";
}

}  // namespace

void target_list::apply(instant now, const keyed_record& record) {
    if (!record.value) {
        remove_target(now, record.key);
        return;
    }
    const result<listed_target> read = hooks_.parse(record.key, *record.value);
    if (!read) {
        report_unreadable(record, read.error().message);
        return;
    }
    if (unreadable_entries_.erase(record.key) > 0) {
        log_event(log_level::information, "target_entry_readable", {{"target", record.key}});
    }
    update_target(now, record, read.value());
}

void target_list::remove_target(instant now, const std::string& id) {
    targets_.remove(now, id);
    report_removal(id, "removed");
}

void target_list::remove_lost(instant now, const std::string& id) {
    targets_.remove_lost(now, id);
    report_removal(id, "lost");
}

void target_list::report_removal(const std::string& id, std::string_view reason) {
    unreadable_entries_.erase(id);
    hooks_.log_change("target_unlisted", {{"target", id}, {"reason", std::string(reason)}});
    hooks_.on_unlisted(id);
}

/// Logged when an entry becomes unreadable or its findings change, but not at each renewal of the
/// entry.
void target_list::report_unreadable(const keyed_record& record, const std::string& why) {
    counters_.counter("gateway_targets_unreadable_total") += 1;
    targets_.mark_unreadable(record.key);
    std::string summary = why.substr(0, max_logged_bytes);
    std::replace(summary.begin(), summary.end(), '\n', ';');
    std::string& logged_summary = unreadable_entries_[record.key];
    if (logged_summary == summary) {
        return;
    }
    logged_summary = summary;
    log_event(log_level::error, "target_entry_unreadable",
              {{"target", record.key},
               {"offset", std::to_string(record.offset)},
               {"known", targets_.find(record.key) == nullptr ? "no" : "yes"},
               {"findings", summary}});
}

bool target_list::is_stale_entry(const gateway_target& target, const gateway_target* known) const {
    return known != nullptr && known->started && target.started &&
           *target.started < *known->started;
}

/// Drops the state of the previous process if the target was restarted, and the connections if it
/// was restarted or moved to another address. Returns true for a restart.
bool target_list::handle_restart(const gateway_target& target, const gateway_target* known) {
    if (known == nullptr) {
        return false;
    }
    const bool is_restarted = known->started && target.started && *target.started > *known->started;
    if (is_restarted) {
        counters_.counter("gateway_targets_restarted_total") += 1;
        log_event(log_level::information, "target_restarted",
                  {{"target", target.id},
                   {"started", format_start(target)},
                   {"started_before", format_start(*known)},
                   {"dropped", targets_.describe(monotonic_now(), target.id)}});
        targets_.on_restarted(target.id);
        hooks_.on_restarted(target.id);
    }
    if (is_restarted || known->address != target.address) {
        hooks_.on_replaced(target.id);
    }
    return is_restarted;
}

void target_list::update_target(instant now, const keyed_record& record,
                                const listed_target& entry) {
    const gateway_target& target = entry.target;
    const gateway_target* known = targets_.find(record.key);
    if (is_stale_entry(target, known)) {
        // A late entry of the previous process.
        counters_.counter("gateway_target_entries_late_total") += 1;
        return;
    }
    const bool is_new = known == nullptr;
    const bool is_changed = is_new || !(*known == target);
    const bool restarted = handle_restart(target, known);
    // A restored store reuses offsets, so they can't order entries.
    targets_.apply(target, ++entry_sequence_);
    targets_.mark_cold(now, target.id, entry.cold_remaining);
    if (is_new || restarted) {
        targets_.quarantine_new_version(now, target.id);
    }
    if (is_changed) {
        hooks_.log_change("target_listed", {{"target", target.id},
                                            {"service", target.service},
                                            {"address", target.address},
                                            {"version", target.version},
                                            {"started", format_start(target)},
                                            {"leaving", target.draining ? "yes" : "no"},
                                            {"cold_ms", millis_text(entry.cold_remaining)}});
    }
}

}  // namespace wrenswitch
