#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// A candidate for rendezvous hashing. All processes know it by the same name.
struct rendezvous_candidate {
    incarnation_id incarnation{};
    std::string_view name;
};

/// All candidates in the order in which a key prefers them (rendezvous hashing). Adding or removing
/// a candidate moves only the keys that prefer it.
std::vector<incarnation_id> rendezvous_order(std::uint64_t key,
                                             std::span<const rendezvous_candidate> candidates);

}  // namespace wrenswitch
