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
    tokens bound = 0;
    instant arrived{};
    instant deadline{};
};

/// How much may wait, and how waiting changes a request's place.
struct admission_settings {
    std::size_t most_queued = 256;
    /// A request is refused at once if those before it would keep it waiting for longer.
    microseconds most_wait = milliseconds(500);
    /// After each such time of waiting a request counts as one class more urgent.
    microseconds ageing_step = seconds(2);
};

/// The bounded queue of one guard. The most urgent class goes first, with waiting raising the
/// class; inside a class client accounts take turns by the tokens that they were given, so that a
/// large account cannot starve small ones.
class admission_queue {
public:
    explicit admission_queue(admission_settings settings) : settings_(settings) {}

    /// Takes a request in. If the queue is full, the least urgent one goes: the new one, or one
    /// that waits, which is then returned through `displaced`.
    refusal_reason push(queued_request request, std::optional<queued_request>& displaced);

    /// How long a request of this class would wait, by the pace at which requests left lately.
    microseconds expected_wait(std::uint32_t priority) const;

    /// The next request to run, or nothing.
    std::optional<queued_request> pop(instant now);

    /// Removes a request that is no longer wanted.
    bool remove(attempt_id attempt);

    /// Removes and returns all requests that can no longer meet their deadline, given how long one
    /// takes at the least.
    std::vector<queued_request> take_hopeless(instant now, microseconds least_duration);

    /// Removes and returns everything.
    std::vector<queued_request> take_all();

    std::size_t size() const { return waiting_.size(); }

private:
    void note_pop(instant now);
    std::uint32_t class_of(const queued_request& request, instant now) const;

    admission_settings settings_;
    std::vector<queued_request> waiting_;
    /// Tokens given to each client account, the basis for taking turns.
    std::map<std::string, double, std::less<>> served_;
    double served_floor_ = 0.0;
    /// The average time between two requests that left while others waited; zero if not known.
    double pop_interval_us_ = 0.0;
    instant last_pop_{};
    bool waited_at_last_pop_ = false;
};

}  // namespace wrenswitch
