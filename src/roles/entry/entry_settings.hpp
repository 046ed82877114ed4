#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "roles/shared/process_settings.hpp"
#include "wrenswitch/decision/home/grant_policy.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// Permission level of an operator key. Each role includes the roles before it.
enum class operator_role { read, change, release };

/// An operator key, stored as its SHA-256 digest only.
struct operator_key {
    operator_role role = operator_role::read;
    std::string sha256;
};

/// The set of entries that share one token allocator per budget.
enum class allocator_scope { region, failure_domain };

/// Settings of an entry process.
struct entry_settings {
    process_settings process;
    http_server_settings callers;
    http_server_settings operators;
    std::vector<operator_key> operator_keys;
    allocator_scope scope = allocator_scope::region;
    std::string policy = "shared_reserve";
    grant_policy_settings grants;
    picker_settings routing;
    /// Interval at which settlements are appended to the ledger.
    microseconds settle_period = seconds(1);
    /// Maximum time that a request waits for tokens held by other allocators.
    microseconds token_wait = milliseconds(400);
    /// A monitored process is fenced after this much inactivity.
    microseconds fence_after = seconds(5);
    /// Deadline of requests without X-Deadline-Ms.
    microseconds default_deadline = seconds(60);
    /// Maximum ratio of retries to first attempts.
    double retry_share = 0.1;
};

}  // namespace wrenswitch
