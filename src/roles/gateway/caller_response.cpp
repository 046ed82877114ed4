#include "roles/gateway/caller_response.hpp"

#include <utility>

#include "roles/gateway/incoming_request.hpp"

namespace wrenswitch {
namespace {

/// A response with more bytes than this waiting to be sent is aborted, since the caller reads too
/// slowly.
constexpr std::size_t max_unsent_bytes = 1024U * 1024U;

}  // namespace

std::string retry_after_text(microseconds length) {
    constexpr std::int64_t millis_per_second = 1000;
    const auto millis = std::chrono::duration_cast<milliseconds>(length).count();
    const std::string fraction = std::to_string(millis_per_second + millis % millis_per_second);
    return std::to_string(millis / millis_per_second) + "." + fraction.substr(1);
}

void caller_response::send_head(const message_head& head) {
    if (!std::exchange(started_, true)) {
        exchange_->begin_answer(head.status, caller_response_headers(head, dialect_));
    }
}

void caller_response::send_complete(const message_head& head, std::string_view body) {
    sent_bytes_ += body.size();
    exchange_->answer(head.status, caller_response_headers(head, dialect_), body);
}

bool caller_response::send_events(const message_head& head, std::string_view events) {
    send_head(head);
    sent_bytes_ += events.size();
    exchange_->send_piece(events);
    if (exchange_->unsent_bytes() <= max_unsent_bytes) {
        return true;
    }
    exchange_->cut();
    return false;
}

void caller_response::end_stream(const message_head& head) {
    send_head(head);
    exchange_->end_answer();
}

void caller_response::refuse(std::string_view request_id, unsigned status, std::string_view reason,
                             microseconds retry_after) {
    exchange_->answer(status,
                      {{dialect_.request_id, std::string(request_id)},
                       {"Retry-After", retry_after_text(retry_after)}},
                      std::string(reason) + "\n");
}

void caller_response::fail(std::string_view request_id, unsigned status, std::string_view reason) {
    exchange_->answer(status, {{dialect_.request_id, std::string(request_id)}},
                      std::string(reason) + "\n");
}

}  // namespace wrenswitch
