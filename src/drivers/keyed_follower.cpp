#include "wrenswitch/drivers/keyed_follower.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {

keyed_follower::keyed_follower(event_loop& loop, keyed_log& log, keyed_follower_settings settings,
                               keyed_follower_hooks hooks)
    : loop_(loop),
      log_(log),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      retry_(settings_.first_retry) {}

keyed_follower::~keyed_follower() {
    *alive_ = false;
}

void keyed_follower::start() {
    read_all();
}

void keyed_follower::read_all() {
    const std::uint64_t number = ++read_number_;
    log_.newest(settings_.log, [this, number, began = monotonic_now(),
                                alive = alive_](const result<keyed_page>& page) {
        if (*alive && number == read_number_) {
            on_all(began, page);
        }
    });
}

void keyed_follower::read_next(microseconds hold) {
    const std::uint64_t number = ++read_number_;
    log_.read(
        settings_.log, position_, hold,
        [this, number, began = monotonic_now(), alive = alive_](const result<keyed_page>& page) {
            if (*alive && number == read_number_) {
                on_page(began, page);
            }
        });
}

void keyed_follower::look_now() {
    if (live_) {
        read_next(microseconds(0));
    }
}

void keyed_follower::on_all(instant began, const result<keyed_page>& page) {
    if (!page) {
        failed_once();
        return;
    }
    answered(began);
    if (is_outdated(page.value())) {
        read_all_after_pause();
        return;
    }
    if (is_restored(page.value())) {
        on_restored(page.value());
    } else if (!live_ || page.value().end >= position_) {
        // An answer that is older than what has already been read is skipped.
        note_generation(page.value());
        drop_missing(page.value());
        apply_by_offset(page.value().records);
        position_ = page.value().end;
    }
    live_ = true;
    const std::uint64_t number = read_number_;
    hooks_.caught_up();
    if (number == read_number_) {
        // Else the hook asked for another look already.
        read_next(settings_.hold);
    }
}

/// True for an answer from an earlier generation, received over an old connection or through a
/// peer.
bool keyed_follower::is_outdated(const keyed_page& page) const {
    return page.generation != 0 && page.generation < generation_;
}

bool keyed_follower::is_restored(const keyed_page& page) const {
    return live_ && generation_ != 0 && page.generation > generation_;
}

/// Applies the records written after the restore. Records that came from the copy only update
/// the history and the positions, so that they are not mistaken for new ones later.
void keyed_follower::on_restored(const keyed_page& page) {
    note_generation(page);
    position_ = page.end;
    const record_history previous_history = std::exchange(history_, {});
    std::set<std::string, std::less<>> present;
    std::set<std::string, std::less<>> current_keys;
    std::vector<keyed_record> written_since;
    for (const keyed_record& record : page.records) {
        present.insert(record.key);
        history_.add(record);
        if (!previous_history.contains(record)) {
            written_since.push_back(record);
            current_keys.insert(record.key);
            continue;
        }
        const auto known = newest_positions_.find(record.key);
        const bool is_newest =
            known == newest_positions_.end() || known->second.offset == record.offset;
        if (is_newest) {
            current_keys.insert(record.key);
        }
        newest_positions_[record.key] = {generation_, record.offset};
    }
    std::vector<std::string> lost;
    for (const auto& [key, position] : newest_positions_) {
        if (!current_keys.contains(key)) {
            lost.push_back(key);
        }
    }
    log_event(log_level::warning, "log_restored",
              {{"log", settings_.log},
               {"generation", std::to_string(generation_)},
               {"written_since", std::to_string(written_since.size())},
               {"keys_lost", std::to_string(lost.size())}});
    schedule_lost_key_removal(present);
    if (hooks_.restored) {
        hooks_.restored(lost);
    }
    apply_by_offset(written_since);
}

/// Applies records in the order of their offsets; a page of newest records is ordered by key.
void keyed_follower::apply_by_offset(std::vector<keyed_record> records) {
    std::sort(records.begin(), records.end(),
              [](const keyed_record& left, const keyed_record& right) {
                  return left.offset < right.offset;
              });
    for (const keyed_record& record : records) {
        apply(record);
    }
}

/// Drops keys missing from the copy unless their writers, if still running, rewrite them in time.
void keyed_follower::schedule_lost_key_removal(const std::set<std::string, std::less<>>& present) {
    if (!settings_.lost_key_timeout) {
        return;
    }
    for (const auto& [key, position] : newest_positions_) {
        if (present.contains(key)) {
            continue;
        }
        loop_.call_after(
            *settings_.lost_key_timeout, [this, lost = key, expected = position, alive = alive_] {
                const auto found = *alive ? newest_positions_.find(lost) : newest_positions_.end();
                if (!*alive || found == newest_positions_.end() || !(found->second == expected)) {
                    return;
                }
                newest_positions_.erase(found);
                report_lost(lost);
            });
    }
}

void keyed_follower::report_lost(const std::string& key) {
    if (hooks_.lost) {
        hooks_.lost(key);
    } else {
        hooks_.changed({key, std::nullopt, position_});
    }
}

