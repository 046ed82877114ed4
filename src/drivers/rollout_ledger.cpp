#include "wrenswitch/drivers/rollout_ledger.hpp"

#include <rollout.pb.h>

#include <map>
#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/conditional_appender.hpp"

namespace wrenswitch {
namespace {

/// Roll-outs change rarely, so reads are held open for long.
constexpr microseconds read_hold = seconds(5);

/// Between two tries to bring the status log up to date. Operators read it by eye or by a script,
/// and an outage of the store must not become a storm of calls.
constexpr microseconds status_pause = seconds(1);

wire::RolloutState to_wire(rollout_state state) {
    switch (state) {
        case rollout_state::running:
            return wire::ROLLOUT_RUNNING;
        case rollout_state::completed:
            return wire::ROLLOUT_COMPLETED;
        case rollout_state::rolled_back:
            return wire::ROLLOUT_ROLLED_BACK;
    }
    return wire::ROLLOUT_RUNNING;
}

/// Nothing for a state that a later release may have written.
std::optional<rollout_state> from_wire(wire::RolloutState state) {
    switch (state) {
        case wire::ROLLOUT_RUNNING:
            return rollout_state::running;
        case wire::ROLLOUT_COMPLETED:
            return rollout_state::completed;
        case wire::ROLLOUT_ROLLED_BACK:
            return rollout_state::rolled_back;
        default:
            return std::nullopt;
    }
}

}  // namespace

keyed_record encode_rollout(const rollout_record& record) {
    wire::RolloutRecord value;
    value.set_order(record.order);
    value.set_version(record.version);
    value.set_state(to_wire(record.state));
    value.set_elapsed_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(record.elapsed).count()));
    value.set_decider(raw(record.decider));
    value.set_reason(record.reason);
    return {record.service, value.SerializeAsString(), 0};
}

std::optional<rollout_record> decode_rollout(const keyed_record& record) {
    // More than any order's time, so that damage isn't taken for it.
    constexpr std::uint64_t most_elapsed_ms = 100'000'000'000;
    wire::RolloutRecord value;
    const bool read = record.value && value.ParseFromString(*record.value);
    const auto state = read ? from_wire(value.state()) : std::nullopt;
    if (!state || value.version().empty() || value.elapsed_ms() > most_elapsed_ms) {
        return std::nullopt;
    }
    return rollout_record{record.key,
                          value.order(),
                          value.version(),
                          *state,
                          milliseconds(value.elapsed_ms()),
                          incarnation_id{value.decider()},
                          value.reason()};
}

struct rollout_ledger::state {
    /// A record that is wanted, and what the log held when it was: a proposal rests on that, and
    /// who made it must look again if it has changed.
    struct proposal {
        rollout_record record;
        std::optional<rollout_record> basis;
    };

    state(event_loop& of_loop, keyed_log& of_log, std::string name, std::string of_status_name,
          metrics& of_counters, rollout_ledger_hooks of_hooks, rollout_table& of_table)
        : loop(of_loop),
          log(of_log),
          status_name(std::move(of_status_name)),
          counters(of_counters),
          hooks(std::move(of_hooks)),
          table(of_table),
          follower(
              loop, log, {.log = name, .hold = read_hold},
              {[this](const keyed_record& record) { on_changed(record); },
               [this] { on_caught_up(); }, [this](bool reachable) { hooks.reachable(reachable); }}),
          appender(loop, log, std::move(name), follower,
                   {[this] { return due_records(); },
                    [this](const error& problem) { on_append_failed(problem); }}) {}

    ~state() { *alive = false; }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    std::optional<rollout_record> held(const std::string& service) const {
        const rollout_record* found = table.find(service);
        return found == nullptr ? std::nullopt : std::optional(*found);
    }

    /// True if the log has what is wanted.
    bool holds(const rollout_record& wanted) const {
        const rollout_record* known = table.find(wanted.service);
        if (known == nullptr || known->order != wanted.order || known->version != wanted.version ||
            known->state != wanted.state) {
            return false;
        }
        return wanted.state != rollout_state::running ||
               (known->decider == wanted.decider && known->elapsed >= wanted.elapsed);
    }

    void on_changed(const keyed_record& record) {
        const std::optional<rollout_record> decoded = decode_rollout(record);
        if (!decoded) {
            counters.counter("rollout_records_damaged_total") += 1;
            log_event(log_level::error, "rollout_record_damaged",
                      {{"key", record.key}, {"offset", std::to_string(record.offset)}});
            return;
        }
        if (!table.apply(*decoded)) {
            counters.counter("rollout_records_refused_total") += 1;
            log_event(log_level::warning, "rollout_record_refused",
                      {{"service", record.key},
                       {"offset", std::to_string(record.offset)},
                       {"order", std::to_string(decoded->order)},
                       {"state", name_of(decoded->state)}});
            return;
        }
        hooks.changed(*decoded);
    }

