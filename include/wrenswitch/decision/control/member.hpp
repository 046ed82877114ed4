#pragma once

#include <string>

#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// The role of a process: an entry accepts client requests, a guard runs in front of one target.
enum class member_role { entry, guard };

/// The properties that a process publishes when it registers.
struct registration {
    member_role role = member_role::entry;
    std::string host;
    std::string region;
    std::string failure_domain;
    /// The ZeroMQ endpoint at which other processes connect.
    std::string endpoint;
    /// Guards only: the service that the guarded target provides.
    std::string service;
    /// The address and port of the operator API.
    std::string operator_address;

    friend bool operator==(const registration&, const registration&) = default;
};

/// One incarnation of a process: its registration and whether it was closed or fenced.
struct member {
    incarnation_id incarnation{};
    registration info;
    log_offset registered_at{};
    /// True after an orderly shutdown.
    bool closed = false;
    /// The offset of the record that fenced it, or zero.
    log_offset fenced_at{};

    friend bool operator==(const member&, const member&) = default;

    bool fenced() const { return fenced_at != log_offset{}; }
    bool active() const { return !closed && !fenced(); }
};

}  // namespace wrenswitch