void keyed_follower::read_all_after_pause() {
    const std::uint64_t number = ++read_number_;
    loop_.call_after(retry_, [this, number, alive = alive_] {
        if (*alive && number == read_number_) {
            read_all();
        }
    });
    retry_ = std::min(retry_ * 2, settings_.longest_retry);
}

void keyed_follower::note_generation(const keyed_page& page) {
    if (page.generation == 0 || page.generation == generation_) {
        return;
    }
    log_event(generation_ == 0 ? log_level::information : log_level::warning, "log_generation",
              {{"log", settings_.log},
               {"generation", std::to_string(page.generation)},
               {"generation_before", std::to_string(generation_)},
               {"position", std::to_string(position_)},
               {"end", std::to_string(page.end)}});
    generation_ = page.generation;
}

/// Keys that were there before and aren't any more were dropped by records that are gone.
void keyed_follower::drop_missing(const keyed_page& page) {
    std::set<std::string, std::less<>> present;
    for (const keyed_record& record : page.records) {
        present.insert(record.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, position] : newest_positions_) {
        // A key from an older generation was lost in the restore, not dropped by a writer.
        if (!present.contains(key) && position.generation == generation_) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        newest_positions_.erase(key);
        hooks_.changed({key, std::nullopt, page.end});
    }
}

void keyed_follower::on_page(instant began, const result<keyed_page>& page) {
    if (!page && page.error().code == error_code::expired) {
        log_event(log_level::warning, "log_position_expired",
                  {{"log", settings_.log},
                   {"position", std::to_string(position_)},
                   {"generation", std::to_string(generation_)}});
        // Pauses first, because a full read older than position_ would lead here again.
        read_all_after_pause();
        return;
    }
    if (!page) {
        failed_once();
        return;
    }
    answered(began, page.value().age);
    if (is_outdated(page.value()) || is_restored(page.value())) {
        // Its offsets are not comparable with position_.
        read_all_after_pause();
        return;
    }
    retry_ = settings_.first_retry;
    note_generation(page.value());
    const bool came = !page.value().records.empty();
    apply_new(page.value().records);
    if (settings_.only_newest && position_ < page.value().end) {
        // Fetches the newest records instead of the remaining pages, which may be large and hold
        // superseded records.
        read_all();
        return;
    }
    const std::uint64_t number = read_number_;
    hooks_.caught_up();
    if (number != read_number_) {
        // The hook asked for another look already.
        return;
    }
    if (came && settings_.pause > microseconds(0)) {
        read_after_pause();
    } else {
        read_next(settings_.hold);
    }
}

void keyed_follower::apply_new(std::span<const keyed_record> records) {
    std::map<std::string_view, std::uint64_t> newest;
    if (settings_.only_newest) {
        for (const keyed_record& record : records) {
            newest[record.key] = record.offset;
        }
    }
    for (const keyed_record& record : records) {
        const bool superseded = settings_.only_newest && newest[record.key] != record.offset;
        if (superseded) {
            history_.add(record);
        } else if (record.offset >= position_) {
            apply(record);
        }
        position_ = std::max(position_, record.offset + 1);
    }
}

void keyed_follower::read_after_pause() {
    const std::uint64_t number = ++read_number_;
    loop_.call_after(settings_.pause, [this, number, alive = alive_] {
        if (*alive && number == read_number_) {
            read_next(settings_.hold);
        }
    });
}

void keyed_follower::apply(const keyed_record& record) {
    history_.add(record);
    const record_position position{generation_, record.offset};
    const auto known = newest_positions_.find(record.key);
    if (known != newest_positions_.end() && !(known->second < position)) {
        return;
    }
    if (record.value) {
        newest_positions_[record.key] = position;
    } else {
        newest_positions_.erase(record.key);
    }
    hooks_.changed(record);
}

void keyed_follower::appended(std::uint64_t at, std::span<const keyed_record> records) {
    if (at != position_) {
        return;
    }
    if (log_.generation() > generation_) {
        // The store was restored meanwhile, so the offset may have been reused.
        look_now();
        return;
    }
    for (keyed_record record : std::vector<keyed_record>(records.begin(), records.end())) {
        record.offset = position_;
        apply(record);
        position_ += 1;
    }
}

void keyed_follower::failed_once() {
    if (std::exchange(reachable_, false)) {
        hooks_.reachable(false);
    }
    const std::uint64_t number = ++read_number_;
    loop_.call_after(retry_, [this, number, alive = alive_] {
        if (!*alive || number != read_number_) {
            return;
        }
        if (live_) {
            // Not held, so that a log that is back is known to be at once.
            read_next(microseconds(0));
        } else {
            read_all();
        }
    });
    retry_ = std::min(retry_ * 2, settings_.longest_retry);
}

void keyed_follower::answered(instant began, microseconds age) {
    last_answer_ = monotonic_now() - age;
    last_read_began_ = began - age;
    if (!std::exchange(reachable_, true)) {
        hooks_.reachable(true);
    }
}

}  // namespace wrenswitch
