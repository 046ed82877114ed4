#include "roles/guard/target_call.hpp"

#include <charconv>
#include <utility>

namespace wrenswitch {
namespace {

/// Holds the last event of a stream or the last members of an unstreamed response.
constexpr std::size_t tail_bytes = 4096;
constexpr unsigned status_unavailable = 503;
constexpr unsigned first_error_status = 400;

/// A target that sends nothing for this long, or has not ended its response after
/// `max_response_time`, has failed.
constexpr microseconds max_silence = seconds(120);
constexpr microseconds max_response_time = std::chrono::minutes(15);
constexpr microseconds watch_period = seconds(1);

/// More than any response has.
constexpr std::size_t max_response_bytes = 32U * 1024U * 1024U;

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

target_call::target_call(event_loop& loop, upstream_pool& pool, target_request request,
                         target_call_hooks hooks)
    : loop_(loop),
      request_(std::move(request)),
      hooks_(std::move(hooks)),
      started_at_(monotonic_now()),
      last_activity_at_(started_at_) {
    send(pool);
    watch();
}

target_call::~target_call() {
    *alive_ = false;
}

void target_call::send(upstream_pool& pool) {
    upstream_request sent;
    sent.method = request_.method;
    sent.target = request_.path;
    sent.body = *request_.body;
    sent.body_owner = request_.body;
    sent.needs_own_connection = !request_.is_model;
    sent.headers = {{"Host", pool.address().to_text()},
                    {"Content-Type", request_.content_type},
                    {"X-Client-Account", request_.client_account},
                    {"Idempotency-Key", request_.key},
                    {"X-Priority", std::to_string(request_.priority)}};
    if (sent.needs_own_connection) {
        sent.headers.push_back({"Connection", "close"});
    }
    upstream_hooks told;
    told.belongs = [](const message_head&) { return true; };
    told.on_head = [this](const message_head& head) { on_head(head); };
    told.on_piece = [this](std::string_view piece) { on_piece(piece); };
    told.on_end = [this] { on_complete(); };
    told.on_failed = [this](upstream_failure failure) { on_failed(failure); };
    call_ = pool.send(sent, std::move(told));
}

/// Ends a call whose target is silent, or goes on for longer than any response takes.
void target_call::watch() {
    loop_.call_after(watch_period, [this, alive = alive_] {
        if (!*alive || !hooks_.on_end) {
            return;
        }
        const instant now = monotonic_now();
        if (now - last_activity_at_ > max_silence || now - started_at_ > max_response_time) {
            on_failed(upstream_failure::broken);
            return;
        }
        watch();
    });
}

bool target_call::is_refused() const {
    return request_.is_model && status_ == status_unavailable;
}

void target_call::on_head(const message_head& head) {
    status_ = head.status;
    last_activity_at_ = monotonic_now();
    first_chunk_at_ = last_activity_at_;
    if (!is_refused()) {
        hooks_.on_head(head.status, head.header("Content-Type"));
    }
}

void target_call::on_piece(std::string_view piece) {
    if (!hooks_.on_end) {
        return;
    }
    received_bytes_ += piece.size();
    if (received_bytes_ > max_response_bytes) {
        on_failed(upstream_failure::malformed);
        return;
    }
    if (is_refused()) {
        return;
    }
    record_chunk(piece);
    hooks_.on_chunk(piece);
}

void target_call::record_chunk(std::string_view bytes) {
    last_chunk_at_ = monotonic_now();
    last_activity_at_ = last_chunk_at_;
    ++chunk_count_;
    tail_.append(bytes);
    if (tail_.size() > 2 * tail_bytes) {
        tail_.erase(0, tail_.size() - tail_bytes);
    }
}

void target_call::on_failed(upstream_failure failure) {
    target_call_result call_result;
    call_result.not_run = failure == upstream_failure::not_sent;
    if (!call_result.not_run) {
        // The target may have run the request in full or in part, so the whole reservation is
        // charged.
        call_result.cost = request_.is_model ? request_.token_bound : request_.fixed_cost;
    }
    end(call_result);
}

void target_call::on_complete() {
    target_call_result call_result;
    if (is_refused()) {
        call_result.not_run = true;
        end(call_result);
        return;
    }
    call_result.complete = true;
    call_result.cost = complete_response_cost();
    call_result.time_to_first_token = first_chunk_at_ - started_at_;
    if (chunk_count_ > 1) {
        call_result.inter_token_latency =
            (last_chunk_at_ - first_chunk_at_) / static_cast<std::int64_t>(chunk_count_ - 1);
    }
    end(call_result);
}

/// Ends the call. Whatever its target still sends has no effect.
void target_call::end(const target_call_result& call_result) {
    const auto on_end = std::exchange(hooks_.on_end, {});
    if (on_end) {
        loop_.call_after(microseconds(0),
                         [call = std::shared_ptr<upstream_call>(std::move(call_))] {});
        on_end(call_result);
    }
}

tokens target_call::complete_response_cost() const {
    if (!request_.is_model) {
        return request_.fixed_cost;
    }
    if (status_ >= first_error_status) {
        return 0;
    }
    const tokens stated = find_total_tokens(tail_);
    return stated < 0 ? request_.token_bound : stated;
}

}  // namespace wrenswitch
