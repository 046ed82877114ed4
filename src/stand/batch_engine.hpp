#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch::stand {

/// How fast a batching engine is. A step gives each sequence of the batch one token.
struct engine_speed {
    microseconds step_base = milliseconds(5);
    /// Added to a step for each sequence in the batch.
    microseconds step_per_sequence = microseconds(200);
    /// Added to a step for each token of a prompt that is taken in and not found in the cache.
    microseconds step_per_prompt_token = microseconds(20);
    std::size_t most_sequences = 64;
    /// Tokens of all sequences and of cached prefixes that fit into memory.
    std::size_t memory_tokens = 200'000;
};

/// One request at an engine.
struct engine_sequence {
    std::uint64_t id = 0;
    std::uint32_t priority = 0;
    std::size_t prompt_tokens = 0;
    std::size_t wanted_tokens = 0;
    /// A hash of the prompt's beginning, for the prefix cache; zero for none.
    std::uint64_t prefix = 0;
    std::size_t prefix_tokens = 0;
    /// Called for each token, with its number from 0 on and whether it is the last.
    std::function<void(std::size_t, bool)> on_token;
};

/// A model engine that batches continuously and keeps prompt prefixes in bounded memory. It has no
/// clock: whoever drives it asks how long the next step takes and then performs it.
class batch_engine {
public:
    explicit batch_engine(engine_speed speed) : speed_(speed) {}

    /// Queues a sequence; the most urgent class runs first.
    void add(engine_sequence sequence);

    /// Takes a sequence out. False if it is not there.
    bool cancel(std::uint64_t id);

    /// True if there is nothing to do.
    bool idle() const { return running_.empty() && queued_.empty(); }

    /// Takes sequences into the batch and returns how long the step takes.
    microseconds begin_step();

    /// Gives every sequence of the batch a token.
    void end_step();

    std::size_t batch() const { return running_.size(); }
    std::size_t queue() const { return queued_.size(); }
    double memory_share() const;

    /// All capacity changes by this factor: 2 means twice as fast.
    void set_speed_factor(double factor) { speed_factor_ = factor; }

    std::uint64_t cache_hits() const { return cache_hits_; }
    std::uint64_t cache_lookups() const { return cache_lookups_; }

private:
    struct running_sequence {
        engine_sequence sequence;
        std::size_t done = 0;
    };

    std::size_t admit();
    std::size_t memory_used() const;
    void remember_prefix(std::uint64_t prefix, std::size_t tokens);

    engine_speed speed_;
    double speed_factor_ = 1.0;
    std::list<engine_sequence> queued_;
    std::list<running_sequence> running_;
    /// Cached prefixes, the one used last at the front.
    std::list<std::uint64_t> prefix_order_;
    std::unordered_map<std::uint64_t, std::size_t> prefixes_;
    std::size_t prefix_memory_ = 0;
    std::uint64_t cache_hits_ = 0;
    std::uint64_t cache_lookups_ = 0;
};

}  // namespace wrenswitch::stand
