#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "wrenswitch/decision/placement/prompt_profile.hpp"

namespace wrenswitch {

/// Models which prompt parts an engine has in its prefix cache. Evicts the least recently used
/// parts when the cache is full, as the engine does.
class prefix_cache_model {
public:
    /// The capacity is the engine's whole memory, in tokens.
    explicit prefix_cache_model(tokens capacity) : capacity_(capacity) {}

    void set_capacity(tokens capacity);

    /// The length of the cached prefix of a prompt, in tokens. A part counts only if all parts
    /// before it are cached too.
    tokens cached_tokens(const prompt_profile& prompt) const;

    /// Records that the engine processes a prompt and caches its parts.
    void insert(const prompt_profile& prompt);

    /// The total tokens of all cached parts.
    tokens size() const { return size_; }

private:
    void evict_to_capacity();

    tokens capacity_;
    tokens size_ = 0;
    /// Ordered from the most to the least recently used part.
    std::list<prompt_part> lru_;
    std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> entries_;
};

}  // namespace wrenswitch
