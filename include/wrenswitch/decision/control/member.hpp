#pragma once

#include <string>

#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// What a process of the fleet does.
enum class member_role { entry, guard };

/// What a process says of itself when it registers.
struct registration {
    member_role role = member_role::entry;
    std::string host;
    std::string region;
    std::string failure_domain;
    /// Where other processes reach it, as ZeroMQ writes it.
    std::string endpoint;
    /// Guards only: the service whose target stands behind.
    std::string service;
    /// Where it serves operators, as address and port.
    std::string operator_address;

    friend bool operator==(const registration&, const registration&) = default;
};

/// One incarnation of a process, as the control stream knows it.
struct member {
    incarnation_id incarnation{};
    registration self;
    log_offset registered_at{};
    /// It stopped as planned.
    bool closed = false;
    /// The offset of its fence, or zero.
    log_offset fenced_at{};

    friend bool operator==(const member&, const member&) = default;

    bool fenced() const { return fenced_at != log_offset{}; }
    bool active() const { return !closed && !fenced(); }
};

}  // namespace wrenswitch
