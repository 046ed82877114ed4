#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Total numbers of bytes since the process began.
struct link_bytes {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/// Measures the bytes per second of one kind of traffic.
class link_rate {
public:
    explicit link_rate(double time_constant) : time_constant_(time_constant) {}

    /// Updates the rates from the total numbers of bytes.
    void observe(instant now, link_bytes total);

    double received() const { return received_; }
    double sent() const { return sent_; }

private:
    double time_constant_;
    instant measured_at_{};
    link_bytes total_;
    double received_ = 0.0;
    double sent_ = 0.0;
};

/// One request as the scheduler sees it, once its head is complete.
struct link_request {
    std::string account;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// The bytes that the request takes in the busier direction, including its response.
    double bytes = 0.0;
    /// How long it may wait and still be useful.
    microseconds longest_wait{};
};

enum class link_action { proceed, wait, refuse };

/// What happens to a request now.
struct link_decision {
    link_action action = link_action::proceed;
    /// Identifies a waiting request.
    std::uint64_t ticket = 0;
    /// The expected wait, or for a refused request the time after which its account's share is
    /// free.
    microseconds time{};
};

/// The end of a wait.
struct link_resolution {
    std::uint64_t ticket = 0;
    /// False if the request is refused.
    bool proceeds = false;
    microseconds waited{};
    /// For a refused request.
    microseconds retry_after{};
};

/// The state of one account, for traces.
struct link_account_state {
    /// The bytes per second that the account may use now.
    double share = 0.0;
    /// Bytes that are allotted ahead of its share or wait.
    double backlog_bytes = 0.0;
    std::size_t waiting = 0;
};

/// Divides the capacity of a link among client accounts by start-time fair queueing. The virtual
/// time advances by the bytes that each active account may have sent, and a request may start once
/// the virtual time reaches the start tag of its account, less a tolerance for bursts. An account
/// below its equal share is therefore not held, and what it leaves goes to the others.
///
/// Each account has a tag for each priority, which counts the bytes of that priority and all more
/// urgent ones. Urgent requests therefore wait only for urgent ones. The waiting requests of an
/// account are ordered by priority, then by size, and those that can't start in time at their place
/// in this order are refused: the least urgent and the largest first.
///
/// While the measured use of the link is below half of its bandwidth, nothing is held or refused,
/// so that wrong estimates of requests can't hold back a link with room.
class link_scheduler {
public:
    /// Zero if the bandwidth is unknown; every request then proceeds.
    explicit link_scheduler(double bytes_per_second);

    /// Updates the measured use of the link by callers and targets, and by messages between hosts
    /// and calls to the store, which are carried first.
    void observe(instant now, link_bytes callers, link_bytes others);

    link_decision submit(instant now, const link_request& request);

    /// Ends the waits of requests that may start now or can no longer start in time.
    std::vector<link_resolution> resolve(instant now);

    /// Removes a waiting request whose caller has disconnected.
    void cancel(std::uint64_t ticket);

    /// The time until the next waiting request may start. Nothing if none waits.
    std::optional<microseconds> next_start(instant now) const;

    /// The bytes per second that the accounts may use together.
    double capacity() const;

    /// The measured use of the busier direction, as a share of the bandwidth.
    double utilization() const;

    /// True while the link has room, so that nothing is held or refused.
    bool has_room() const;

    /// True while the link carries as much as it can.
    bool is_saturated() const;

    /// The time after which an account may start another request of a priority.
    microseconds free_after(instant now, std::string_view account, unsigned priority);

    link_account_state state_of(std::string_view account) const;

    std::size_t waiting() const;

private:
    /// The account's priority and its route's together range from 0 to 9.
    static constexpr std::size_t priority_count = 10;
    using tags = std::array<double, priority_count>;

    struct waiting_request {
        std::uint64_t ticket = 0;
        std::size_t priority = 0;
        double bytes = 0.0;
        instant arrived{};
        instant deadline{};
    };

    struct account_queue {
        /// The virtual finish times of what was started, by priority.
        tags finish{};
        /// The virtual time up to which refused requests were told to stay away.
        double promised = 0.0;
        /// Ordered by priority, size and arrival.
        std::vector<waiting_request> waiting;
    };

    using queue_map = std::map<std::string, account_queue, std::less<>>;

    void advance(instant now);
    std::size_t active_accounts() const;
    double account_rate() const;
    double burst_bytes() const;
    double queued_burst_bytes() const;
    static void charge(tags& finish, std::size_t priority, double bytes, double floor);
    microseconds time_until(double virtual_time) const;
    microseconds promise(account_queue& queue, const tags& planned,
                         const waiting_request& request) const;
    void start_due(instant now, account_queue& queue, std::uint64_t new_ticket);
    void refuse_overdue(instant now, account_queue& queue);

    double bandwidth_;
    link_rate callers_;
    link_rate others_;
    /// The slower average of the other traffic by which the capacity is reduced.
    link_rate reserved_;
    /// The bytes that may start before the measured use reaches half of the bandwidth.
    double room_bytes_ = 0.0;
    instant room_measured_at_{};
    /// The started bytes that the capacity has not carried yet.
    double link_backlog_ = 0.0;
    double virtual_time_ = 0.0;
    instant advanced_{};
    std::uint64_t last_ticket_ = 0;
    queue_map accounts_;
    std::vector<link_resolution> resolved_;
};

}  // namespace wrenswitch
