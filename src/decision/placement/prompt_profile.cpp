#include "wrenswitch/decision/placement/prompt_profile.hpp"

#include <algorithm>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {

tokens max_cost(const prompt_profile& prompt) {
    return prompt.prompt_tokens + prompt.max_output;
}

void limit_to_range(prompt_profile& prompt) {
    const auto limited = [](tokens amount) {
        return std::clamp<tokens>(amount, 0, max_request_tokens);
    };
    prompt.prompt_tokens = limited(prompt.prompt_tokens);
    prompt.max_output = limited(prompt.max_output);
    prompt.output_hint = limited(prompt.output_hint);
    tokens room = max_request_tokens;
    for (prompt_part& part : prompt.parts) {
        part.length = std::clamp<tokens>(part.length, 0, room);
        room -= part.length;
    }
}

std::uint64_t session_id(const prompt_profile& prompt) {
    const std::size_t parts = prompt.parts.size();
    return prompt.parts[parts > 1 ? parts - 2 : 0].id;
}

std::string_view session_engine(std::span<const std::string_view> engines,
                                const prompt_profile& prompt) {
    if (prompt.parts.empty()) {
        return {};
    }
    const std::uint64_t session = session_id(prompt);
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

tokens expected_output(const prompt_profile& prompt) {
    if (prompt.output_hint > 0) {
        return std::min(prompt.output_hint, prompt.max_output);
    }
    return prompt.max_output / 2;
}

}  // namespace wrenswitch
