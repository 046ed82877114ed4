#include "roles/gateway/rollout_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "roles/gateway/rollout_codec.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How far apart a process's reports are: a roll-out is decided by answers that come over seconds.
constexpr microseconds shortest_report_period = milliseconds(250);

/// ... and more with many members, so that the decider takes no more than some 330 reports a
/// second, which is 230 KB/s at 700 bytes each.
constexpr microseconds report_period_a_member = milliseconds(3);

/// A decider that has said nothing for so long, and for so many periods, is passed over for the
/// rest. Some times what a lost packet takes to be sent again.
constexpr microseconds shortest_silence = milliseconds(600);
constexpr int silent_periods = 2;
constexpr microseconds first_silent_rest = seconds(2);
constexpr microseconds longest_silent_rest = seconds(16);

/// A process that hasn't looked for so long was frozen: what it waits for may lie unread.
constexpr microseconds longest_pause = milliseconds(800);

/// While an end is near: the last 400 ms before the deadline are for the last runs at old targets,
/// the word of it, and the append.
constexpr microseconds look_near_end = milliseconds(40);

/// A process that found a version bad by itself waits for the decider for so long before it writes
/// that itself.
constexpr microseconds stop_alone_after = milliseconds(500);

/// Where a process was that reported so long ago isn't told of changes.
constexpr microseconds told_for = seconds(5);

}  // namespace

struct rollout_exchange::state {
    struct reporter {
        message_origin origin;
        instant heard{};
    };

    /// How long a decider that didn't answer is passed over.
    struct rest {
        instant until{};
        microseconds length{};
    };

    /// What was last told of a roll-out, so that what is urgent goes at once.
    struct told_last {
        std::uint64_t order = 0;
        bool moved = false;
        bool found_bad = false;
        std::optional<instant> found_bad_since;
    };

    state(event_loop& of_loop, message_bus& of_bus, const token_allocator_selector& of_members,
          incarnation_id of_own, own_rollouts of_rollouts, rollout_ledger& of_ledger,
          metrics& of_counters, hooks needs)
        : loop(of_loop),
          bus(of_bus),
          members(of_members),
          own(of_own),
          rollouts(std::move(of_rollouts)),
          ledger(of_ledger),
          counters(of_counters),
          desk(own, needs.exposed_share, ledger, counters,
               {std::move(needs.targets_of), std::move(needs.judge), rollouts.is_withdrawn,
                [this](const rollout_directive& stand) { tell_all(stand); }}) {}

    ~state() { *alive = false; }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    microseconds report_period() const {
        const auto count = static_cast<std::int64_t>(members.members());
        return std::max(shortest_report_period, report_period_a_member * count);
    }

    microseconds longest_silence() const {
        return std::max(shortest_silence, silent_periods * report_period());
    }

    bool is_passed_over(instant now, const cluster_member& member) const {
        const auto found = silent.find(member.process);
        return member.process != own && found != silent.end() && found->second.until > now;
    }

    /// The largest member that answers this process; nothing if there is none.
    std::optional<cluster_member> choose_decider(instant now) const {
        for (cluster_member& member : members.largest_reachable(now, members.members())) {
            if (!is_passed_over(now, member)) {
                return std::move(member);
            }
        }
        return std::nullopt;
    }

    void tick(instant now) {
        const std::vector<rollout_order> orders = rollouts.orders();
        const bool was_frozen = last_tick && now - *last_tick > longest_pause;
        last_tick = now;
        desk.keep_orders(now, orders);
        if (orders.empty()) {
            is_decider = false;
            waiting_since.reset();
            return;
        }
        if (was_frozen) {
            waiting_since.reset();
        }
        ledger.start();
        look_for_silence(now);
        follow(choose_decider(now));
        report(now);
        stop_alone(now);
        if (is_decider) {
            decide(now);
        }
        look_again_soon(now);
    }

    /// A decider that was asked and didn't answer in time is passed over for a while.
    void look_for_silence(instant now) {
        if (!waiting_since || now - *waiting_since <= longest_silence()) {
            return;
        }
        waiting_since.reset();
        rest& present = silent[decider.process];
        present.length = std::clamp(2 * present.length, first_silent_rest, longest_silent_rest);
        present.until = now + present.length;
        counters.counter("rollout_deciders_silent_total") += 1;
        log_event(log_level::warning, "rollout_decider_silent",
                  {{"host", decider.host}, {"waited_ms", millis_text(longest_silence())}});
    }

