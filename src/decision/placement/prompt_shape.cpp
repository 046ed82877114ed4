#include "wrenswitch/decision/placement/prompt_shape.hpp"

#include <algorithm>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {

std::uint64_t session_of(const prompt_shape& shape) {
    const std::size_t parts = shape.parts.size();
    return shape.parts[parts > 1 ? parts - 2 : 0].id;
}

std::string_view home_of(std::span<const std::string_view> engines, const prompt_shape& shape) {
    if (shape.parts.empty()) {
        return {};
    }
    const std::uint64_t session = session_of(shape);
    std::string_view best;
    std::uint64_t highest = 0;
    for (const std::string_view engine : engines) {
        const std::uint64_t rank = spread_hash(engine, session);
        if (best.empty() || rank > highest) {
            best = engine;
            highest = rank;
        }
    }
    return best;
}

tokens expected_output(const prompt_shape& shape) {
    if (shape.guessed_output > 0) {
        return std::min(shape.guessed_output, shape.most_output);
    }
    return shape.most_output / 2;
}

}  // namespace wrenswitch
