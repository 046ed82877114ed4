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

/// The minimum time between a process's reports; a rollout is decided on responses that arrive over
/// seconds.
constexpr microseconds min_report_period = milliseconds(250);

/// The period grows with the number of members, so that the decider gets at most about 330 reports
/// a second, which is 230 KB/s at 700 bytes each.
constexpr microseconds report_period_per_member = milliseconds(3);

/// A decider that hasn't replied for this long, and for this many report periods, is skipped for
/// the backoff time. The minimum is a few times the retransmission time of a lost packet.
constexpr microseconds min_reply_timeout = milliseconds(600);
constexpr int reply_timeout_periods = 2;
constexpr microseconds initial_backoff = seconds(2);
constexpr microseconds max_backoff = seconds(16);

/// A process that hasn't run a tick for this long was frozen; replies may be waiting unread.
constexpr microseconds frozen_threshold = milliseconds(800);

/// The tick period in the moving phase. The last 400 ms before the deadline must hold the last
/// attempts at old targets, the reports on them and the append to the log.
constexpr microseconds cutover_tick_period = milliseconds(40);

/// How long a process that found a version bad by itself waits for the decider before it writes the
/// rollback to the log.
constexpr microseconds independent_stop_delay = milliseconds(500);

/// Processes whose last report is older than this aren't sent changes.
constexpr microseconds reporter_lifetime = seconds(5);

}  // namespace

struct rollout_exchange::state {
    struct reporter {
        message_origin origin;
        instant last_report_at{};
    };

    /// How long a decider that didn't reply is skipped.
    struct backoff {
        instant until{};
        microseconds duration{};
    };

    /// The last report on a rollout, to detect changes that must be sent at once.
    struct last_report {
        std::uint64_t order = 0;
        bool moved = false;
        bool found_bad = false;
        std::optional<instant> found_bad_since;
    };

    state(event_loop& of_loop, message_bus& of_bus, const token_allocator_selector& of_members,
          incarnation_id of_own, local_rollouts of_rollouts, rollout_ledger& of_ledger,
          metrics& of_counters, hooks needs)
        : loop(of_loop),
          bus(of_bus),
          members(of_members),
          own(of_own),
          rollouts(std::move(of_rollouts)),
          ledger(of_ledger),
          counters(of_counters),
          deciders(
              own, needs.exposed_share, ledger, counters,
              {std::move(needs.count_targets), std::move(needs.evaluate), rollouts.is_withdrawn,
               [this](const rollout_directive& directive) { broadcast(directive); }}) {}

    ~state() { *alive = false; }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    microseconds report_period() const {
        const auto count = static_cast<std::int64_t>(members.members());
        return std::max(min_report_period, report_period_per_member * count);
    }

    microseconds reply_timeout() const {
        return std::max(min_reply_timeout, reply_timeout_periods * report_period());
    }

    bool is_backed_off(instant now, const cluster_member& member) const {
        const auto found = backoffs.find(member.process);
        return member.process != own && found != backoffs.end() && found->second.until > now;
    }

    /// The largest member that replies to this process; empty if there is none.
    std::optional<cluster_member> choose_decider(instant now) const {
        for (cluster_member& member : members.largest_reachable(now, members.members())) {
            if (!is_backed_off(now, member)) {
                return std::move(member);
            }
        }
        return std::nullopt;
    }

    void tick(instant now) {
        const std::vector<rollout_order> orders = rollouts.orders();
        const bool was_frozen = last_tick && now - *last_tick > frozen_threshold;
        last_tick = now;
        deciders.set_orders(now, orders);
        if (orders.empty()) {
            is_decider = false;
            waiting_since.reset();
            return;
        }
        if (was_frozen) {
            waiting_since.reset();
        }
        ledger.start();
        check_reply_timeout(now);
        follow(choose_decider(now));
        report(now);
        stop_independently(now);
        if (is_decider) {
            decide(now);
        }
        schedule_early_tick(now);
    }

