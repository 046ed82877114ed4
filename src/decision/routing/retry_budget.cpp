#include "wrenswitch/decision/routing/retry_budget.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Slots in a window. More would let through slightly more; a retry's check looks at as many.
constexpr std::int64_t window_slots = 100;

/// How much later than its decision a retry may reach its target and be within the bound: half a
/// second of a window of 10 s. What is held up for longer is for the bound's slack.
constexpr std::int64_t arrival_slots = 5;

/// How much earlier than it is counted here a request may have left its caller: a second of 10,
/// since one waits up to 800 ms for tokens.
constexpr std::int64_t departure_slots = 10;

/// The part of the share that a first try earns in each of the two windows that it counts for.
constexpr double part_a_window = 0.5;

/// From how long before a retry on first tries are counted for it.
constexpr std::int64_t earning_slots = window_slots - arrival_slots - departure_slots;

/// How long a retry counts.
constexpr std::int64_t spending_slots = window_slots + arrival_slots;

static_assert(earning_slots + spending_slots < slot_counts::kept);

/// The events of the window that ends with a slot.
std::uint32_t sum_of_window(const slot_counts& counts, std::int64_t present) {
    std::uint32_t sum = 0;
    for (std::int64_t slot = present; slot > present - window_slots; --slot) {
        sum += counts.at(slot);
    }
    return sum;
}

}  // namespace

retry_budget::retry_budget(double share, microseconds window, double spare)
    : share_(share),
      spare_(spare),
      slot_length_(std::max(window / window_slots, microseconds(1))) {}

std::int64_t retry_budget::slot_of(instant at) const {
    return at.time_since_epoch() / slot_length_;
}

double retry_budget::allowed(instant now) const {
    const std::int64_t present = slot_of(now);
    double first_tries = 0.0;
    for (std::int64_t slot = present; slot > present - earning_slots; --slot) {
        first_tries += first_tries_.at(slot);
    }
    double least = part_a_window * share_ * first_tries;
    double retries = 0.0;
    // From each slot on: the retries since then against the first tries since one window before.
    for (std::int64_t slot = present; slot >= present - spending_slots; --slot) {
        retries += retries_.at(slot);
        if (retries_.at(slot) > 0) {
            least = std::min(least, part_a_window * share_ * first_tries - retries);
        }
        first_tries += first_tries_.at(slot - earning_slots);
    }
    return std::max(least + spare_, 0.0);
}

bool retry_budget::take_retry(instant now) {
    if (allowed(now) < 1.0) {
        return false;
    }
    retries_.add(slot_of(now));
    return true;
}

std::uint32_t retry_budget::retries_in_window(instant now) const {
    return sum_of_window(retries_, slot_of(now));
}

std::uint32_t retry_budget::first_tries_in_window(instant now) const {
    return sum_of_window(first_tries_, slot_of(now));
}

}  // namespace wrenswitch
