#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/guard/refusal.hpp"

namespace wrenswitch {

/// A request that waits at a guard for its target.
struct queued_request {
    attempt_id attempt{};
    std::string client_account;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The maximum number of tokens that the request may use.
    tokens token_bound = 0;
    instant arrived_at{};
    instant deadline{};
};

/// Limits of an admission queue, and how waiting raises the priority of a request.
struct admission_queue_settings {
    std::size_t max_queued = 256;
    /// A request is refused immediately if it is expected to wait longer than this.
    microseconds max_wait = milliseconds(500);
    /// The priority of a request is raised by one for each such interval that it has waited.
    microseconds aging_interval = seconds(2);
};

/// The bounded priority queue of one guard. Requests with the most urgent priority run first, and
/// waiting raises the priority of a request. Within a priority, client accounts share the target by
/// start-time fair queueing on their tokens, so that a large account cannot starve small ones.
class admission_queue {
public:
    explicit admission_queue(admission_queue_settings settings) : settings_(settings) {}

    /// Adds a request. If the queue is full, the least urgent request is refused: either the new
    /// one, or a queued one, which is then returned in `evicted`.
    refusal_reason push(queued_request request, std::optional<queued_request>& evicted);

    /// How long a request of this priority is expected to wait, from the average interval between
    /// recent pops.
    microseconds expected_wait(std::uint32_t priority) const;

    /// Removes and returns the next request to run; nothing if the queue is empty.
    std::optional<queued_request> pop(instant now);

    /// Removes a cancelled request. Returns false if it is not in the queue.
    bool remove(attempt_id attempt);

    /// Removes and returns all requests that cannot meet their deadline if they take at least
    /// `min_duration`.
    std::vector<queued_request> remove_unmeetable(instant now, microseconds min_duration);

    /// Removes and returns all requests.
    std::vector<queued_request> remove_all();

    std::size_t size() const { return waiting_.size(); }

private:
    void update_pop_interval(instant now);
    std::uint32_t aged_priority(const queued_request& request, instant now) const;

    admission_queue_settings settings_;
    std::vector<queued_request> waiting_;
    /// The virtual finish time, in tokens, of the last request of each client account.
    std::map<std::string, double, std::less<>> virtual_finish_;
    /// The virtual start time of the last request that was popped.
    double virtual_time_ = 0.0;
    /// The average interval between pops while other requests waited, in microseconds; zero if not
    /// yet known.
    double pop_interval_us_ = 0.0;
    instant last_pop_{};
    bool queued_at_last_pop_ = false;
};

}  // namespace wrenswitch
