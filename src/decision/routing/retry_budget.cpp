#include "wrenswitch/decision/routing/retry_budget.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The slots per window. More slots would allow slightly more retries, but each check of a retry
/// iterates over that many.
constexpr std::int64_t window_slots = 100;

/// How much later than its decision a retry may reach its target and still be within the bound:
/// half a second for a window of 10 s. Longer delays have to be covered by the slack of the bound.
constexpr std::int64_t max_arrival_delay_slots = 5;

/// How much earlier than it is counted here a request may have left its caller: one second for a
/// window of 10 s, because a request waits up to 800 ms for tokens.
constexpr std::int64_t max_departure_lead_slots = 10;

/// The part of the ratio that a first try earns in each of the two windows that it counts in.
constexpr double ratio_per_window = 0.5;

/// How long before a retry the first tries that it may use begin.
constexpr std::int64_t earning_slots =
    window_slots - max_arrival_delay_slots - max_departure_lead_slots;

/// How long a retry counts.
constexpr std::int64_t spending_slots = window_slots + max_arrival_delay_slots;

static_assert(earning_slots + spending_slots < time_slot_counter::capacity);

/// The number of events in the window that ends with a slot.
std::uint32_t window_total(const time_slot_counter& counts, std::int64_t current_slot) {
    std::uint32_t sum = 0;
    for (std::int64_t slot = current_slot; slot > current_slot - window_slots; --slot) {
        sum += counts.count_at(slot);
    }
    return sum;
}

}  // namespace

retry_budget::retry_budget(double ratio, microseconds window, double extra_retries)
    : ratio_(ratio),
      extra_retries_(extra_retries),
      slot_length_(std::max(window / window_slots, microseconds(1))) {}

std::int64_t retry_budget::slot_at(instant time) const {
    return time.time_since_epoch() / slot_length_;
}

double retry_budget::available_retries(instant now) const {
    const std::int64_t current_slot = slot_at(now);
    double first_tries = 0.0;
    for (std::int64_t slot = current_slot; slot > current_slot - earning_slots; --slot) {
        first_tries += first_tries_.count_at(slot);
    }
    double available = ratio_per_window * ratio_ * first_tries;
    double retries = 0.0;
    // For each slot with retries: the retries since then must not exceed what the first tries since
    // one window before have earned.
    for (std::int64_t slot = current_slot; slot >= current_slot - spending_slots; --slot) {
        retries += retries_.count_at(slot);
        if (retries_.count_at(slot) > 0) {
            available = std::min(available, ratio_per_window * ratio_ * first_tries - retries);
        }
        first_tries += first_tries_.count_at(slot - earning_slots);
    }
    return std::max(available + extra_retries_, 0.0);
}

bool retry_budget::try_acquire_retry(instant now) {
    if (available_retries(now) < 1.0) {
        return false;
    }
    retries_.add(slot_at(now));
    return true;
}

std::uint32_t retry_budget::retries_in_window(instant now) const {
    return window_total(retries_, slot_at(now));
}

std::uint32_t retry_budget::first_tries_in_window(instant now) const {
    return window_total(first_tries_, slot_at(now));
}

}  // namespace wrenswitch
