#include "roles/shared/caller_memory.hpp"

#include <malloc.h>

#include <algorithm>
#include <string>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// The shares of a process's memory and descriptors that are for what callers send. The rest is for
/// its state, for responses, and for connections to targets and peers.
constexpr std::size_t memory_share_divisor = 8;
constexpr std::size_t memory_share = 3;
constexpr std::size_t descriptor_share_divisor = 8;
constexpr std::size_t descriptor_share = 5;

/// The share of the memory that connections may take at the least, and what one takes.
constexpr std::size_t connection_share_divisor = 4;
constexpr std::size_t min_connection_bytes = 24U * 1024U;

/// The share of the memory that receive buffers may take beyond that.
constexpr std::size_t socket_share_divisor = 8;

/// How long nobody has to give way until memory counts as sufficient again.
constexpr microseconds shortage_end = seconds(5);

intake_settings settings_for(const process_limits& limits) {
    intake_settings settings;
    settings.max_bytes = limits.memory_bytes / memory_share_divisor * memory_share;
    settings.max_connections =
        std::min(limits.descriptors / descriptor_share_divisor * descriptor_share,
                 limits.memory_bytes / connection_share_divisor / min_connection_bytes);
    settings.max_socket_bytes = limits.memory_bytes / socket_share_divisor;
    return settings;
}

}  // namespace

std::size_t max_request_bytes(const process_limits& limits) {
    return intake_memory(settings_for(limits)).max_claim_bytes();
}

caller_memory::caller_memory(const process_limits& limits, metrics& counters)
    : counters_(counters), pool_(std::make_shared<intake_memory>(settings_for(limits))) {
    counters_.gauge("caller_memory_max_bytes") = static_cast<double>(pool_->max_bytes());
}

void caller_memory::tick(instant now) {
    update_figures();
    log_shortage(now);
    return_freed_memory();
}

void caller_memory::update_figures() {
    const intake_counts& counts = pool_->counts();
    counters_.gauge("caller_memory_bytes") = static_cast<double>(pool_->used_bytes());
    counters_.gauge("caller_connections") = static_cast<double>(pool_->connections());
    counters_.counter("caller_memory_short_total") = counts.for_memory;
    counters_.counter("caller_connections_short_total") = counts.for_connections;
}

void caller_memory::log_shortage(instant now) {
    const intake_counts& counts = pool_->counts();
    const bool has_grown = counts.for_memory > last_counts_.for_memory ||
                           counts.for_connections > last_counts_.for_connections;
    last_counts_ = counts;
    if (has_grown) {
        last_shortage_at_ = now;
    }
    const bool is_short = has_grown || (is_short_ && now - last_shortage_at_ < shortage_end);
    if (is_short == is_short_) {
        return;
    }
    is_short_ = is_short;
    log_event(is_short ? log_level::warning : log_level::information,
              is_short ? "caller_memory_short" : "caller_memory_sufficient",
              {{"bytes", std::to_string(pool_->used_bytes())},
               {"max_bytes", std::to_string(pool_->max_bytes())},
               {"connections", std::to_string(pool_->connections())},
               {"for_memory", std::to_string(counts.for_memory)},
               {"for_connections", std::to_string(counts.for_connections)}});
}

/// The allocator keeps what is freed in small pieces.
void caller_memory::return_freed_memory() {
    const std::size_t used = pool_->used_bytes();
    peak_bytes_ = std::max(peak_bytes_, used);
    if (peak_bytes_ - used > pool_->max_bytes() / memory_share_divisor) {
        ::malloc_trim(0);
        peak_bytes_ = used;
    }
}

}  // namespace wrenswitch
