#pragma once

#include <cstdint>
#include <string>

#include "roles/shared/process_settings.hpp"
#include "wrenswitch/decision/guard/admission_queue.hpp"
#include "wrenswitch/decision/guard/response_buffer.hpp"
#include "wrenswitch/decision/limits/concurrency_limiter.hpp"

namespace wrenswitch {

/// The settings of a guard, read from its settings file.
struct guard_settings {
    process_settings process;
    std::string service;
    http_address target;
    std::string operator_address = "127.0.0.1";
    std::uint16_t operator_port = 0;
    std::string limiter = "token_pace";
    limiter_settings limits;
    admission_queue_settings admission;
    response_buffer_settings responses;
};

}  // namespace wrenswitch
