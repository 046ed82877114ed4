#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch::ctl {

/// A reply to an operator's request.
struct operator_reply {
    unsigned status = 0;
    nlohmann::json body;
};

/// Talks to entries' and guards' operator servers and waits for each answer.
class command_client {
public:
    command_client(event_loop& loop, std::string key) : loop_(loop), key_(std::move(key)) {}

    /// Carries out a script at an entry.
    result<operator_reply> run_script(const http_address& entry, const std::string& script);

    /// Fetches a path that answers with JSON.
    result<operator_reply> fetch(const http_address& process, const std::string& target);

private:
    result<operator_reply> wait_for(const http_address& address, http_request request);

    event_loop& loop_;
    std::string key_;
};

}  // namespace wrenswitch::ctl