    std::vector<keyed_record> due_records() {
        std::vector<keyed_record> due;
        std::erase_if(proposals, [this](const auto& each) {
            const proposal& made = each.second;
            return made.basis != held(each.first) || holds(made.record) ||
                   !table.accepts(made.record);
        });
        for (const auto& [service, made] : proposals) {
            due.push_back(encode_rollout(made.record));
        }
        if (!due.empty()) {
            counters.counter("rollout_appends_total") += 1;
        }
        return due;
    }

    void on_append_failed(const error& problem) {
        const bool lost_race = problem.code == error_code::conflict;
        counters.counter(lost_race ? "rollout_append_conflicts_total"
                                   : "rollout_append_failures_total") += 1;
        log_event(log_level::warning, "rollout_append_failed",
                  {{"error", std::string(name_of(problem.code))}});
    }

    void on_caught_up() {
        appender.caught_up();
        if (status_end) {
            append_statuses(*std::exchange(status_end, std::nullopt));
        }
    }

    void publish_if_due() {
        if (publishing || statuses.empty()) {
            return;
        }
        publishing = true;
        const instant now = monotonic_now();
        const instant due = last_published ? *last_published + status_pause : now;
        if (due > now) {
            loop.call_after(due - now, [this, still = alive] {
                if (*still) {
                    read_statuses();
                }
            });
        } else {
            read_statuses();
        }
    }

    void read_statuses() {
        last_published = monotonic_now();
        log.newest(status_name, [this, still = alive](const result<keyed_page>& page) {
            if (*still) {
                on_statuses(page);
            }
        });
    }

    /// The log of roll-outs is looked at once the end of the status log is known: if another
    /// process writes a newer state to both, either it is seen here or the append loses its
    /// condition.
    void on_statuses(const result<keyed_page>& page) {
        if (!page) {
            on_publish_failed(page.error());
            return;
        }
        for (const keyed_record& record : page.value().records) {
            if (statuses.contains(record.key)) {
                shown[record.key] = record.value.value_or("");
            }
        }
        status_end = page.value().end;
        follower.look_now();
    }

    void append_statuses(std::uint64_t end) {
        std::vector<keyed_record> due;
        std::erase_if(statuses, [&](const auto& each) {
            const rollout_record* record = table.find(each.second);
            if (record == nullptr) {
                return true;
            }
            const keyed_record status = hooks.write_status(*record);
            if (shown[status.key] == status.value) {
                return true;
            }
            due.push_back(status);
            return false;
        });
        if (due.empty()) {
            publishing = false;
            return;
        }
        counters.counter("rollout_status_appends_total") += 1;
        log.append(status_name, end, due,
                   [this, due, still = alive](const result<std::uint64_t>& appended) {
                       if (*still) {
                           on_published(due, appended);
                       }
                   });
    }

    void on_published(const std::vector<keyed_record>& records,
                      const result<std::uint64_t>& appended) {
        if (!appended) {
            on_publish_failed(appended.error());
            return;
        }
        for (const keyed_record& record : records) {
            shown[record.key] = record.value.value_or("");
            statuses.erase(record.key);
            log_event(log_level::information, "rollout_status_written",
                      {{"key", record.key}, {"value", record.value.value_or("")}});
        }
        publishing = false;
        publish_if_due();
    }

    void on_publish_failed(const error& problem) {
        counters.counter("rollout_status_failures_total") += 1;
        log_event(log_level::warning, "rollout_status_failed",
                  {{"error", std::string(name_of(problem.code))}});
        publishing = false;
        publish_if_due();
    }

    event_loop& loop;
    keyed_log& log;
    std::string status_name;
    metrics& counters;
    rollout_ledger_hooks hooks;
    rollout_table& table;
    keyed_follower follower;
    conditional_appender appender;
    bool started = false;
    std::map<std::string, proposal> proposals;
    /// The services whose status is to be brought up to date, by its key in the status log.
    std::map<std::string, std::string> statuses;
    /// What the status log showed when it was last read or written, by key.
    std::map<std::string, std::string> shown;
    bool publishing = false;
    std::optional<instant> last_published;
    /// The end of the status log as it was read, while the log of roll-outs is looked at.
    std::optional<std::uint64_t> status_end;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

rollout_ledger::rollout_ledger(event_loop& loop, keyed_log& log, std::string name,
                               std::string status_name, metrics& counters,
                               rollout_ledger_hooks hooks)
    : state_(std::make_unique<state>(loop, log, std::move(name), std::move(status_name), counters,
                                     std::move(hooks), table_)) {}

rollout_ledger::~rollout_ledger() = default;

void rollout_ledger::start() {
    if (!std::exchange(state_->started, true)) {
        state_->follower.start();
    }
}

bool rollout_ledger::live() const {
    return state_->follower.live();
}

void rollout_ledger::propose(const rollout_record& record) {
    state_->proposals.insert_or_assign(record.service,
                                       state::proposal{record, state_->held(record.service)});
    state_->appender.append_if_due();
}

void rollout_ledger::publish(const rollout_record& record) {
    const keyed_record status = state_->hooks.write_status(record);
    const auto known = state_->shown.find(status.key);
    if (known == state_->shown.end() || known->second != status.value) {
        state_->statuses.insert_or_assign(status.key, record.service);
        state_->publish_if_due();
    }
}

}  // namespace wrenswitch
