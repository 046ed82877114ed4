#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "roles/entry/allocator_service.hpp"
#include "roles/entry/cluster_view.hpp"
#include "roles/entry/entry_settings.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/language/command.hpp"
#include "wrenswitch/drivers/control_replica.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// Dependencies of the operator API. All must outlive it.
struct operator_api_context {
    event_loop& loop;
    control_replica& control;
    cluster_view& cluster;
    allocator_service& allocators;
    random_source& random;
};

/// Executes operators' command scripts statement by statement and responds with the outcome of
/// each. A change is reported as done only after it was read back from the log; a release is
/// reported once it is queued.
class operator_api {
public:
    operator_api(const entry_settings& settings, operator_api_context context);

    /// Handles a request to /v1/operator/commands.
    void handle(const http_exchange_pointer& exchange);

private:
    struct script_run;

    bool is_authorized(const http_exchange& exchange, operator_role required) const;
    operator_role required_role(const command& statement) const;
    void run_next_statement(const std::shared_ptr<script_run>& run);
    void run_change(const std::shared_ptr<script_run>& run, std::vector<command> statements);
    void try_change(const std::shared_ptr<script_run>& run, std::vector<command> statements,
                    operation_id operation, unsigned attempts);
    void run_set_budget(const std::shared_ptr<script_run>& run, const command& statement);
    void run_release(const std::shared_ptr<script_run>& run, const command& statement);
    void run_show(const std::shared_ptr<script_run>& run, const command& statement, unsigned polls);
    bool all_ledgers_live() const;
    void finish(const std::shared_ptr<script_run>& run);

    const entry_settings& settings_;
    operator_api_context context_;
};

}  // namespace wrenswitch