    void follow(const std::optional<cluster_member>& chosen) {
        const cluster_member next = chosen.value_or(cluster_member{});
        if (next == decider) {
            return;
        }
        decider = next;
        is_decider = !next.host.empty() && next.process == own;
        waiting_since.reset();
        last_reported.reset();
        counters.counter("rollout_deciders_followed_total") += 1;
        log_event(log_level::information, "rollout_decider_followed",
                  {{"host", next.host},
                   {"process", std::to_string(raw(next.process))},
                   {"self", is_decider ? "yes" : "no"}});
    }

    /// Reports when that is due, and at once what others wait for: that this process has moved, or
    /// found the version bad.
    void report(instant now) {
        std::vector<entry_rollouts::told_evidence> reports = rollouts.reports(now);
        bool urgent = false;
        for (entry_rollouts::told_evidence& each : reports) {
            // Another decider may take the move back: then only it may complete.
            each.report.moved =
                each.report.moved && follows_owner(each.report.service, each.report.order);
            urgent = note_told(now, each.report) || urgent;
        }
        const bool due = !last_reported || now - *last_reported >= report_period();
        if (decider.host.empty() || (!due && !urgent)) {
            return;
        }
        last_reported = now;
        for (const entry_rollouts::told_evidence& each : reports) {
            send(now, each);
        }
    }

    /// True if a report says what its predecessor didn't and can't wait.
    bool note_told(instant now, const rollout_report& report) {
        told_last& last = told[report.service];
        if (last.order != report.order) {
            last = {};
            last.order = report.order;
        }
        const bool urgent = report.moved != last.moved || report.found_bad != last.found_bad;
        last.moved = report.moved;
        last.found_bad = report.found_bad;
        if (report.found_bad && !last.found_bad_since) {
            last.found_bad_since = now;
        }
        return urgent;
    }

    void send(instant now, const entry_rollouts::told_evidence& told_evidence) {
        if (is_decider) {
            desk.take(now, {own, told_evidence.report, told_evidence.evidence});
            return;
        }
        wire::Envelope message;
        *message.mutable_rollout_report() =
            to_wire(own, told_evidence.report, told_evidence.evidence);
        bus.send(decider.endpoint, message);
        counters.counter("rollout_reports_sent_total") += 1;
        waiting_since = waiting_since.value_or(now);
    }

    /// A version that this process found bad is stopped by it if nobody else does so.
    void stop_alone(instant now) {
        if (!ledger.live()) {
            return;
        }
        for (const rollout_order& order : rollouts.orders()) {
            const auto found = told.find(order.service);
            const bool is_due = found != told.end() && found->second.order == order.number &&
                                found->second.found_bad_since &&
                                now - *found->second.found_bad_since >= stop_alone_after;
            const rollout_record* record = ledger.table().find(order.service);
            const bool runs = record != nullptr && record->order == order.number &&
                              record->state == rollout_state::running;
            if (is_due && runs) {
                counters.counter("rollouts_stopped_alone_total") += 1;
                ledger.propose({order.service, order.number, order.version,
                                rollout_state::rolled_back, record->elapsed, own,
                                "found bad by this process alone"});
            }
        }
    }

    void decide(instant now) {
        desk.decide(now, members.largest_known(members.members()), report_period());
        for (const rollout_directive& stand : desk.stands()) {
            rollouts.told(now, stand);
        }
    }

    /// Tells all processes that reported of late of a change.
    void tell_all(const rollout_directive& stand) {
        const instant now = monotonic_now();
        std::erase_if(reporters,
                      [&](const auto& each) { return now - each.second.heard > told_for; });
        wire::Envelope message;
        *message.mutable_rollout_stand() = to_wire(stand);
        for (const auto& [process, each] : reporters) {
            bus.answer(each.origin, message);
        }
        counters.counter("rollout_stands_pushed_total") += reporters.size();
    }

    /// True if this process was told that a version is moved to and the end isn't there.
    bool moves(instant now) const {
        const std::vector<entry_rollouts::told_evidence> reports = rollouts.reports(now);
        return std::any_of(reports.begin(), reports.end(),
                           [](const auto& each) { return each.phase == rollout_phase::moving; });
    }

