#pragma once

#include <array>
#include <cstdint>

namespace wrenswitch {

/// Events in slots of time, of which a ring of the newest is kept. Times must not fall.
class slot_counts {
public:
    /// How many slots are kept, the present one included.
    static constexpr std::int64_t kept = 256;

    /// Counts one event in a slot, which drops those that are too old to be kept.
    void add(std::int64_t slot);

    /// The events of a slot; zero if it isn't kept any more or has not come yet.
    std::uint32_t at(std::int64_t slot) const;

private:
    std::array<std::uint32_t, kept> counts_{};
    std::int64_t newest_ = 0;
};

}  // namespace wrenswitch
