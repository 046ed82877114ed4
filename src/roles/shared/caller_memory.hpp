#pragma once

#include <cstddef>
#include <memory>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/process_limits.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/ingress/intake_memory.hpp"

namespace wrenswitch {

/// The most that a single request may take of a process with these limits.
std::size_t max_request_bytes(const process_limits& limits);

/// The memory of a process for what its callers send, with its figures and its log lines.
class caller_memory {
public:
    caller_memory(const process_limits& limits, metrics& counters);

    /// What the servers of the process share.
    const std::shared_ptr<intake_memory>& pool() const { return pool_; }

    /// Updates the figures, logs when memory runs short and when it no longer does, and gives what
    /// a crowd has left behind back to the system. To be called some times a second.
    void tick(instant now);

private:
    void update_figures();
    void log_shortage(instant now);
    void return_freed_memory();

    metrics& counters_;
    std::shared_ptr<intake_memory> pool_;
    intake_counts last_counts_;
    instant last_shortage_at_{};
    bool is_short_ = false;
    /// The most bytes held since freed memory was last returned.
    std::size_t peak_bytes_ = 0;
};

}  // namespace wrenswitch
