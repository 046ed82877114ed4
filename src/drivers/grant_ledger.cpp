#include "wrenswitch/drivers/grant_ledger.hpp"

#include <grants.pb.h>

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// Between account and host in a record's key. Hosts have none in their names.
constexpr char key_separator = '|';

/// Between two reads while others append. Whoever appends looks at the log's end first, so that
/// this bounds only how old the view of the others is.
constexpr microseconds read_pause = milliseconds(400);

/// How long after a restore only the holder rewrites its lost grants.
constexpr microseconds own_rewrite_window = milliseconds(500);

/// How long draws are suspended after a restore. It covers the second within which disconnected
/// processes notice that the store is back.
constexpr microseconds restored_draw_delay = milliseconds(1500);

/// The generation of a store that has never been restored.
constexpr std::uint64_t first_generation = 1;

/// What was read this lately is taken for the log's end.
constexpr microseconds fresh_read = milliseconds(10);

/// More than hosts are granted of one budget over all their lives. Greater numbers are damage, and
/// sums of those below don't overflow.
constexpr tokens max_granted = 4 * max_budget_limit;

bool is_in_range(const wire::Grant& value) {
    const auto fits = [](tokens amount) { return amount >= 0 && amount <= max_granted; };
    return fits(value.base()) && fits(value.granted()) && fits(value.spent()) &&
           fits(value.wanted());
}

}  // namespace

keyed_record encode_grant(const grant_record& record) {
    wire::Grant value;
    value.set_holder(raw(record.value.holder));
    value.set_base(record.value.base);
    value.set_granted(record.value.granted);
    value.set_spent(record.value.spent);
    value.set_wanted(record.value.wanted);
    return {record.key.account + key_separator + record.key.host, value.SerializeAsString(), 0};
}

std::optional<grant_record> decode_grant(const keyed_record& record) {
    const std::size_t separator = record.key.rfind(key_separator);
    wire::Grant value;
    const bool good = separator != std::string::npos && record.value &&
                      value.ParseFromString(*record.value) && is_in_range(value) &&
                      value.granted() >= value.base();
    if (!good) {
        return std::nullopt;
    }
    grant_record decoded;
    decoded.key = {record.key.substr(0, separator), record.key.substr(separator + 1)};
    decoded.value = {incarnation_id{value.holder()}, value.base(), value.granted(), value.spent(),
                     value.wanted()};
    return decoded;
}

grant_ledger::grant_ledger(event_loop& loop, keyed_log& log, std::string name, metrics& counters,
                           grant_ledger_hooks hooks)
    : loop_(loop),
      log_(log),
      name_(std::move(name)),
      counters_(counters),
      hooks_(std::move(hooks)),
      follower_(
          loop, log, {.log = name_, .pause = read_pause},
          {[this](const keyed_record& record) { on_changed(record); }, [this] { on_caught_up(); },
           [this](bool reachable) { hooks_.reachable(reachable); },
           [this](std::span<const std::string> keys) { on_restored(keys); }}) {}

grant_ledger::~grant_ledger() {
    *alive_ = false;
}

void grant_ledger::on_changed(const keyed_record& record) {
    if (!record.value) {
        const std::size_t separator = record.key.rfind(key_separator);
        if (separator != std::string::npos) {
            table_.remove({record.key.substr(0, separator), record.key.substr(separator + 1)});
        }
        return;
    }
    const std::optional<grant_record> decoded = decode_grant(record);
    if (decoded && is_outdated(*decoded)) {
        lost_grants_.insert(decoded->key);
        return;
    }
    if (!decoded) {
        counters_.counter("grant_records_damaged_total") += 1;
        log_event(log_level::error, "grant_record_damaged",
                  {{"key", record.key}, {"offset", std::to_string(record.offset)}});
        return;
    }
    lost_grants_.erase(decoded->key);
    table_.apply(*decoded);
}

/// True for an own record that differs from the last one appended: another process rewrote it from
/// an older value, or an append from before the restore was applied late.
bool grant_ledger::is_outdated(const grant_record& record) const {
    if (!restored_at_ || !is_own(record.key)) {
        return false;
    }
    const auto last = last_appended_.find(record.key);
    return last != last_appended_.end() && last->second != record.value &&
           table_.find(record.key) != record.value;
}

