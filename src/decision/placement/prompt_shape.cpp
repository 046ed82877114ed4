#include "wrenswitch/decision/placement/prompt_shape.hpp"

#include <algorithm>

namespace wrenswitch {

std::uint64_t session_of(const prompt_shape& shape) {
    const std::size_t parts = shape.parts.size();
    return parts == 0 ? 0 : shape.parts[parts > 1 ? parts - 2 : 0].id;
}

tokens expected_output(const prompt_shape& shape) {
    if (shape.guessed_output > 0) {
        return std::min(shape.guessed_output, shape.most_output);
    }
    return shape.most_output / 2;
}

}  // namespace wrenswitch
