#include "wrenswitch/decision/placement/prefix_cache_model.hpp"

namespace wrenswitch {

void prefix_cache_model::set_capacity(tokens capacity) {
    capacity_ = capacity;
    evict_to_capacity();
}

tokens prefix_cache_model::cached_tokens(const prompt_profile& prompt) const {
    tokens cached_tokens = 0;
    for (const prompt_part& part : prompt.parts) {
        if (!entries_.contains(part.id)) {
            break;
        }
        cached_tokens += part.length;
    }
    return cached_tokens;
}

void prefix_cache_model::insert(const prompt_profile& prompt) {
    for (const prompt_part& part : prompt.parts) {
        const auto known = entries_.find(part.id);
        if (known != entries_.end()) {
            lru_.splice(lru_.begin(), lru_, known->second);
            continue;
        }
        lru_.push_front(part);
        entries_.emplace(part.id, lru_.begin());
        size_ += part.length;
    }
    evict_to_capacity();
}

void prefix_cache_model::evict_to_capacity() {
    while (size_ > capacity_ && !lru_.empty()) {
        size_ -= lru_.back().length;
        entries_.erase(lru_.back().id);
        lru_.pop_back();
    }
}

}  // namespace wrenswitch
