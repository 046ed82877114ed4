#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// A request that competes for the engines of one coordinator.
struct competing_request {
    std::string service;
    std::string account;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// The work that it causes, in tokens.
    double work_tokens = 0.0;
    /// The time to the first event within which the response has its full value; zero if unlimited.
    microseconds first_event_objective{};
    /// The longest acceptable pause between events; zero if unlimited.
    microseconds max_event_gap{};
    /// The time until its caller's deadline.
    microseconds remaining{};
    /// How long the coordinator has held it.
    microseconds held{};
    /// True if the coordinator may hold it or decide finally; otherwise other coordinators are
    /// asked after a refusal.
    bool is_last_query = true;
    /// False if the coordinator holds too many requests already.
    bool may_hold = true;
};

/// The expected state of the best engine for a request, including the request. Durations are in ms.
struct engine_estimate {
    std::string engine;
    double first_event_ms = 0.0;
    /// The prefills pending there, and the least pending at any other engine of the coordinator.
    double backlog_ms = 0.0;
    double other_backlog_ms = 0.0;
    /// The request's own prefill.
    double prefill_ms = 0.0;
    /// The longest pause in the engine's streams with the request and without it.
    double pause_ms = 0.0;
    double pending_pause_ms = 0.0;
    /// The probability that the response is late in any respect.
    double late_probability = 0.0;
    /// The engines of the coordinator that may serve the request.
    std::size_t engines = 1;
};

/// Whether a request may be placed.
enum class admission_outcome { admit, hold, refuse };

/// The decision on a request and what determined it.
struct admission_decision {
    admission_outcome outcome = admission_outcome::admit;
    /// The time after which a held request is tried again, or a refused one may be sent again.
    microseconds wait{};
    /// The expected loss of requests that rank ahead and the request's own expected value, both in
    /// requests.
    double harm = 0.0;
    double value = 0.0;
};

/// The longest time that is given to a refused caller: rates that are older are unknown.
constexpr microseconds max_admission_wait = seconds(10);

/// The longest time that a request may be held.
microseconds max_hold(microseconds first_event_objective);

/// Decides which of the requests that compete for engines are admitted, held for a short time or
/// refused. A request is admitted unless it is expected to cost requests that rank ahead of it more
/// than its own value, or cannot be served before its deadline. No account is admitted less than a
/// quarter as often as the rest because of its rank.
class engine_admission {
public:
    /// Decides on a request. A refusal of a last query counts for the account's share.
    admission_decision decide(instant now, const competing_request& request,
                              const engine_estimate& best);

    /// Records that an admitted request was placed on an engine.
    void record_admitted(instant now, std::uint64_t attempt, const competing_request& request,
                         const engine_estimate& estimate);

    /// Records the end of an attempt. Unknown attempts are ignored.
    void end_attempt(std::uint64_t attempt);

    /// The factor by which a late request of this priority counts in comparison with the least
    /// urgent one that the service received recently.
    double urgency_weight(instant now, std::string_view service, unsigned priority) const;

    /// The recently admitted work of an account, in tokens per second.
    double admitted_work(instant now, std::string_view service, std::string_view account,
                         unsigned priority) const;

    /// The number of accounts and priorities that are tracked.
    std::size_t tracked() const { return classes_.size(); }

private:
    /// Service, priority and account.
    using class_key = std::tuple<std::string, unsigned, std::string>;

    /// The recent requests of one account with one priority. The sums decay.
    struct class_state {
        double admitted = 0.0;
        double refused = 0.0;
        double work_tokens = 0.0;
        double prefill_ms = 0.0;
        instant decayed_at{};
        /// Running means of the admitted requests.
        double objective_ms = 0.0;
        double unloaded_ms = 0.0;
        /// The latest time that was given to a refused request.
        instant promised_until{};
    };

    struct stream {
        class_key owner;
        std::string engine;
        double max_event_gap_ms = 0.0;
    };

    /// The recent work of a request's account, and whether it is well above the mean of the
    /// accounts of the same priority.
    struct share_level {
        double own_work = 0.0;
        bool over_share = false;
        /// The weight of requests of accounts with less work.
        double weight_of_others = 1.0;
    };

    class_state& state_of(instant now, const class_key& key);
    static double decay_factor(instant now, const class_state& state);
    share_level level_of(instant now, const competing_request& request) const;
    bool ranks_ahead(instant now, const class_key& other, const competing_request& request,
                     const share_level& level) const;
    static double harm_weight(const class_key& other, const competing_request& request,
                              const share_level& level);
    double arrival_harm(instant now, const competing_request& request, const share_level& level,
                        const engine_estimate& best) const;
    double utilization(instant now, std::string_view service, std::size_t engines) const;
    double stream_harm(instant now, const competing_request& request, const share_level& level,
                       const engine_estimate& best) const;
    double harm(instant now, const competing_request& request, const share_level& level,
                const engine_estimate& best) const;
    double admitted_share_of_others(instant now, const class_key& key) const;
    bool is_below_floor(instant now, const class_key& key) const;
    double ms_until_floor(instant now, const class_key& key) const;
    double ms_until_harmless(instant now, const competing_request& request,
                             const share_level& level, const engine_estimate& best) const;
    admission_decision refuse(instant now, const competing_request& request,
                              const engine_estimate& best, double wait_ms,
                              admission_decision decision);
    void evict_quietest(instant now);

    std::map<class_key, class_state> classes_;
    std::map<std::uint64_t, stream> streams_;
    /// The attempts with a pause bound at each engine.
    std::map<std::string, std::map<std::uint64_t, const stream*>, std::less<>> by_engine_;
};

}  // namespace wrenswitch
