#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/drivers/record_history.hpp"

namespace wrenswitch {

/// What a follower calls.
struct keyed_follower_hooks {
    /// The newest record of a key changed; without a value the key is gone.
    std::function<void(const keyed_record&)> changed;
    /// All that the log held is applied; called after each page, also an empty one.
    std::function<void()> caught_up;
    /// The log answers again, or stopped answering.
    std::function<void(bool reachable)> reachable;
    /// The store was restored from a copy in which these keys are missing or have older records.
    /// Called before caught_up. The values reported for these keys remain valid until they change.
    std::function<void(std::span<const std::string> keys)> restored = {};
    /// A key that was missing from a restored log wasn't written again within
    /// `lost_key_timeout`. Reported to `changed`, as a key that is gone, if not set.
    std::function<void(const std::string& key)> lost = {};
};

/// Settings of a follower.
struct keyed_follower_settings {
    std::string log;
    /// How long a read is held open while there is nothing new.
    microseconds hold = milliseconds(700);
    /// How long to wait after records came before the next read, so that a busy log is read in
    /// pages and not record by record.
    microseconds pause{};
    /// Tells of the records of one key that came together only the last, for logs whose readers
    /// need no record but the newest and for whom each costs much.
    bool only_newest = false;
    /// How long a key that is missing from a restored log is kept before it is reported as gone,
    /// unless it is rewritten. Such keys are kept indefinitely if not set.
    std::optional<microseconds> lost_key_timeout = {};
    microseconds first_retry = milliseconds(50);
    microseconds longest_retry = milliseconds(500);
};

/// Follows one keyed log: the newest of each key first, then record by record, by reads that are
/// held open. If its position is no longer kept, it starts over and tells only what changed.
///
/// Positions are ordered by store generation, then by offset, because a store that was restored
/// from a copy reuses offsets. Records that came from the copy are ignored as outdated; only
/// records written after the restore are applied.
class keyed_follower {
public:
    keyed_follower(event_loop& loop, keyed_log& log, keyed_follower_settings settings,
                   keyed_follower_hooks hooks);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;

    void start();

    /// True once all was read that the log held at the last look.
    bool live() const { return live_; }

    /// The offset of the next record.
    std::uint64_t position() const { return position_; }

    /// The store generation that the position belongs to; zero until a page reports one.
    std::uint64_t generation() const { return generation_; }

    /// When the read began that was answered last. Whatever the log held then is applied.
    instant last_read_began() const { return last_read_began_; }

    /// When the log last answered, or how long ago it answered another process that passed its page
    /// on.
    instant last_answer() const { return last_answer_; }

    /// Takes in records that this process has just appended at its position, which saves reading
    /// them. Records that were read meanwhile are not taken twice.
    void appended(std::uint64_t at, std::span<const keyed_record> records);

    /// Asks at once, in place of waiting for the held read, whether there is more.
    void look_now();

private:
    void read_all();
    void read_after_pause();
    void read_next(microseconds hold);
    void on_all(instant began, const result<keyed_page>& page);
    void on_page(instant began, const result<keyed_page>& page);
    void apply(const keyed_record& record);
    void apply_new(std::span<const keyed_record> records);
    void note_generation(const keyed_page& page);
    bool is_outdated(const keyed_page& page) const;
    bool is_restored(const keyed_page& page) const;
    void on_restored(const keyed_page& page);
    void apply_by_offset(std::vector<keyed_record> records);
    void schedule_lost_key_removal(const std::set<std::string, std::less<>>& present);
    void report_lost(const std::string& key);
    void read_all_after_pause();
    void drop_missing(const keyed_page& page);
    void failed_once();
    void answered(instant began, microseconds age = {});

    event_loop& loop_;
    keyed_log& log_;
    keyed_follower_settings settings_;
    keyed_follower_hooks hooks_;
    /// The position of a record across store generations.
    struct record_position {
        std::uint64_t generation = 0;
        std::uint64_t offset = 0;

        friend bool operator==(const record_position&, const record_position&) = default;
        friend bool operator<(const record_position& left, const record_position& right) {
            return std::tie(left.generation, left.offset) <
                   std::tie(right.generation, right.offset);
        }
    };

    std::map<std::string, record_position, std::less<>> newest_positions_;
    record_history history_;
    std::uint64_t position_ = 0;
    /// The generation that position_ belongs to; zero until a page reports one.
    std::uint64_t generation_ = 0;
    bool live_ = false;
    bool reachable_ = true;
    microseconds retry_;
    instant last_answer_{};
    instant last_read_began_{};
    /// Counts reads, so that the answer of one that was given up is dropped.
    std::uint64_t read_number_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
