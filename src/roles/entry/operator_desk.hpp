#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "roles/entry/entry_settings.hpp"
#include "roles/entry/fleet_view.hpp"
#include "roles/entry/home_desk.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/language/command.hpp"
#include "wrenswitch/drivers/control_replica.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// What the desk uses of its process. All must outlive it.
struct operator_desk_parts {
    event_loop& loop;
    control_replica& control;
    fleet_view& fleet;
    home_desk& homes;
    random_source& random;
};

/// Takes operators' scripts, carries out their statements one after another and answers with what
/// became of each. A statement is reported as done only after it was read back from the log.
class operator_desk {
public:
    operator_desk(const entry_settings& settings, operator_desk_parts parts);

    /// Handles POST /v1/operator/commands.
    void handle(const http_exchange_pointer& exchange);

private:
    struct script_run;

    bool allowed(const http_exchange& exchange, operator_role needed) const;
    operator_role needed_for(const command& statement) const;
    void run_next(const std::shared_ptr<script_run>& run);
    void run_change(const std::shared_ptr<script_run>& run, std::vector<command> statements);
    void try_change(const std::shared_ptr<script_run>& run, std::vector<command> statements,
                    operation_id operation, unsigned tries);
    void run_set_budget(const std::shared_ptr<script_run>& run, const command& statement);
    void run_release(const std::shared_ptr<script_run>& run, const command& statement);
    void run_show(const std::shared_ptr<script_run>& run, const command& statement, unsigned waits);
    bool ledgers_read() const;
    void finish(const std::shared_ptr<script_run>& run);

    const entry_settings& settings_;
    operator_desk_parts parts_;
};

}  // namespace wrenswitch
