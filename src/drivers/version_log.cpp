#include "wrenswitch/drivers/version_log.hpp"

#include <cstdint>
#include <optional>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How long to wait after an append that failed.
constexpr microseconds retry_delay = milliseconds(500);

/// How long a read is held open, which bounds how late a connection that has gone silent is
/// noticed.
constexpr microseconds read_hold = seconds(1);

/// A version that its writers haven't recorded by then is recorded by any process that sees it.
constexpr microseconds writers_timeout = milliseconds(300);

/// The generation of a store that has never been restored.
constexpr std::uint64_t first_generation = 1;

/// What a keyed log bears as a key.
constexpr std::size_t max_key_bytes = 255;

constexpr char name_separator = '\n';

std::string key_of(const std::pair<std::string, std::string>& each) {
    const std::string key = each.first + "/" + each.second;
    return key.size() <= max_key_bytes ? key : "long/" + std::to_string(spread_hash(key));
}

std::string value_of(const std::pair<std::string, std::string>& each) {
    return each.first + name_separator + each.second;
}

/// Nothing if the value is damaged.
std::optional<std::pair<std::string, std::string>> parse_value(const std::string& value) {
    const std::size_t end = value.find(name_separator);
    if (end == std::string::npos || end == 0) {
        return std::nullopt;
    }
    return std::pair(value.substr(0, end), value.substr(end + 1));
}

}  // namespace

version_log::version_log(event_loop& loop, keyed_log& log, std::string name, hooks callbacks)
    : loop_(loop),
      log_(log),
      name_(std::move(name)),
      hooks_(std::move(callbacks)),
      follower_(
          loop, log, {.log = name_, .hold = read_hold},
          {[this](const keyed_record& record) { on_changed(record); }, [this] { on_caught_up(); },
           [](bool) {}, [this](std::span<const std::string> lost) { on_restored(lost); }}) {}

version_log::~version_log() {
    *alive_ = false;
}

void version_log::on_changed(const keyed_record& record) {
    if (!record.value) {
        erase(record.key);
        return;
    }
    const auto parsed = parse_value(*record.value);
    if (!parsed) {
        log_event(log_level::error, "version_record_unreadable", {{"key", record.key}});
        return;
    }
    recorded_.insert(*parsed);
    hooks_.recorded(parsed->first, parsed->second);
}

void version_log::on_caught_up() {
    if (std::exchange(has_caught_up_, true)) {
        return;
    }
    // A restored store may lack the record of a version whose streams still run.
    if (follower_.generation() <= first_generation) {
        for (const service_version& each : recorded_) {
            covered_.insert(each.first);
        }
    }
    log_event(log_level::information, "versions_read",
              {{"versions", std::to_string(recorded_.size())},
               {"generation", std::to_string(follower_.generation())}});
    hooks_.read();
}

/// The records that a restored store lacks are written again.
void version_log::on_restored(std::span<const std::string> lost) {
    covered_.clear();
    for (const std::string& key : lost) {
        erase(key);
    }
}

void version_log::erase(std::string_view key) {
    std::erase_if(recorded_, [key](const service_version& each) { return key_of(each) == key; });
}

void version_log::update(instant now, const recent_values& versions, bool is_list_current) {
    if (!live() || is_appending_) {
        return;
    }
    std::vector<keyed_record> due;
    add_missing(now, versions, due);
    if (is_list_current) {
        drop_gone(versions, due);
    }
    if (!due.empty()) {
        append(std::move(due));
    }
}

void version_log::add_missing(instant now, const recent_values& versions,
                              std::vector<keyed_record>& due) {
    std::map<service_version, instant> missing_since;
    versions.for_each([&](const std::string& service, const std::string& version) {
        const service_version each{service, version};
        if (recorded_.contains(each) || !hooks_.is_present(service, version)) {
            return;
        }
        const auto known = missing_since_.find(each);
        const instant since = known == missing_since_.end() ? now : known->second;
        missing_since.emplace(each, since);
        if (now - since >= writers_timeout || hooks_.is_writer(key_of(each))) {
            due.push_back({key_of(each), value_of(each), 0});
        }
    });
    missing_since_ = std::move(missing_since);
}

void version_log::drop_gone(const recent_values& versions, std::vector<keyed_record>& due) const {
    std::set<service_version> seen;
    versions.for_each([&seen](const std::string& service, const std::string& version) {
        seen.emplace(service, version);
    });
    for (const service_version& each : recorded_) {
        if (!seen.contains(each) && hooks_.is_writer(key_of(each))) {
            due.push_back({key_of(each), std::nullopt, 0});
        }
    }
}

void version_log::append(std::vector<keyed_record> due) {
    is_appending_ = true;
    const std::vector<keyed_record> records = due;
    log_.append(name_, std::nullopt, records,
                [this, due = std::move(due), alive = alive_](const result<std::uint64_t>& end) {
                    if (*alive) {
                        on_appended(due, end.has_value());
                    }
                });
}

/// A record may be written twice, so an append that failed is simply made again.
void version_log::on_appended(std::span<const keyed_record> records, bool succeeded) {
    if (!succeeded) {
        loop_.call_after(retry_delay, [this, alive = alive_] {
            if (*alive) {
                is_appending_ = false;
            }
        });
        return;
    }
    is_appending_ = false;
    for (const keyed_record& record : records) {
        on_changed(record);
        log_event(log_level::information, record.value ? "version_recorded" : "version_dropped",
                  {{"key", record.key}});
    }
}

}  // namespace wrenswitch
