// The faults of a contended domain.

#include <algorithm>
#include <array>
#include <csignal>

#include "soak/contended_domain.hpp"

namespace wrenswitch::testing {
namespace {

/// Shorter than the callers' patience.
constexpr std::int64_t max_freeze_ms = 2500;
/// Longer than `contended_caller::fault_effect`, so that entries that don't return although too
/// many are out are found.
constexpr std::int64_t max_outage_ms = 4500;
constexpr std::int64_t min_fault_ms = 1000;
constexpr std::int64_t min_pause_ms = 300;
constexpr std::int64_t max_pause_ms = 800;

}  // namespace

/// Each three faults are one of each kind, and one of them concerns the high-bandwidth entry.
void contended_domain::plan_faults(microseconds flood_length) {
    const auto between = [this](std::int64_t least, std::int64_t most) {
        const auto range = static_cast<std::uint64_t>(most - least);
        return milliseconds(least + static_cast<std::int64_t>(random_.below(range)));
    };
    std::array kinds{fault_kind::kill, fault_kind::freeze, fault_kind::stop};
    for (microseconds planned{}; planned < flood_length;) {
        std::shuffle(kinds.begin(), kinds.end(), random_.engine());
        const std::size_t wide_turn = random_.below(kinds.size());
        for (std::size_t turn = 0; turn < kinds.size(); ++turn) {
            fault next;
            next.kind = kinds[turn];
            next.entry = turn == wide_turn ? wide_entry : 1 + random_.below(entry_count - 1);
            next.pause = between(min_pause_ms, max_pause_ms);
            next.length = between(min_fault_ms,
                                  next.kind == fault_kind::freeze ? max_freeze_ms : max_outage_ms);
            planned += next.pause + next.length;
            faults_.push_back(next);
        }
    }
}

void contended_domain::update_faults(instant now) {
    if (now < fault_due_ || next_fault_ >= faults_.size()) {
        return;
    }
    if (fault_active_) {
        end_fault(now);
    } else {
        begin_fault(now);
    }
}

void contended_domain::begin_fault(instant now) {
    const fault& next = faults_[next_fault_];
    contended_entry& entry = entries_[next.entry];
    const test::child_process& process = *gateways_[next.entry].process;
    switch (next.kind) {
        case fault_kind::kill:
            process.signal(SIGKILL);
            fault_summary_ += " kill";
            break;
        case fault_kind::freeze:
            process.signal(SIGSTOP);
            fault_summary_ += " freeze";
            break;
        case fault_kind::stop:
            process.signal(SIGTERM);
            fault_summary_ += " stop";
            break;
    }
    fault_summary_ += " entry " + std::to_string(next.entry) + " for " +
                      std::to_string(next.length / milliseconds(1)) + " ms;";
    entry.running = false;
    entry.last_fault = now;
    entry.hard_faults += next.kind == fault_kind::stop ? 0 : 1;
    fault_active_ = true;
    fault_due_ = now + next.length;
}

void contended_domain::end_fault(instant now) {
    const fault& ended = faults_[next_fault_];
    gateway& subject = gateways_[ended.entry];
    if (ended.kind == fault_kind::freeze) {
        subject.process->signal(SIGCONT);
        entries_[ended.entry].running = true;
    } else {
        if (!subject.process->ended()) {
            // Still drains: it is killed, and loses the requests that it was draining.
            entries_[ended.entry].hard_faults += 1;
        }
        start_gateway(ended.entry);
    }
    entries_[ended.entry].last_fault = now;
    fault_active_ = false;
    next_fault_ += 1;
    if (next_fault_ < faults_.size()) {
        fault_due_ = now + faults_[next_fault_].pause;
    }
}

}  // namespace wrenswitch::testing
