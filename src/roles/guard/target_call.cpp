#include "roles/guard/target_call.hpp"

#include <charconv>

namespace wrenswitch {
namespace {

/// Enough for the last event of a stream or the last members of a whole answer.
constexpr std::size_t tail_bytes = 4096;
constexpr unsigned status_unavailable = 503;
constexpr unsigned first_error_status = 400;
constexpr microseconds longest_silence = seconds(120);

}  // namespace

tokens usage_in(std::string_view tail) {
    constexpr std::string_view name = "\"total_tokens\":";
    const std::size_t found = tail.rfind(name);
    if (found == std::string_view::npos) {
        return -1;
    }
    std::string_view digits = tail.substr(found + name.size());
    while (!digits.empty() && digits.front() == ' ') {
        digits.remove_prefix(1);
    }
    tokens value = -1;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

target_call::target_call(http_client& client, const target_request& request,
                         target_call_hooks hooks)
    : request_(request), hooks_(std::move(hooks)), started_(monotonic_now()) {
    http_request call;
    call.method = request.method;
    call.target = request.path;
    call.body = request.body;
    call.timeout = longest_silence;
    call.fresh_connection = !request.model;
    call.headers = {{"Content-Type", request.content_type},
                    {"X-Client-Account", request.client_account},
                    {"Idempotency-Key", request.key},
                    {"X-Priority", std::to_string(request.priority)}};
    call_ = client.send(
        std::move(call), [this](const result<http_reply>& reply) { on_reply(reply); },
        [this](const http_reply& head, std::string_view piece) { on_piece(head, piece); });
}

void target_call::on_piece(const http_reply& head, std::string_view piece) {
    if (!headed_) {
        headed_ = true;
        status_ = head.status;
        first_ = monotonic_now();
        if (request_.model && status_ == status_unavailable) {
            return;
        }
        hooks_.head(head.status, head.content_type);
    }
    const bool refused = request_.model && status_ == status_unavailable;
    if (refused || piece.empty()) {
        return;
    }
    take_in(piece);
    hooks_.piece(piece);
}

void target_call::take_in(std::string_view bytes) {
    last_ = monotonic_now();
    ++pieces_;
    tail_.append(bytes);
    if (tail_.size() > 2 * tail_bytes) {
        tail_.erase(0, tail_.size() - tail_bytes);
    }
}

void target_call::on_reply(const result<http_reply>& reply) {
    target_end end;
    const bool unreachable = !reply && reply.error().code == error_code::unreachable;
    const bool refused = reply && request_.model && reply.value().status == status_unavailable;
    if (unreachable || refused) {
        end.not_run = true;
        hooks_.end(end);
        return;
    }
    if (!reply) {
        // It may have run, in whole or in part, so all that was reserved counts as spent.
        end.cost = request_.model ? request_.bound : request_.fixed_cost;
        hooks_.end(end);
        return;
    }
    if (!headed_) {
        headed_ = true;
        status_ = reply.value().status;
        first_ = monotonic_now();
        hooks_.head(status_, reply.value().content_type);
    }
    end.whole = true;
    end.cost = cost_of_whole_answer(status_);
    end.first_token = first_ - started_;
    if (pieces_ > 1) {
        end.between_tokens = (last_ - first_) / static_cast<std::int64_t>(pieces_ - 1);
    }
    hooks_.end(end);
}

tokens target_call::cost_of_whole_answer(unsigned status) const {
    if (!request_.model) {
        return request_.fixed_cost;
    }
    if (status >= first_error_status) {
        return 0;
    }
    const tokens stated = usage_in(tail_);
    return stated < 0 ? request_.bound : stated;
}

}  // namespace wrenswitch
