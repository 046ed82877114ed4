#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/log_service.hpp"
#include "wrenswitch/drivers/snapshot_chunks.hpp"

namespace wrenswitch {

/// What a follower calls.
struct stream_follower_hooks {
    /// Takes a snapshot in, in place of all state so far. False if it cannot be read.
    std::function<bool(const snapshot_image&)> load;
    /// Applies a record.
    std::function<void(log_offset, std::string_view)> apply;
    /// The chunk in a record, if it carries one.
    std::function<std::optional<snapshot_chunk>(std::string_view)> chunk_of;
    /// All records there were are applied; called after each page that reached the end.
    std::function<void()> caught_up;
    /// The log answers again, or stopped answering.
    std::function<void(bool)> reachable;
};

/// Follows one stream of the log: from its beginning or, if that has expired, from the latest whole
/// snapshot in it, and then record by record. If its position expires it starts over; it never
/// skips a record.
class stream_follower {
public:
    stream_follower(event_loop& loop, log_service& log, std::string stream,
                    stream_follower_hooks hooks);
    ~stream_follower();
    stream_follower(const stream_follower&) = delete;
    stream_follower& operator=(const stream_follower&) = delete;

    /// Begins to read.
    void start();

    /// The offset of the last record that was applied, or zero.
    log_offset position() const { return position_; }

    /// True once all records were applied that the log held at the last look.
    bool live() const { return live_; }

    bool log_reachable() const { return reachable_; }

    /// True if the stream's beginning and every snapshot have expired, so that it cannot be read.
    bool stranded() const { return stranded_; }

private:
    enum class phase { from_beginning, search_snapshot, tail };

    void read_next();
    void on_page(result<log_page> page);
    void on_expired();
    void on_search_page(const log_page& page);
    void finish_search(const log_page& page);
    void apply_page(const log_page& page);
    void retry_later();
    void set_reachable(bool reachable);

    event_loop& loop_;
    log_service& log_;
    std::string stream_;
    stream_follower_hooks hooks_;
    phase phase_ = phase::from_beginning;
    log_offset position_{};
    log_offset search_from_{};
    snapshot_assembler assembler_;
    bool live_ = false;
    bool reachable_ = true;
    bool stranded_ = false;
    microseconds backoff_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
