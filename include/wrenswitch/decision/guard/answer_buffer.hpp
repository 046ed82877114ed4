#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// One answer, whole or still growing.
struct kept_answer {
    unsigned status = 0;
    std::string content_type;
    std::vector<std::string> chunks;
    bool ended = false;
    /// Only meaningful once it ended: false if the target broke off.
    bool whole = false;
    tokens cost = 0;
    std::size_t bytes = 0;
    instant ended_at{};
};

/// How much is kept, and for how long.
struct answer_buffer_settings {
    std::size_t most_bytes = 32U * 1024U * 1024U;
    microseconds keep_ended_for = seconds(300);
};

/// The answers of keyed requests at one guard, so that a repeat gets the same answer without a
/// second run. Bounded in bytes: the answer that ended first is dropped first, and if none has
/// ended, the one that grows is no longer kept. A dropped answer is never given in part.
class answer_buffer {
public:
    explicit answer_buffer(answer_buffer_settings settings) : settings_(settings) {}

    /// Begins to keep the answer to a key. An earlier one is replaced.
    void begin(const digest& key);

    /// Sets the head of an answer.
    void set_head(const digest& key, unsigned status, std::string_view content_type);

    /// Adds a chunk.
    void append(const digest& key, std::string_view chunk);

    /// Marks the end.
    void end(const digest& key, instant now, bool whole, tokens cost);

    /// Drops an answer.
    void drop(const digest& key);

    /// The answer to a key, or null if it is not kept.
    const kept_answer* find(const digest& key) const;

    /// Drops ended answers that were kept for long enough.
    void expire(instant now);

    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return answers_.size(); }

private:
    void make_room(const digest& growing);

    answer_buffer_settings settings_;
    std::unordered_map<digest, kept_answer> answers_;
    /// Keys in the order in which their answers ended; a key may stand here after it was dropped.
    std::deque<digest> ended_;
    std::size_t bytes_ = 0;
};

}  // namespace wrenswitch
