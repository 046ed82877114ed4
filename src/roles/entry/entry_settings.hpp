#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "roles/shared/platform_settings.hpp"
#include "wrenswitch/decision/home/grant_policy.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// What an operator's key allows. Each role includes those before it.
enum class operator_role { read, change, release };

/// One operator's key, known by its SHA-256 only.
struct operator_key {
    operator_role role = operator_role::read;
    std::string sha256;
};

/// Which entries share a home for a budget.
enum class home_scope { region, failure_domain };

/// The settings of an entry.
struct entry_settings {
    process_settings process;
    http_server_settings callers;
    http_server_settings operators;
    std::vector<operator_key> operator_keys;
    home_scope scope = home_scope::region;
    std::string policy = "shared_reserve";
    grant_policy_settings grants;
    picker_settings routing;
    /// How often settlements are appended.
    microseconds settle_period = seconds(1);
    /// How long a request may wait for tokens from other homes.
    microseconds token_wait = milliseconds(400);
    /// A process that is silent for so long is fenced.
    microseconds fence_after = seconds(5);
    /// Used if the caller names no deadline.
    microseconds default_deadline = seconds(60);
    /// The share of first tries that retries may add.
    double retry_share = 0.1;
};

}  // namespace wrenswitch
