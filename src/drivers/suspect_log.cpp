#include "wrenswitch/drivers/suspect_log.hpp"

#include <suspects.pb.h>

#include <charconv>
#include <utility>
#include <vector>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How long a read is held open. A host that was suspended takes up a read that was answered
/// meanwhile at once; one whose connection is gone notices it by the end of this and reads anew,
/// within two of the three seconds after which it counts as in touch again.
constexpr microseconds read_hold = seconds(1);

/// Between two tries to write while the log doesn't answer.
constexpr microseconds retry_pause = milliseconds(400);

/// Records of one append, some 25 KB, and those that wait for one. A target bears some 64 requests.
constexpr std::size_t most_a_time = 256;
constexpr std::size_t most_pending = 4096;

/// What a keyed log bears as a key.
constexpr std::size_t most_key_bytes = 255;

constexpr char separator = '/';

}  // namespace

keyed_record encode_suspect_end(const crash_evidence& end, const std::string& host) {
    wire::SuspectRecord value;
    value.set_host(host);
    value.set_crashed(end.crashed);
    return {end.fingerprint.to_hex() + separator + std::to_string(end.incarnation.started) +
                separator + end.incarnation.target,
            value.SerializeAsString(), 0};
}

std::optional<crash_evidence> decode_suspect_end(const keyed_record& record) {
    const std::string_view key = record.key;
    const std::size_t first = key.find(separator);
    const std::size_t second =
        first == std::string_view::npos ? first : key.find(separator, first + 1);
    if (second == std::string_view::npos || second + 1 == key.size()) {
        return std::nullopt;
    }
    const std::optional<digest> request = digest::from_hex(key.substr(0, first));
    std::int64_t started = 0;
    const std::string_view number = key.substr(first + 1, second - first - 1);
    const auto [rest, problem] =
        std::from_chars(number.data(), number.data() + number.size(), started);
    if (!request || problem != std::errc{} || rest != number.data() + number.size()) {
        return std::nullopt;
    }
    wire::SuspectRecord value;
    const bool has_value = record.value && value.ParseFromString(*record.value);
    return crash_evidence{
        *request, {std::string(key.substr(second + 1)), started}, has_value ? value.crashed() : 0};
}

suspect_log::suspect_log(event_loop& loop, keyed_log& log, std::string name, std::string host,
                         metrics& counters, suspect_log_hooks hooks)
    : loop_(loop),
      log_(log),
      name_(std::move(name)),
      host_(std::move(host)),
      counters_(counters),
      hooks_(std::move(hooks)),
      follower_(loop, log, {.log = name_, .hold = read_hold},
                {[this](const keyed_record& record) { changed(record); }, [] {},
                 [this](bool reachable) {
                     reachable_ = reachable;
                     hooks_.reachable(reachable);
                 },
                 [this](std::span<const std::string> keys) { rewrite_lost(keys); }}) {}

suspect_log::~suspect_log() {
    *alive_ = false;
}

void suspect_log::changed(const keyed_record& record) {
    const std::optional<crash_evidence> end = decode_suspect_end(record);
    if (!end) {
        counters_.counter("suspect_records_damaged_total") += 1;
        log_event(log_level::error, "suspect_record_damaged",
                  {{"key", record.key}, {"offset", std::to_string(record.offset)}});
        return;
    }
    if (record.value) {
        held_.insert(*end);
        hooks_.added(*end);
    } else {
        held_.erase(*end);
        hooks_.dropped(*end);
    }
}

/// Rewrites suspects that a restored store lost. Any process that holds them may do so.
void suspect_log::rewrite_lost(std::span<const std::string> lost) {
    std::vector<crash_evidence> ends;
    for (const std::string& key : lost) {
        const std::optional<crash_evidence> end = decode_suspect_end({key, std::nullopt, 0});
        if (end && held_.erase(*end) > 0) {
            ends.push_back(*end);
        }
    }
    want(ends, true);
}

void suspect_log::want(std::span<const crash_evidence> ends, bool in_log) {
    std::size_t left_out = 0;
    for (const crash_evidence& end : ends) {
        const bool is_there = in_log && holds(end) && !pending_.contains(end);
        const bool fits = encode_suspect_end(end, host_).key.size() <= most_key_bytes &&
                          (pending_.size() < most_pending || pending_.contains(end));
        if (!is_there && fits) {
            pending_[end] = in_log;
        }
        left_out += !is_there && !fits ? 1 : 0;
    }
    if (left_out > 0) {
        counters_.counter("suspect_ends_left_out_total") += left_out;
        log_event(
            log_level::error, "suspect_ends_left_out",
            {{"count", std::to_string(left_out)}, {"pending", std::to_string(pending_.size())}});
    }
    append_if_due();
}

void suspect_log::append_if_due() {
    // Others may have written the same.
    std::erase_if(pending_, [this](const auto& each) { return each.second && holds(each.first); });
    if (appending_ || pending_.empty()) {
        return;
    }
    std::map<crash_evidence, bool> written;
    std::vector<keyed_record> records;
    for (const auto& [end, in_log] : pending_) {
        if (records.size() == most_a_time) {
            break;
        }
        written.emplace(end, in_log);
        records.push_back(encode_suspect_end(end, host_));
        if (!in_log) {
            records.back().value.reset();
        }
    }
    appending_ = true;
    counters_.counter("suspect_appends_total") += 1;
    log_.append(name_, std::nullopt, records,
                [this, written, alive = alive_](const result<std::uint64_t>& end) {
                    if (*alive) {
                        appended(written, end);
                    }
                });
}

void suspect_log::tell_not_written(const std::map<crash_evidence, bool>& tried) const {
    std::vector<crash_evidence> ends;
    for (const auto& [end, in_log] : tried) {
        if (in_log) {
            ends.push_back(end);
        }
    }
    if (!ends.empty()) {
        hooks_.not_written(ends);
    }
}

/// What was wanted otherwise meanwhile is still to be written.
void suspect_log::appended(const std::map<crash_evidence, bool>& written,
                           const result<std::uint64_t>& end) {
    if (!end) {
        counters_.counter("suspect_append_failures_total") += 1;
        log_event(log_level::warning, "suspect_append_failed",
                  {{"error", std::string(name_of(end.error().code))},
                   {"pending", std::to_string(pending_.size())}});
        tell_not_written(written);
        loop_.call_after(retry_pause, [this, alive = alive_] {
            if (*alive) {
                appending_ = false;
                append_if_due();
            }
        });
        return;
    }
    appending_ = false;
    std::erase_if(pending_, [&written](const auto& each) {
        const auto found = written.find(each.first);
        return found != written.end() && found->second == each.second;
    });
    append_if_due();
}

}  // namespace wrenswitch