    /// The end needs all reports and words in a fraction of a second.
    void look_again_soon(instant now) {
        const bool is_near = is_decider ? desk.is_moving() : moves(now);
        if (!is_near || std::exchange(looks_soon, true)) {
            return;
        }
        loop.call_after(look_near_end, [this, still = alive] {
            if (*still) {
                looks_soon = false;
                tick(monotonic_now());
            }
        });
    }

    void on_report(const message_origin& origin, const wire::RolloutReport& message) {
        std::optional<told_rollout> read = from_wire(message);
        if (!read) {
            counters.counter("rollout_messages_damaged_total") += 1;
            return;
        }
        const instant now = monotonic_now();
        counters.counter("rollout_reports_taken_total") += 1;
        reporters[read->process] = {origin, now};
        const std::string service = read->report.service;
        const std::uint64_t order = read->report.order;
        const bool urgent = desk.take(now, std::move(*read));
        if (is_decider && urgent) {
            decide(now);
        }
        answer(origin, service, order);
    }

    /// The stand, or one without a version, which says only that this process is there.
    void answer(const message_origin& origin, const std::string& service, std::uint64_t order) {
        rollout_directive nothing;
        nothing.service = service;
        nothing.order = order;
        const rollout_directive* stand = is_decider ? desk.stand_of(service, order) : nullptr;
        wire::Envelope message;
        *message.mutable_rollout_stand() = to_wire(stand != nullptr ? *stand : nothing);
        bus.answer(origin, message);
    }

    /// True if the one that this process follows decides by the log too, as far as it was read
    /// here.
    bool follows_owner(const std::string& service, std::uint64_t order) const {
        const rollout_record* record = ledger.table().find(service);
        return record != nullptr && record->order == order && record->decider == decider.process;
    }

    /// How a version is used is the word of the one that the log names; anyone may stop it.
    bool counts(const rollout_directive& stand) const {
        const bool uses =
            stand.phase == rollout_phase::canary || stand.phase == rollout_phase::moving;
        return !uses || follows_owner(stand.service, stand.order);
    }

    /// Only the word of the decider that this process follows counts: one that froze and wakes may
    /// say what is long past.
    void on_stand(const message_origin& origin, const wire::RolloutStand& message) {
        const std::optional<rollout_directive> stand = from_wire(message);
        if (!stand) {
            counters.counter("rollout_messages_damaged_total") += 1;
            return;
        }
        if (is_decider || origin.endpoint != decider.endpoint) {
            counters.counter("rollout_stands_ignored_total") += 1;
            return;
        }
        waiting_since.reset();
        silent.erase(decider.process);
        if (!stand->version.empty() && counts(*stand)) {
            const instant now = monotonic_now();
            rollouts.told(now, *stand);
            look_again_soon(now);
        }
    }

    event_loop& loop;
    message_bus& bus;
    const token_allocator_selector& members;
    incarnation_id own;
    own_rollouts rollouts;
    rollout_ledger& ledger;
    metrics& counters;
    rollout_desk desk;
    /// Whom this process follows, and whether that is itself.
    cluster_member decider;
    bool is_decider = false;
    /// Deciders that didn't answer.
    std::map<incarnation_id, rest> silent;
    /// Since when a report waits for an answer.
    std::optional<instant> waiting_since;
    std::optional<instant> last_reported;
    std::optional<instant> last_tick;
    std::map<std::string, told_last> told;
    std::map<incarnation_id, reporter> reporters;
    bool looks_soon = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

rollout_exchange::rollout_exchange(event_loop& loop, message_bus& bus,
                                   const token_allocator_selector& members, incarnation_id own,
                                   own_rollouts rollouts, rollout_ledger& ledger, metrics& counters,
                                   hooks needs)
    : state_(std::make_unique<state>(loop, bus, members, own, std::move(rollouts), ledger, counters,
                                     std::move(needs))) {}

rollout_exchange::~rollout_exchange() = default;

void rollout_exchange::tick(instant now) {
    state_->tick(now);
}

bool rollout_exchange::decides() const {
    return state_->is_decider;
}

bool rollout_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_rollout_report()) {
        state_->on_report(origin, message.rollout_report());
        return true;
    }
    if (message.has_rollout_stand()) {
        state_->on_stand(origin, message.rollout_stand());
        return true;
    }
    return false;
}

}  // namespace wrenswitch
