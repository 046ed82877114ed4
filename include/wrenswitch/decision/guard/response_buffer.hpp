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

/// A response, either finished or still being received.
struct buffered_response {
    unsigned status = 0;
    std::string content_type;
    std::vector<std::string> chunks;
    bool finished = false;
    /// Valid once finished: false if the target aborted the response.
    bool complete = false;
    tokens cost = 0;
    std::size_t bytes = 0;
    instant finished_at{};
};

/// The size of the buffer and how long finished responses are kept.
struct response_buffer_settings {
    std::size_t max_bytes = 32U * 1024U * 1024U;
    microseconds retention = seconds(300);
};

/// Buffers the responses to requests with an idempotency key, so that a repeated request gets the
/// same response without running again. The total size is bounded: the response that finished first
/// is evicted first; if none has finished, the one that is growing is discarded. A discarded
/// response is never replayed in part.
class response_buffer {
public:
    explicit response_buffer(response_buffer_settings settings) : settings_(settings) {}

    /// Starts buffering the response to a key, replacing an earlier one.
    void begin(const digest& key);

    /// Sets the status and content type of a response.
    void set_head(const digest& key, unsigned status, std::string_view content_type);

    /// Appends a chunk to a response.
    void append(const digest& key, std::string_view chunk);

    /// Marks a response as finished.
    void finish(const digest& key, instant now, bool complete, tokens cost);

    /// Removes a response.
    void discard(const digest& key);

    /// The response to a key, or null if it is not buffered.
    const buffered_response* find(const digest& key) const;

    /// Removes finished responses whose retention time is over.
    void expire(instant now);

    std::size_t bytes() const { return total_bytes_; }
    std::size_t size() const { return responses_.size(); }

private:
    void evict_to_fit(const digest& growing_key);

    response_buffer_settings settings_;
    std::unordered_map<digest, buffered_response> responses_;
    /// Keys in the order in which their responses finished. May contain keys whose responses were
    /// discarded.
    std::deque<digest> finished_order_;
    std::size_t total_bytes_ = 0;
};

}  // namespace wrenswitch
