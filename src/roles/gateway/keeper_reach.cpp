#include "roles/gateway/keeper_reach.hpp"

#include <algorithm>
#include <utility>

#include "roles/gateway/lag_watch.hpp"

namespace wrenswitch {
namespace {

/// A keeper that has said nothing for this long after an ask is out of reach: some times what a
/// lost packet takes to be sent again.
constexpr microseconds longest_silence = milliseconds(300);

}  // namespace

keeper_reach::keeper_reach(event_loop& loop, metrics& counters, hooks needs)
    : loop_(loop), counters_(counters), hooks_(std::move(needs)) {}

keeper_reach::~keeper_reach() {
    *alive_ = false;
}

void keeper_reach::answered(const cluster_member& keeper, instant asked) {
    const instant now = monotonic_now();
    heard_[keeper.host] = now;
    answered_ask_ = std::max(answered_ask_, asked);
    silent_.erase(keeper.host);
    hooks_.keeper_answered(keeper.host);
    hooks_.answered_after(keeper, now - asked);
}

void keeper_reach::answered_late(std::uint64_t run) {
    if (const auto late = late_.extract(run); !late.empty()) {
        answered(late.mapped().keeper, late.mapped().asked);
    }
}

void keeper_reach::no_answer(std::uint64_t run, const cluster_member& keeper, instant asked) {
    watch(keeper, asked);
    remember_late(run, keeper, asked);
}

void keeper_reach::watch(const cluster_member& keeper, instant asked) {
    const std::string& host = keeper.host;
    const auto heard = heard_.find(host);
    const bool answered_since = heard != heard_.end() && heard->second >= asked;
    if (answered_since || !silent_.insert(host).second) {
        return;
    }
    const microseconds longest = longest_silence + hooks_.round_trip(keeper);
    const instant due = monotonic_now() + longest;
    loop_.call_after(longest, [this, host, asked, due, alive = alive_] {
        if (!*alive) {
            return;
        }
        // The answer may lie unread in a process that is this late itself.
        const bool late = monotonic_now() - due > late_timer_threshold;
        if (silent_.erase(host) > 0 && !late) {
            counters_.counter("placement_keepers_silent_total") += 1;
            hooks_.keeper_silent(host, answered_ask_ > asked);
        }
    });
}

/// What comes too late from a far keeper still tells how far it is, and that it isn't lost: else a
/// way that became longer than what is waited for would never be learnt.
void keeper_reach::remember_late(std::uint64_t run, const cluster_member& keeper, instant asked) {
    if (hooks_.round_trip(keeper) == microseconds(0)) {
        return;
    }
    late_.insert_or_assign(run, late_ask{keeper, asked});
    loop_.call_after(longest_silence, [this, run, alive = alive_] {
        if (*alive) {
            late_.erase(run);
        }
    });
}

}  // namespace wrenswitch
