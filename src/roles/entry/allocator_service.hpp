#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "drivers/bus_codec.hpp"
#include "roles/entry/cluster_view.hpp"
#include "roles/entry/entry_settings.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/decision/home/budget_allocator.hpp"
#include "wrenswitch/drivers/control_replica.hpp"
#include "wrenswitch/drivers/ledger_replica.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Dependencies of the allocator service. All must outlive it.
struct allocator_service_context {
    event_loop& loop;
    log_service& log;
    message_bus& bus;
    control_replica& control;
    cluster_view& cluster;
    random_source& random;
    metrics& counters;
    timeline& events;
};

/// Runs the token allocators of one entry: a ledger replica and a budget allocator for each shard
/// in use, and the messages to and from them.
class allocator_service {
public:
    /// Receives the reply to a reservation request.
    using reply_hook = std::function<void(const reservation_reply&)>;

    /// Receives the outcome of an operator's operation when it is applied to the ledger.
    using outcome_hook = std::function<void(operation_outcome)>;

    allocator_service(const entry_settings& settings, allocator_service_context context);
    ~allocator_service();
    allocator_service(const allocator_service&) = delete;
    allocator_service& operator=(const allocator_service&) = delete;

    /// Starts over under a new incarnation. Drops the state of the old one and replies
    /// budget_unreachable to waiting requests.
    void restart(incarnation_id incarnation);

    shard_index shard_of(budget_id budget) const;

    /// Reserves tokens. `done` may be called before this returns; if the ledger replica of the
    /// shard is not live yet, the request is deferred for a limited time.
    void reserve(const reservation_request& request, reply_hook done);

    /// Records that a guard started the request of a ticket that this entry granted.
    void ticket_started(ticket_id id, incarnation_id guard, const std::string& guard_endpoint);

    /// Returns a granted ticket that was not used by any guard.
    void release_ticket(ticket_id id);

    void on_reserve(const message_origin& origin, const wire::ReserveRequest& request);
    void on_charges(const message_origin& origin, const wire::ChargeReport& report);
    void on_void_reply(const wire::VoidReply& reply);

    /// Handles a fence that was applied from the control stream. Only fences of guards matter here.
    void on_fence(incarnation_id fenced);

    /// Queues an operator's operation in a shard. `done` gets the outcome of a set_budget_operation
    /// when the ledger shows it, and `accepted` at once for any other operation.
    void submit(shard_index shard, ledger_operation operation, outcome_hook done);

    /// Returns the replica of a shard and starts it if necessary.
    const ledger_replica& replica(shard_index shard);

    void tick(instant now);

    /// Submits the pending operations of each shard that are due: urgent ones at once, others once
    /// per settle period.
    void append_due_batches(instant now);

    void start_drain();
    bool idle() const;

    /// True if every allocator has settled all tickets at a fenced guard.
    bool is_guard_settled(incarnation_id guard) const;
    void forget_guard(incarnation_id guard);

    /// True if all open ledger replicas have reached the end of the log.
    bool ready() const;

private:
    struct deferred_request {
        reservation_request request;
        reply_hook done;
        instant deadline{};
    };

    /// A shard with an open replica and allocator.
    struct served_shard {
        std::unique_ptr<ledger_replica> replica;
        std::unique_ptr<budget_allocator> allocator;
        std::vector<ledger_operation> submitted_batch;
        instant last_append{};
        /// Last time that the shard was looked up.
        instant last_used{};
        /// Requests that arrived before the replica reached the end of the log.
        std::vector<deferred_request> deferred;
        /// Hooks of requests that wait for tokens, by request identifier.
        std::unordered_map<std::uint64_t, reply_hook> waiting_replies;
        /// Hooks of operators' operations that the ledger has not shown yet.
        std::unordered_map<operation_id, outcome_hook> operator_operations;
        std::map<incarnation_id, instant> last_reclaim;
    };

    served_shard& open_shard(shard_index index);
    void create_allocator(served_shard& shard);
    void on_applied(served_shard& shard, const ledger_batch& batch,
                    std::span<const operation_outcome> outcomes, bool submitted_here);
    void on_caught_up(served_shard& shard);
    void reserve_at(served_shard& shard, const reservation_request& request, reply_hook done);
    void acknowledge_charges(const std::vector<ticket_id>& settled);
    bool has_no_state(const served_shard& shard) const;
    void close_unused_shards(instant now);
    void query_unconfirmed_tickets(served_shard& shard, instant now);
    void reclaim_from_fenced(served_shard& shard, instant now);
    void report_operator_outcomes(served_shard& shard, const ledger_batch& batch,
                                  std::span<const operation_outcome> outcomes);
    budget_allocator* allocator_of_ticket(ticket_id id);

    const entry_settings& settings_;
    allocator_service_context context_;
    incarnation_id incarnation_{};
    std::map<shard_index, std::unique_ptr<served_shard>> shards_;
    /// The shard of each ticket granted by this entry.
    std::unordered_map<ticket_id, shard_index> ticket_shards_;
    /// The sender of each reported charge that is not in the ledger yet.
    std::unordered_map<ticket_id, message_origin> charge_reporters_;
    std::uint64_t next_request_id_ = 1;
    bool draining_ = false;
};

}  // namespace wrenswitch
