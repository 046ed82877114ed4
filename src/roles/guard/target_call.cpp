#include "roles/guard/target_call.hpp"

#include <charconv>

namespace wrenswitch {
namespace {

/// Holds the last event of a stream or the last members of an unstreamed response.
constexpr std::size_t tail_bytes = 4096;
constexpr unsigned status_unavailable = 503;
constexpr unsigned first_error_status = 400;
constexpr microseconds idle_timeout = seconds(120);

}  // namespace

tokens find_total_tokens(std::string_view tail) {
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
    : request_(request), hooks_(std::move(hooks)), started_at_(monotonic_now()) {
    http_request call;
    call.method = request.method;
    call.target = request.path;
    call.body = request.body;
    call.timeout = idle_timeout;
    call.fresh_connection = !request.is_model;
    call.headers = {{"Content-Type", request.content_type},
                    {"X-Client-Account", request.client_account},
                    {"Idempotency-Key", request.key},
                    {"X-Priority", std::to_string(request.priority)}};
    call_ = client.send(
        std::move(call), [this](const result<http_reply>& reply) { on_reply(reply); },
        [this](const http_reply& head, std::string_view chunk) { on_chunk(head, chunk); });
}

void target_call::on_chunk(const http_reply& head, std::string_view chunk) {
    if (!head_received_) {
        head_received_ = true;
        status_ = head.status;
        first_chunk_at_ = monotonic_now();
        if (request_.is_model && status_ == status_unavailable) {
            return;
        }
        hooks_.on_head(head.status, head.content_type);
    }
    const bool refused = request_.is_model && status_ == status_unavailable;
    if (refused || chunk.empty()) {
        return;
    }
    record_chunk(chunk);
    hooks_.on_chunk(chunk);
}

void target_call::record_chunk(std::string_view bytes) {
    last_chunk_at_ = monotonic_now();
    ++chunk_count_;
    tail_.append(bytes);
    if (tail_.size() > 2 * tail_bytes) {
        tail_.erase(0, tail_.size() - tail_bytes);
    }
}

void target_call::on_reply(const result<http_reply>& reply) {
    target_call_result call_result;
    const bool unreachable = !reply && reply.error().code == error_code::unreachable;
    const bool refused = reply && request_.is_model && reply.value().status == status_unavailable;
    if (unreachable || refused) {
        call_result.not_run = true;
        hooks_.on_end(call_result);
        return;
    }
    if (!reply) {
        // The target may have run the request in full or in part, so the whole reservation is
        // charged.
        call_result.cost = request_.is_model ? request_.token_bound : request_.fixed_cost;
        hooks_.on_end(call_result);
        return;
    }
    if (!head_received_) {
        head_received_ = true;
        status_ = reply.value().status;
        first_chunk_at_ = monotonic_now();
        hooks_.on_head(status_, reply.value().content_type);
    }
    call_result.complete = true;
    call_result.cost = complete_response_cost(status_);
    call_result.time_to_first_token = first_chunk_at_ - started_at_;
    if (chunk_count_ > 1) {
        call_result.inter_token_latency =
            (last_chunk_at_ - first_chunk_at_) / static_cast<std::int64_t>(chunk_count_ - 1);
    }
    hooks_.on_end(call_result);
}

tokens target_call::complete_response_cost(unsigned status) const {
    if (!request_.is_model) {
        return request_.fixed_cost;
    }
    if (status >= first_error_status) {
        return 0;
    }
    const tokens stated = find_total_tokens(tail_);
    return stated < 0 ? request_.token_bound : stated;
}

}  // namespace wrenswitch
