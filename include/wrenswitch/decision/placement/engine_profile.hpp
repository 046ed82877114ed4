#pragma once

#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Properties of the engines of a service.
struct engine_profile {
    /// The maximum number of tokens in one event of a stream.
    tokens tokens_per_event = 1;
    /// The memory of one engine, in tokens; zero if unknown.
    tokens memory_tokens = 0;
    /// The time to copy one prompt token between engines, in ms; zero if engines cannot copy.
    double copy_ms_per_token = 0.0;
};

}  // namespace wrenswitch