void grant_ledger::on_restored(std::span<const std::string> lost) {
    restored_at_ = monotonic_now();
    lost_grants_.clear();
    for (const std::string& key : lost) {
        const std::size_t separator = key.rfind(key_separator);
        if (separator != std::string::npos) {
            lost_grants_.insert({key.substr(0, separator), key.substr(separator + 1)});
        }
    }
    counters_.counter("grants_lost_total") += lost_grants_.size();
}

/// A process that has just started can't tell how recent the last restore is, so it waits as well.
bool grant_ledger::may_draw() const {
    const instant now = monotonic_now();
    if (restored_at_) {
        return now - *restored_at_ >= restored_draw_delay;
    }
    return follower_.generation() <= first_generation ||
           (live_since_ && now - *live_since_ >= restored_draw_delay);
}

/// Lost grants with their last known values and, once draws are allowed, the records composed by
/// this process, which take precedence.
std::vector<grant_record> grant_ledger::due_records() {
    std::map<grant_key, grant> due;
    const bool may_rewrite_others =
        restored_at_ && monotonic_now() - *restored_at_ >= own_rewrite_window;
    for (const grant_key& key : lost_grants_) {
        if (is_own(key) || may_rewrite_others) {
            due.emplace(key, table_.find(key));
        }
    }
    if (may_draw()) {
        for (const grant_record& record : hooks_.compose()) {
            due.insert_or_assign(record.key, record.value);
        }
    }
    std::vector<grant_record> records;
    records.reserve(due.size());
    for (const auto& [key, value] : due) {
        records.push_back({key, value});
    }
    return records;
}

/// Forgets an append whose place is taken: whatever stands there, it can't come any more.
void grant_ledger::settle(std::uint64_t position) {
    if (open_at_ && position > *open_at_) {
        open_at_.reset();
        hooks_.resolved();
    }
}

void grant_ledger::on_caught_up() {
    looking_ = false;
    live_since_ = live_since_.value_or(monotonic_now());
    settle(follower_.position());
    hooks_.changed();
    if (due_) {
        append_if_due();
    }
}

void grant_ledger::append_if_due() {
    if (appending_ || looking_ || !follower_.live()) {
        return;
    }
    const std::vector<grant_record> wanted = due_records();
    if (wanted.empty()) {
        due_ = false;
        return;
    }
    due_ = true;
    if (monotonic_now() - follower_.last_answer() > fresh_read) {
        looking_ = true;
        follower_.look_now();
        return;
    }
    append_now(wanted);
}

void grant_ledger::append_now(const std::vector<grant_record>& wanted) {
    std::vector<keyed_record> records;
    records.reserve(wanted.size());
    for (const grant_record& record : wanted) {
        records.push_back(encode_grant(record));
        if (is_own(record.key)) {
            last_appended_[record.key] = record.value;
        }
    }
    const std::uint64_t at = follower_.position();
    appending_ = true;
    open_at_ = at;
    trying_since_ = trying_since_.value_or(monotonic_now());
    counters_.counter("grant_appends_total") += 1;
    log_.append(name_, at, records,
                [this, at, records, alive = alive_](const result<std::uint64_t>& end) {
                    if (*alive) {
                        on_appended(at, records, end);
                    }
                });
}

/// Processes that lost a race try again at different times.
void grant_ledger::retry_after_race() {
    looking_ = true;
    loop_.call_after(backoff_.next_wait(), [this, alive = alive_] {
        if (*alive) {
            follower_.look_now();
        }
    });
}

void grant_ledger::note_append_time() {
    const microseconds took =
        monotonic_now() - std::exchange(trying_since_, std::nullopt).value_or(monotonic_now());
    // Half of each new value: a store that turns slow must show within a few appends.
    append_time_ = (append_time_ + took) / 2;
}

void grant_ledger::on_appended(std::uint64_t at, const std::vector<keyed_record>& records,
                               const result<std::uint64_t>& end) {
    appending_ = false;
    if (end) {
        due_ = false;
        backoff_.reset();
        note_append_time();
        follower_.appended(at, records);
        settle(follower_.position());
        hooks_.changed();
        return;
    }
    if (end.error().code == error_code::conflict) {
        counters_.counter("grant_append_conflicts_total") += 1;
        retry_after_race();
        return;
    }
    counters_.counter("grant_append_failures_total") += 1;
    // A log that was away says nothing of how long appends take once it is back. Counting its
    // outage made homes draw a fifth of what was left of each budget at its end, just before a loss
    // of all processes: 10% of the budgets, in place of under 2%.
    trying_since_.reset();
    looking_ = true;
    follower_.look_now();
}

}  // namespace wrenswitch
