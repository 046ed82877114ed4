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

/// False if the prompt alone is larger than the engine's memory: no engine of the service can run
/// such a request, however long it waits.
inline bool may_hold(const engine_profile& engine, tokens prompt_tokens) {
    return engine.memory_tokens == 0 || prompt_tokens <= engine.memory_tokens;
}

}  // namespace wrenswitch
