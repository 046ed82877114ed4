#pragma once

#include <map>
#include <string>
#include <vector>

#include "soak/load_balancer_standin.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch::testing {

/// What callers use of an entry, and what a test does to it.
struct contended_entry {
    /// The port of the link to the entry.
    std::uint16_t port = 0;
    bool running = false;
    /// When a fault of this entry began or ended last.
    instant last_fault{};
    /// Faults after which requests that were under way are lost or late: kills and freezes.
    unsigned hard_faults = 0;
};

/// The callers of one account, which have one connection address. They keep their connections, and
/// open new ones to the entry that the load balancer directs them to.
class contended_caller {
public:
    struct load {
        std::string account;
        std::string path;
        std::size_t body_bytes = 0;
        microseconds interval{};
        /// No request is sent while so many are without a response.
        std::size_t max_open = 0;
        /// True if the account has a budget, which may run out.
        bool is_metered = false;
    };

    /// Callers open a new connection after so many requests, so that they follow the load balancer.
    static constexpr std::size_t max_requests_on_connection = 20;

    /// How the requests ended that no fault of their entry explains.
    struct outcome {
        std::size_t served = 0;
        /// Those that got another response than 200, and those that got none.
        std::size_t refused = 0;
        std::size_t failed = 0;
        /// How often a request was sent again, whether a fault explains it or not.
        std::size_t resent = 0;
        microseconds slowest{};
    };

    /// How long callers wait for a response. Longer than the longest freeze of an entry.
    static constexpr microseconds patience = seconds(3);

    /// How long after a fault of an entry began or ended it may affect new requests: the age of
    /// reports and two readiness checks.
    static constexpr microseconds fault_effect = seconds(3);

    contended_caller(load offered, std::vector<std::size_t> order)
        : load_(std::move(offered)), order_(std::move(order)) {}

    /// Sends at most one request that is due.
    void send_due(instant now, const std::vector<contended_entry>& entries,
                  const load_balancer_standin& balancer);

    void change_interval(microseconds interval) { load_.interval = interval; }

    /// Takes the responses. `completed` has the times at which targets completed requests.
    void collect(instant now, const std::vector<contended_entry>& entries,
                 const load_balancer_standin& balancer,
                 const std::map<std::string, instant>& completed);

    /// Gives up all requests and closes all connections.
    void end();

    const std::string& account() const { return load_.account; }
    const std::vector<std::size_t>& order() const { return order_; }
    const outcome& result() const { return result_; }
    bool is_metered() const { return load_.is_metered; }

    /// Responses that were complete at a target and did not reach their caller.
    const std::vector<std::string>& undelivered() const { return undelivered_; }

    /// The identifier of each failed request, with what it got and where.
    const std::map<std::string, std::string>& failures() const { return failures_; }

    /// The longest time without a served request, including the one that has not ended.
    microseconds longest_gap(instant now) const;

private:
    struct connection {
        raw_socket socket;
        std::size_t entry = 0;
        std::size_t requests = 0;
    };

    struct request {
        connection on;
        std::string id;
        instant sent_at{};
        bool fault_affects = false;
        unsigned hard_faults = 0;
    };

    connection take_connection(const std::vector<contended_entry>& entries,
                               const load_balancer_standin& balancer);
    void send(request& next, instant now, const std::vector<contended_entry>& entries,
              const load_balancer_standin& balancer);
    static bool may_resend(request& closed, instant now,
                           const std::vector<contended_entry>& entries,
                           const std::map<std::string, instant>& completed);
    void resend(request& closed, instant now, const std::vector<contended_entry>& entries,
                const load_balancer_standin& balancer);
    void judge(request& ended, instant now, const contended_entry& entry,
               const std::map<std::string, instant>& completed);
    void record_served(instant now);

    load load_;
    std::vector<std::size_t> order_;
    instant next_{};
    std::size_t last_id_ = 0;
    std::vector<connection> idle_;
    std::vector<request> open_;
    outcome result_;
    std::map<std::string, std::string> failures_;
    instant last_served_{};
    microseconds longest_gap_{};
    std::vector<std::string> undelivered_;
};

}  // namespace wrenswitch::testing
