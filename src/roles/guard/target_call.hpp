#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch {

/// What a target is asked to do.
struct target_request {
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string client_account;
    /// The request key as the target counts it.
    std::string key;
    std::uint32_t priority = 0;
    bool model = true;
    /// The most that it may cost.
    tokens bound = 0;
    /// What a plain call costs.
    tokens fixed_cost = 0;
};

/// How a call ended.
struct target_end {
    /// The target certainly did not run it.
    bool not_run = false;
    /// The answer is complete.
    bool whole = false;
    tokens cost = 0;
    microseconds first_token{0};
    microseconds between_tokens{0};
};

/// What a call tells its owner.
struct target_call_hooks {
    std::function<void(unsigned status, std::string_view content_type)> head;
    std::function<void(std::string_view piece)> piece;
    std::function<void(const target_end&)> end;
};

/// One call of a target. Destroying it drops the connection.
class target_call {
public:
    target_call(http_client& client, const target_request& request, target_call_hooks hooks);

private:
    void on_piece(const http_reply& head, std::string_view piece);
    void on_reply(const result<http_reply>& reply);
    void take_in(std::string_view bytes);
    tokens cost_of_whole_answer(unsigned status) const;

    target_request request_;
    target_call_hooks hooks_;
    instant started_;
    instant first_{};
    instant last_{};
    std::size_t pieces_ = 0;
    unsigned status_ = 0;
    /// The end of what came, in which a model states the usage.
    std::string tail_;
    bool headed_ = false;
    std::unique_ptr<http_call> call_;
};

/// The total of the last "usage" in the end of an answer, or a negative number if there is none.
tokens usage_in(std::string_view tail);

}  // namespace wrenswitch