    /// Skips a decider for a while if it didn't reply to a report in time.
    void check_reply_timeout(instant now) {
        if (!waiting_since || now - *waiting_since <= reply_timeout()) {
            return;
        }
        waiting_since.reset();
        backoff& current = backoffs[decider.process];
        current.duration = std::clamp(2 * current.duration, initial_backoff, max_backoff);
        current.until = now + current.duration;
        counters.counter("rollout_deciders_silent_total") += 1;
        log_event(log_level::warning, "rollout_decider_silent",
                  {{"host", decider.host}, {"waited_ms", millis_text(reply_timeout())}});
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

    /// Sends reports when they are due, and at once when they hold news that others wait for: this
    /// process has moved, or found the version bad.
    void report(instant now) {
        std::vector<rollout_gates::local_report> reports = rollouts.reports(now);
        bool urgent = false;
        for (rollout_gates::local_report& each : reports) {
            // Another decider may undo the move, in which case only that one may complete it.
            each.report.moved =
                each.report.moved && follows_log_decider(each.report.service, each.report.order);
            urgent = record_urgency(now, each.report) || urgent;
        }
        const bool due = !last_reported || now - *last_reported >= report_period();
        if (decider.host.empty() || (!due && !urgent)) {
            return;
        }
        last_reported = now;
        for (const rollout_gates::local_report& each : reports) {
            send(now, each);
        }
    }

    /// True if the report differs from its predecessor in something that must be sent at once.
    bool record_urgency(instant now, const rollout_report& report) {
        last_report& last = last_reports[report.service];
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

    void send(instant now, const rollout_gates::local_report& local_report) {
        if (is_decider) {
            deciders.record_report(now, {own, local_report.report, local_report.evidence});
            return;
        }
        wire::Envelope message;
        *message.mutable_rollout_report() =
            to_wire(own, local_report.report, local_report.evidence);
        bus.send(decider.endpoint, message);
        counters.counter("rollout_reports_sent_total") += 1;
        waiting_since = waiting_since.value_or(now);
    }

    /// Rolls back a version that this process found bad if no other process does.
    void stop_independently(instant now) {
        if (!ledger.live()) {
            return;
        }
        for (const rollout_order& order : rollouts.orders()) {
            const auto found = last_reports.find(order.service);
            const bool is_due = found != last_reports.end() &&
                                found->second.order == order.number &&
                                found->second.found_bad_since &&
                                now - *found->second.found_bad_since >= independent_stop_delay;
            const rollout_record* record = ledger.table().find(order.service);
            const bool is_running = record != nullptr && record->order == order.number &&
                                    record->state == rollout_state::running;
            if (is_due && is_running) {
                counters.counter("rollouts_stopped_alone_total") += 1;
                ledger.propose({order.service, order.number, order.version,
                                rollout_state::rolled_back, record->elapsed, own,
                                "found bad by this process alone"});
            }
        }
    }

    void decide(instant now) {
        deciders.decide(now, members.largest_known(members.members()), report_period());
        for (const rollout_directive& directive : deciders.directives()) {
            rollouts.on_directive(now, directive);
        }
    }

    /// Sends a changed directive to all processes that have reported recently.
    void broadcast(const rollout_directive& directive) {
        const instant now = monotonic_now();
        std::erase_if(reporters, [&](const auto& each) {
            return now - each.second.last_report_at > reporter_lifetime;
        });
        wire::Envelope message;
        *message.mutable_rollout_stand() = to_wire(directive);
        for (const auto& [process, each] : reporters) {
            bus.answer(each.origin, message);
        }
        counters.counter("rollout_stands_pushed_total") += reporters.size();
    }

    /// True if this process has a directive to move to a version and the rollout hasn't ended.
    bool is_moving(instant now) const {
        const std::vector<rollout_gates::local_report> reports = rollouts.reports(now);
        return std::any_of(reports.begin(), reports.end(),
                           [](const auto& each) { return each.phase == rollout_phase::moving; });
    }

    /// In the moving phase, reports and directives must arrive within a fraction of a second.
    void schedule_early_tick(instant now) {
        const bool near_cutover = is_decider ? deciders.has_moving() : is_moving(now);
        if (!near_cutover || std::exchange(early_tick_scheduled, true)) {
            return;
        }
        loop.call_after(cutover_tick_period, [this, still = alive] {
            if (*still) {
                early_tick_scheduled = false;
                tick(monotonic_now());
            }
        });
    }

    void on_report(const message_origin& origin, const wire::RolloutReport& message) {
        std::optional<process_report> read = from_wire(message);
        if (!read) {
            counters.counter("rollout_messages_damaged_total") += 1;
            return;
        }
        const instant now = monotonic_now();
        counters.counter("rollout_reports_taken_total") += 1;
        reporters[read->process] = {origin, now};
        const std::string service = read->report.service;
        const std::uint64_t order = read->report.order;
        const bool urgent = deciders.record_report(now, std::move(*read));
        if (is_decider && urgent) {
            decide(now);
        }
        answer(origin, service, order);
    }

    /// Replies with the directive, or with one without a version, which only says that this process
    /// is alive.
    void answer(const message_origin& origin, const std::string& service, std::uint64_t order) {
        rollout_directive placeholder;
        placeholder.service = service;
        placeholder.order = order;
        const rollout_directive* directive =
            is_decider ? deciders.directive_of(service, order) : nullptr;
        wire::Envelope message;
        *message.mutable_rollout_stand() = to_wire(directive != nullptr ? *directive : placeholder);
        bus.answer(origin, message);
    }

    /// True if the log, as far as it was read here, names the same decider as the one that this
    /// process follows.
    bool follows_log_decider(const std::string& service, std::uint64_t order) const {
        const rollout_record* record = ledger.table().find(service);
        return record != nullptr && record->order == order && record->decider == decider.process;
    }

    /// Only the decider that the log names may direct requests to the new version; any process may
    /// stop it.
    bool is_accepted(const rollout_directive& directive) const {
        const bool uses =
            directive.phase == rollout_phase::canary || directive.phase == rollout_phase::moving;
        return !uses || follows_log_decider(directive.service, directive.order);
    }

    /// Only directives of the decider that this process follows are applied: one that was frozen
    /// and resumes may send outdated ones.
    void on_directive(const message_origin& origin, const wire::RolloutStand& message) {
        const std::optional<rollout_directive> directive = from_wire(message);
        if (!directive) {
            counters.counter("rollout_messages_damaged_total") += 1;
            return;
        }
        if (is_decider || origin.endpoint != decider.endpoint) {
            counters.counter("rollout_stands_ignored_total") += 1;
            return;
        }
        waiting_since.reset();
        backoffs.erase(decider.process);
        if (!directive->version.empty() && is_accepted(*directive)) {
            const instant now = monotonic_now();
            rollouts.on_directive(now, *directive);
            schedule_early_tick(now);
        }
    }

    event_loop& loop;
    message_bus& bus;
    const token_allocator_selector& members;
    incarnation_id own;
    local_rollouts rollouts;
    rollout_ledger& ledger;
    metrics& counters;
    rollout_deciders deciders;
    /// The decider that this process follows, and whether that is itself.
    cluster_member decider;
    bool is_decider = false;
    /// Deciders that didn't reply.
    std::map<incarnation_id, backoff> backoffs;
    /// The time since which a report has been waiting for a reply.
    std::optional<instant> waiting_since;
    std::optional<instant> last_reported;
    std::optional<instant> last_tick;
    std::map<std::string, last_report> last_reports;
    std::map<incarnation_id, reporter> reporters;
    bool early_tick_scheduled = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

rollout_exchange::rollout_exchange(event_loop& loop, message_bus& bus,
                                   const token_allocator_selector& members, incarnation_id own,
                                   local_rollouts rollouts, rollout_ledger& ledger,
                                   metrics& counters, hooks needs)
    : state_(std::make_unique<state>(loop, bus, members, own, std::move(rollouts), ledger, counters,
                                     std::move(needs))) {}

rollout_exchange::~rollout_exchange() = default;

void rollout_exchange::tick(instant now) {
    state_->tick(now);
}

bool rollout_exchange::is_decider() const {
    return state_->is_decider;
}

bool rollout_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_rollout_report()) {
        state_->on_report(origin, message.rollout_report());
        return true;
    }
    if (message.has_rollout_stand()) {
        state_->on_directive(origin, message.rollout_stand());
        return true;
    }
    return false;
}

}  // namespace wrenswitch
