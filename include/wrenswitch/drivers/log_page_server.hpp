#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/drivers/log_window.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Settings of a page server.
struct log_page_server_settings {
    /// The bytes of records kept of each log.
    std::size_t window_bytes = 1024U * 1024U;
    /// A longer page isn't sent to others, whose links it would fill before they can tell that it
    /// is on its way. They read the store, whose replies arrive in pieces.
    std::size_t max_page_bytes = 256U * 1024U;
    /// The size of a page of newest records, of which there may be many.
    std::size_t newest_page_bytes = 64U * 1024U;
    /// The bytes of pages sent a second at most; zero if unlimited.
    double bytes_per_second = 0.0;
    /// How much older than two holds the last answered read of the store may be: it was held once,
    /// and the next one may be held now. Older pages aren't sent, since the store may have newer
    /// records.
    microseconds age_slack = milliseconds(600);
};

/// Answers other processes' reads of logs with what this process read from the store. It passes on
/// what the store said, with its age, and decides nothing. All that it holds can be lost.
class log_page_server {
public:
    log_page_server(event_loop& loop, message_bus& bus, metrics& counters,
                    log_page_server_settings settings);
    ~log_page_server();
    log_page_server(const log_page_server&) = delete;
    log_page_server& operator=(const log_page_server&) = delete;

    /// Starts or stops answering with pages. A process that has stopped keeps no records. Active at
    /// first, so that what is read before the roles are known can be passed on.
    void set_active(bool active);

    /// A full read of the newest records, begun at an instant, was answered.
    void on_newest(std::string_view log, instant began, const keyed_page& page);

    /// A read from an offset on, begun at an instant, was answered.
    void on_page(std::string_view log, std::uint64_t from, instant began, const keyed_page& page);

    /// This process appended records, the first of which has this offset.
    void on_appended(std::string_view log, std::uint64_t first,
                     std::span<const keyed_record> records);

    /// A read failed. Waiting requests are told to read elsewhere.
    void on_failure(std::string_view log);

    /// Answers a request, now or once there are records for it.
    void on_request(const message_origin& origin, const wire::Envelope& message);

private:
    struct waiting_request {
        message_origin origin;
        std::uint64_t call = 0;
        std::uint64_t generation = 0;
        std::uint64_t from = 0;
        microseconds max_age{};
        /// Set if the newest record of each key behind this one is wanted.
        std::optional<std::string> after_key{};
    };

    struct served_log {
        log_window window;
        /// The newest record of each key, or nothing if it isn't known for all keys.
        std::optional<std::map<std::string, keyed_record>> newest;
        /// When the last answered read began; zero before the first.
        instant read_began{};
        /// True if the last read failed.
        bool is_failing = false;
        std::map<std::uint64_t, waiting_request> waiting;
    };

    served_log* find(std::string_view log);
    served_log& serve(std::string_view log);
    static bool is_stale(const served_log& served, const waiting_request& request);
    bool answer(const served_log& served, const waiting_request& request);
    void answer_waiting(served_log& served);
    void expire(const std::string& log, std::uint64_t number);
    void add_records(served_log& served, std::uint64_t generation, std::uint64_t from,
                     std::span<const keyed_record> records);
    void send_page(const served_log& served, const waiting_request& request);
    void send_newest(const served_log& served, const waiting_request& request);
    void send_empty_page(const served_log& served, const waiting_request& request);
    /// Tells the other process to read elsewhere. With is_missing this process isn't at fault and
    /// may be asked again at once.
    void refuse(const message_origin& origin, std::uint64_t call, bool is_missing);
    bool take_bytes(std::size_t bytes);

    event_loop& loop_;
    message_bus& bus_;
    metrics& counters_;
    log_page_server_settings settings_;
    bool active_ = true;
    std::map<std::string, served_log, std::less<>> logs_;
    std::uint64_t last_waiting_ = 0;
    /// The bytes that may be sent now, as of an instant.
    double bytes_left_ = 0.0;
    instant bytes_left_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
