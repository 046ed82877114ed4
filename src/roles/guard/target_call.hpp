#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"

namespace wrenswitch {

/// A request to be sent to a target.
struct target_request {
    std::string method;
    std::string path;
    std::string content_type;
    /// Shared with the connection that sends it.
    std::shared_ptr<const std::string> body;
    std::string client_account;
    /// The idempotency key that is sent to the target.
    std::string key;
    std::uint32_t priority = 0;
    /// True for a model call, which is charged by the tokens used.
    bool is_model = true;
    /// The maximum cost of a model call, as reserved by its ticket.
    tokens token_bound = 0;
    /// The cost of a call that is not a model call.
    tokens fixed_cost = 0;
};

/// The outcome of a call.
struct target_call_result {
    /// The target is known not to have run the request.
    bool not_run = false;
    /// The complete response was received.
    bool complete = false;
    tokens cost = 0;
    microseconds time_to_first_token{0};
    microseconds inter_token_latency{0};
};

/// The callbacks of a call.
struct target_call_hooks {
    std::function<void(unsigned status, std::string_view content_type)> on_head;
    std::function<void(std::string_view chunk)> on_chunk;
    std::function<void(const target_call_result&)> on_end;
};

/// One HTTP call to a target. Measures its latency and determines its cost. Destroying it closes
/// the connection. A target that sends more than any response has, or goes on for longer, is taken
/// for broken.
class target_call {
public:
    target_call(event_loop& loop, upstream_pool& pool, target_request request,
                target_call_hooks hooks);
    ~target_call();
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;

private:
    void send(upstream_pool& pool);
    void on_head(const message_head& head);
    void on_piece(std::string_view piece);
    void on_complete();
    void on_failed(upstream_failure failure);
    void watch();
    void end(const target_call_result& call_result);
    void record_chunk(std::string_view bytes);
    bool is_refused() const;
    tokens complete_response_cost() const;

    event_loop& loop_;
    target_request request_;
    target_call_hooks hooks_;
    instant started_at_;
    instant first_chunk_at_{};
    instant last_chunk_at_{};
    instant last_activity_at_;
    std::size_t chunk_count_ = 0;
    std::size_t received_bytes_ = 0;
    unsigned status_ = 0;
    /// The end of the body received so far, in which a model reports its token usage.
    std::string tail_;
    std::unique_ptr<upstream_call> call_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the value of the last "total_tokens" member in the end of a response body, or -1 if
/// there is none.
tokens find_total_tokens(std::string_view tail);

}  // namespace wrenswitch
