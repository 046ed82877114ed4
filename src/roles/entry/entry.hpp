#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "roles/entry/allocator_service.hpp"
#include "roles/entry/cluster_view.hpp"
#include "roles/entry/entry_settings.hpp"
#include "roles/entry/operator_api.hpp"
#include "roles/entry/request_handler.hpp"
#include "roles/shared/caller_memory.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/drivers/control_replica.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// The process on an entry host: serves callers and operators, allocates the tokens of budgets, and
/// routes requests to the guards in front of the targets.
class entry {
public:
    entry(event_loop& loop, const entry_settings& settings);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// Opens the listening sockets and starts reading the control stream. Fails if an address
    /// cannot be bound.
    result<void> start();

    /// Stops accepting requests. Calls `done` once all requests have ended, all grants are returned
    /// and the closing of this incarnation is recorded, or once the drain timeout has passed or
    /// this entry was fenced.
    void drain(std::function<void()> done);

private:
    void on_message(const message_origin& origin, const wire::Envelope& message);
    void on_pong(const wire::Pong& pong);
    void handle_caller(const http_exchange_pointer& exchange);
    void handle_operator(const http_exchange_pointer& exchange);
    void start_request(const http_exchange_pointer& exchange);
    void list_models(const http_exchange_pointer& exchange);
    bool ready() const;

    void register_self();
    void on_control_applied(const control_record& record, const control_effect& effect);
    void on_control_caught_up();
    void on_control_restored();
    void on_self_fenced();
    void tick();
    void check_watched_members(instant now);
    void check_guards_in_use(instant now);
    void send_ping(incarnation_id to);
    void acknowledge_guard_fences();
    void collect_fence_ack(const wire::MarkReport& report);
    void submit_fence_acks();
    void update_gauges(instant now);
    void finish_drain_if_idle();
    void end_remaining_requests();
    request_handler* find_handler(std::uint64_t request);

    event_loop& loop_;
    const entry_settings& settings_;
    random_source random_;
    metrics metrics_;
    caller_memory caller_memory_;
    timeline timeline_;
    retry_budget retries_;
    std::unique_ptr<log_service> log_;
    std::unique_ptr<message_bus> bus_;
    std::unique_ptr<control_replica> control_;
    std::unique_ptr<target_picker> picker_;
    std::unique_ptr<cluster_view> cluster_;
    std::unique_ptr<allocator_service> allocators_;
    std::unique_ptr<operator_api> operator_api_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> operator_server_;
    incarnation_id incarnation_{};
    bool registering_ = false;
    bool active_ = false;
    bool closing_ = false;
    bool cluster_changed_ = false;
    instant drain_deadline_{};
    std::function<void()> on_drained_;
    std::unordered_map<std::uint64_t, std::shared_ptr<request_handler>> handlers_;
    std::map<incarnation_id, instant> last_ping_;
    /// Fence acknowledgements received from guards and not submitted to the control stream yet.
    std::vector<fence_ack> pending_fence_acks_;
    std::set<incarnation_id> fences_sent_;
    std::unique_ptr<timer> tick_;
    std::unique_ptr<timer> append_timer_;
    std::unique_ptr<timer> drain_timer_;
};

}  // namespace wrenswitch
