#pragma once

#include <span>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Logs when a gateway that has started accepts callers for the first time, and what it still lacks
/// if that takes long.
class start_watch {
public:
    /// To be called regularly. `missing` names what the gateway lacks to accept callers.
    void update(instant now, std::span<const std::string_view> missing);

    /// True until the gateway has accepted callers for the first time.
    bool is_starting() const { return !is_ready_; }

private:
    instant started_{};
    instant next_warning_{};
    bool is_ready_ = false;
};

}  // namespace wrenswitch
