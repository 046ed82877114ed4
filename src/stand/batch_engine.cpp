#include "stand/batch_engine.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch::stand {

void batch_engine::add(engine_sequence sequence) {
    const auto place = std::find_if(
        queued_.begin(), queued_.end(),
        [&sequence](const engine_sequence& item) { return item.priority > sequence.priority; });
    queued_.insert(place, std::move(sequence));
}

bool batch_engine::cancel(std::uint64_t id) {
    const auto erased =
        std::erase_if(queued_, [id](const engine_sequence& item) { return item.id == id; }) +
        std::erase_if(running_,
                      [id](const running_sequence& item) { return item.sequence.id == id; });
    return erased > 0;
}

microseconds batch_engine::begin_step() {
    const std::size_t prompt_tokens = admit();
    const auto length = speed_.step_base +
                        speed_.step_per_sequence * static_cast<std::int64_t>(running_.size()) +
                        speed_.step_per_prompt_token * static_cast<std::int64_t>(prompt_tokens);
    return microseconds(
        static_cast<std::int64_t>(static_cast<double>(length.count()) / speed_factor_));
}

void batch_engine::end_step() {
    for (auto item = running_.begin(); item != running_.end();) {
        const std::size_t number = item->done++;
        const bool last = item->done >= item->sequence.wanted_tokens;
        const auto on_token = item->sequence.on_token;
        if (!last) {
            ++item;
            on_token(number, false);
            continue;
        }
        remember_prefix(item->sequence.prefix, item->sequence.prefix_tokens);
        item = running_.erase(item);
        on_token(number, true);
    }
}

double batch_engine::memory_share() const {
    return static_cast<double>(memory_used()) / static_cast<double>(speed_.memory_tokens);
}

std::size_t batch_engine::admit() {
    std::size_t prompt_tokens = 0;
    while (!queued_.empty() && running_.size() < speed_.most_sequences) {
        engine_sequence& first = queued_.front();
        const std::size_t needed = first.prompt_tokens + first.wanted_tokens;
        const bool fits = memory_used() + needed <= speed_.memory_tokens || running_.empty();
        if (!fits) {
            break;
        }
        std::size_t to_compute = first.prompt_tokens;
        if (first.prefix != 0) {
            ++cache_lookups_;
            const auto hit = prefixes_.find(first.prefix);
            if (hit != prefixes_.end()) {
                ++cache_hits_;
                to_compute -= std::min(to_compute, hit->second);
            }
        }
        prompt_tokens += to_compute;
        running_.push_back({std::move(first), 0});
        queued_.pop_front();
    }
    return prompt_tokens;
}

std::size_t batch_engine::memory_used() const {
    std::size_t sum = 0;
    for (const running_sequence& item : running_) {
        sum += item.sequence.prompt_tokens + item.sequence.wanted_tokens;
    }
    return sum;
}

void batch_engine::remember_prefix(std::uint64_t prefix, std::size_t tokens) {
    if (prefix == 0) {
        return;
    }
    prefix_order_.remove(prefix);
    prefix_order_.push_front(prefix);
    if (prefixes_.emplace(prefix, tokens).second) {
        prefix_memory_ += tokens;
    }
    // A quarter of the memory is for prefixes.
    constexpr std::size_t prefix_part = 4;
    while (prefix_memory_ > speed_.memory_tokens / prefix_part && prefix_order_.size() > 1) {
        const std::uint64_t oldest = prefix_order_.back();
        prefix_order_.pop_back();
        prefix_memory_ -= prefixes_[oldest];
        prefixes_.erase(oldest);
    }
}

}  // namespace wrenswitch::stand
