#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/membership/peer_suspicions.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// Tracks which engine coordinators reply to this gateway and their round trip times. A coordinator
/// that lets a query time out is skipped until it sends a reply, and is reported as lost if that
/// takes too long.
class coordinator_monitor {
public:
    /// Callbacks into the process, with the meaning they have in placement_exchange::hooks.
    struct hooks {
        std::function<void(const std::string& host, bool others_answered)> coordinator_unresponsive;
        std::function<void(const std::string& host)> coordinator_responded;
        std::function<microseconds(const cluster_member& coordinator)> round_trip;
        std::function<void(const cluster_member& coordinator, microseconds elapsed)>
            round_trip_measured;
    };

    /// The loop and the metrics must outlive the monitor.
    coordinator_monitor(event_loop& loop, metrics& counters, hooks needs);
    ~coordinator_monitor();
    coordinator_monitor(const coordinator_monitor&) = delete;
    coordinator_monitor& operator=(const coordinator_monitor&) = delete;

    /// The round trip time to a coordinator; zero if it is in this gateway's region.
    microseconds round_trip(const cluster_member& coordinator) const {
        return hooks_.round_trip(coordinator);
    }

    bool is_unresponsive(const std::string& host) const { return suspicions_.is_suspected(host); }

    /// Adds the hosts of the coordinators that are skipped.
    void add_unresponsive(std::vector<std::string>& hosts) const {
        suspicions_.add_suspected(hosts);
    }

    /// A reply arrived in time to a query that was sent at `sent_at`.
    void on_reply(const cluster_member& coordinator, instant sent_at);

    /// A reply arrived after its query had timed out.
    void on_late_reply(std::uint64_t attempt);

    /// A query timed out.
    void on_timeout(std::uint64_t attempt, const cluster_member& coordinator, instant sent_at);

private:
    struct late_query {
        cluster_member coordinator;
        instant sent_at{};
    };

    void start_loss_timer(const cluster_member& coordinator, instant sent_at);
    void track_late_query(std::uint64_t attempt, const cluster_member& coordinator,
                          instant sent_at);

    event_loop& loop_;
    metrics& counters_;
    hooks hooks_;
    peer_suspicions suspicions_;
    /// Queries that timed out, kept while a reply may still arrive and give a round trip time.
    std::map<std::uint64_t, late_query> late_queries_;
    /// When the most recent query that got a reply was sent.
    instant latest_answered_query_{};
    /// When the last reply of each coordinator arrived, by host.
    std::map<std::string, instant> last_reply_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
