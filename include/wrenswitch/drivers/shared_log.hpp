#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/sharing/log_reader_selector.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/drivers/log_page_server.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch::wire {
class LogReadReply;
}

namespace wrenswitch {

/// Settings of a shared log.
struct shared_log_settings {
    std::string own_host;
    std::string failure_domain;
    /// The log of the members, which tells who the readers are. It is read first; all other logs
    /// wait for it.
    std::string member_log;
    /// How long other logs wait for the members at the start.
    microseconds members_timeout = milliseconds(300);
    /// How long a reader that has just started may take until it has read a log.
    microseconds newest_wait = milliseconds(300);
    /// The number of readers that are asked for the newest records before the store is.
    unsigned max_newest_readers = 2;
    log_reader_settings readers{};
    log_page_server_settings server{};
    /// How long a reader may take to reply, beside the wait that was asked for.
    microseconds reply_slack = milliseconds(400);
};

/// The platform's logs, read by a few entries of each failure domain for the others. A held read,
/// and one of the newest records, is sent to one of these, and goes to the store if no fresh page
/// comes in time. All other calls go to the store: a read that isn't held has to see what the log
/// holds now.
///
/// A reader that has started announces itself to its failure domain, so that entries that start
/// while the store is out of their reach learn of it.
///
/// A page of another entry comes with its age, and is never taken for newer than it is. Replies to
/// requests that were given up are dropped.
class shared_log final : public keyed_log {
public:
    /// Keeps references to all of these, which must outlive it.
    shared_log(event_loop& loop, keyed_log& store, message_bus& bus,
               const token_allocator_selector& members, metrics& counters,
               shared_log_settings settings);
    ~shared_log() override;
    shared_log(const shared_log&) = delete;
    shared_log& operator=(const shared_log&) = delete;

    std::uint64_t generation() const override { return store_.generation(); }
    void newest(std::string_view log, page_hook done) override;
    void read(std::string_view log, std::uint64_t from, microseconds wait, page_hook done) override;
    void append(std::string_view log, std::optional<std::uint64_t> at,
                std::span<const keyed_record> records, append_hook done) override;

    /// Handles a message; false if it isn't about shared reads.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

private:
    /// A read that a reader was asked for.
    struct pending_read {
        std::string log;
        std::uint64_t from = 0;
        microseconds wait{};
        page_hook done;
        std::string reader;
        std::string endpoint;
        instant due{};
        /// True if the newest record of each key is wanted.
        bool is_newest = false;
        /// The newest records received so far.
        keyed_page newest{};
        unsigned readers_asked = 0;
        /// True once the reply was given more time because this process itself was late.
        bool is_extended = false;
    };

    void update_readers();
    void announce();
    void on_announcement(const wire::Envelope& message);
    void read_newest(std::string_view log, page_hook done);
    void read_newest_from_store(std::string_view log, page_hook done);
    void stop_waiting_for_members();
    void ask_for_newest(pending_read read);
    void on_newest_page(pending_read read, const wire::Envelope& message);
    void read_elsewhere(pending_read read);
    std::uint64_t known_generation() const;
    bool names_newer_generation(const wire::LogReadReply& reply);
    void read_again_from_store(pending_read read);
    void ask(const std::string& endpoint, pending_read read);
    void read_store(std::string_view log, std::uint64_t from, microseconds wait, page_hook done);
    void schedule_timeout(std::uint64_t call, microseconds timeout);
    void check_timeout(std::uint64_t call);
    void on_reply(const wire::Envelope& message);
    void on_page(pending_read read, const wire::Envelope& message);
    void on_reader_failed(const std::string& host, std::string_view reason);
    std::optional<pending_read> take(std::uint64_t call);

    event_loop& loop_;
    keyed_log& store_;
    message_bus& bus_;
    const token_allocator_selector& members_;
    metrics& counters_;
    shared_log_settings settings_;
    log_reader_selector readers_;
    log_page_server server_;
    std::uint64_t members_version_ = 0;
    /// The generation named by the first page of a reader; zero if the store was heard before.
    std::uint64_t first_generation_ = 0;
    /// How often this process is still to announce itself as a reader.
    unsigned announcements_left_ = 0;
    /// True until the members are known or took too long.
    bool waits_for_members_ = true;
    struct deferred_read {
        std::string log;
        page_hook done;
    };
    std::vector<deferred_read> deferred_;
    std::uint64_t last_call_;
    std::map<std::uint64_t, pending_read> pending_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
