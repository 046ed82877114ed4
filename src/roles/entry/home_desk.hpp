#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "drivers/bus_codec.hpp"
#include "roles/entry/entry_settings.hpp"
#include "roles/entry/fleet_view.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/decision/home/budget_home.hpp"
#include "wrenswitch/drivers/control_replica.hpp"
#include "wrenswitch/drivers/ledger_replica.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// What the desk uses of its process. All must outlive it.
struct home_desk_parts {
    event_loop& loop;
    log_service& log;
    message_bus& bus;
    control_replica& control;
    fleet_view& fleet;
    random_source& random;
    metrics& counters;
    timeline& events;
};

/// Runs the budget homes of one entry: a ledger replica and a home for each shard that it serves,
/// and the messages to and from them.
class home_desk {
public:
    /// Told the answer to an ask.
    using answer_hook = std::function<void(const reservation_reply&)>;

    /// Told what the fold did with an operator's operation.
    using outcome_hook = std::function<void(operation_outcome)>;

    home_desk(const entry_settings& settings, home_desk_parts parts);
    ~home_desk();
    home_desk(const home_desk&) = delete;
    home_desk& operator=(const home_desk&) = delete;

    /// Begins anew under an incarnation: all that an earlier one held is gone.
    void restart(incarnation_id own);

    /// The shard of a budget.
    shard_index shard_of(budget_id budget) const;

    /// Reserves for a request of this entry or, through a message, of another one.
    void reserve(const reservation_request& ask, answer_hook done);

    /// A guard took a ticket of this entry's.
    void started(ticket_id id, incarnation_id guard, const std::string& guard_endpoint);

    /// A ticket of this entry's ran nowhere.
    void release(ticket_id id);

    void on_reserve(const message_origin& origin, const wire::ReserveRequest& request);
    void on_charges(const message_origin& origin, const wire::ChargeReport& report);
    void on_void_reply(const wire::VoidReply& reply);

    /// A fence was read from the control stream.
    void on_fence(incarnation_id fenced);

    /// Queues an operator's operation in a shard and reports what became of it.
    void submit(shard_index shard, ledger_operation operation, outcome_hook done);

    /// The replica of a shard, which is started if need be.
    const ledger_replica& replica(shard_index shard);

    void tick(instant now);

    /// Appends what is due. Called often.
    void pump(instant now);

    void start_drain();
    bool idle() const;

    /// True if every home is done with a fenced guard.
    bool is_guard_settled(incarnation_id guard) const;
    void forget_guard(incarnation_id guard);

    /// True if all shards that this entry should serve are read up to the log's end.
    bool ready() const;

private:
    struct waiting_ask {
        reservation_request ask;
        answer_hook done;
        instant until{};
    };

    /// One shard that this entry serves.
    struct desk_shard {
        std::unique_ptr<ledger_replica> replica;
        std::unique_ptr<budget_allocator> home;
        std::vector<ledger_operation> batch;
        instant last_append{};
        /// When somebody last asked for something here.
        instant last_used{};
        /// Asks that came before the replica was read to its end.
        std::vector<waiting_ask> early;
        std::unordered_map<std::uint64_t, answer_hook> parked;
        /// Operators' operations by their identifier.
        std::unordered_map<operation_id, outcome_hook> operator_operations;
        std::map<incarnation_id, instant> reclaim_tried;
    };

    desk_shard& shard(shard_index index);
    void start_home(desk_shard& target);
    void on_applied(desk_shard& target, const ledger_batch& batch,
                    std::span<const operation_outcome> outcomes, bool own);
    void on_caught_up(desk_shard& target);
    void reserve_at(desk_shard& target, const reservation_request& ask, answer_hook done);
    void acknowledge(const std::vector<ticket_id>& settled);
    bool keeps_no_state(const desk_shard& target) const;
    void retire_unused(instant now);
    void ask_for_unclear(desk_shard& target, instant now);
    void reclaim_fenced(desk_shard& target, instant now);
    void note_operator_outcomes(desk_shard& target, const ledger_batch& batch,
                                std::span<const operation_outcome> outcomes);
    budget_allocator* home_with(ticket_id id);

    const entry_settings& settings_;
    home_desk_parts parts_;
    incarnation_id own_{};
    std::map<shard_index, std::unique_ptr<desk_shard>> shards_;
    /// Which shard a ticket of this entry belongs to.
    std::unordered_map<ticket_id, shard_index> ticket_shards_;
    /// Who reported a charge that is not in the ledger yet.
    std::unordered_map<ticket_id, message_origin> reporters_;
    std::uint64_t next_ask_ = 1;
    bool draining_ = false;
};

}  // namespace wrenswitch
