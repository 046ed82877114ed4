#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/drivers/keyed_follower.hpp"

namespace wrenswitch {

/// A member as a record of a keyed log, and back. Nothing if the record is damaged.
keyed_record encode_member(const cluster_member& member);
std::optional<cluster_member> decode_member(const keyed_record& record);

/// What a directory calls.
struct member_directory_hooks {
    std::function<void(const cluster_member&)> joined;
    std::function<void(const std::string& host)> left;
    std::function<void(bool reachable)> reachable;
};

/// The entries of the fleet, in a keyed log: each writes its own record when it starts and drops it
/// when it stops as planned. A process that dies leaves its record for its successor; that it
/// doesn't answer is for others to find out.
///
/// A record has one writer, its own host, so it is appended without a condition: with one, each
/// append would make those of all processes that start at the same time fail. A late append of a
/// predecessor is overwritten by the process that finds it in place of its own record.
class member_directory {
public:
    /// With `times_store` the process finds out how far the store is before it writes its record.
    member_directory(event_loop& loop, keyed_log& log, std::string name, cluster_member own,
                     member_directory_hooks hooks, bool times_store = false);
    ~member_directory();
    member_directory(const member_directory&) = delete;
    member_directory& operator=(const member_directory&) = delete;

    void start() { follower_.start(); }

    /// Drops this process's record.
    void leave();

private:
    void on_changed(const keyed_record& record);
    void time_store();
    void on_caught_up();
    void write_if_due();
    void on_written(const keyed_record& record, const result<std::uint64_t>& end);
    void read_later();
    void on_restored(std::span<const std::string> lost);
    bool is_due() const;

    event_loop& loop_;
    keyed_log& log_;
    random_source random_;
    std::string name_;
    cluster_member own_;
    member_directory_hooks hooks_;
    /// True until the store was timed, and while it is.
    bool times_store_;
    bool timing_ = false;
    keyed_follower follower_;
    bool is_writing_ = false;
    /// True after a failed append until the log was read.
    bool is_reading_ = false;
    /// The end of the log behind the last append. Until the log was read up to there, it is unknown
    /// whether another record followed it.
    std::uint64_t written_end_ = 0;
    /// This host's record as the log has it.
    std::optional<cluster_member> written_;
    bool leaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
