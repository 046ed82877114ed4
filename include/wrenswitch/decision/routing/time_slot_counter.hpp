#pragma once

#include <array>
#include <cstdint>

namespace wrenswitch {

/// Counts events per time slot in a ring buffer of the most recent slots. Slot numbers must not
/// decrease.
class time_slot_counter {
public:
    /// The number of slots kept, including the current one.
    static constexpr std::int64_t capacity = 256;

    /// Counts one event in a slot and discards the slots that are now too old.
    void add(std::int64_t slot);

    /// The number of events in a slot; zero if it is too old or in the future.
    std::uint32_t count_at(std::int64_t slot) const;

private:
    std::array<std::uint32_t, capacity> counts_{};
    std::int64_t newest_ = 0;
};

}  // namespace wrenswitch
