#include "roles/gateway/caller_answer.hpp"

#include <utility>

#include "roles/gateway/incoming_request.hpp"

namespace wrenswitch {
namespace {

/// A caller that takes its answer this slowly is cut off.
constexpr std::size_t most_unsent_bytes = 1024U * 1024U;

/// Seconds with three places, as in "0.250".
std::string seconds_text(microseconds length) {
    constexpr std::int64_t millis_a_second = 1000;
    const auto millis = std::chrono::duration_cast<milliseconds>(length).count();
    const std::string fraction = std::to_string(millis_a_second + millis % millis_a_second);
    return std::to_string(millis / millis_a_second) + "." + fraction.substr(1);
}

}  // namespace

void caller_answer::begin(const message_head& head) {
    if (!std::exchange(begun_, true)) {
        exchange_->begin_answer(head.status, answer_headers(head, dialect_));
    }
}

void caller_answer::pass_whole(const message_head& head, std::string_view body) {
    exchange_->answer(head.status, answer_headers(head, dialect_), body);
}

bool caller_answer::pass_events(const message_head& head, std::string_view events) {
    begin(head);
    exchange_->send_piece(events);
    if (exchange_->unsent_bytes() <= most_unsent_bytes) {
        return true;
    }
    exchange_->cut();
    return false;
}

void caller_answer::end_stream(const message_head& head) {
    begin(head);
    exchange_->end_answer();
}

void caller_answer::refuse(std::string_view request, unsigned status, std::string_view reason,
                           microseconds retry_after) {
    exchange_->answer(
        status,
        {{dialect_.request_id, std::string(request)}, {"Retry-After", seconds_text(retry_after)}},
        std::string(reason) + "\n");
}

void caller_answer::fail(std::string_view request, unsigned status, std::string_view reason) {
    exchange_->answer(status, {{dialect_.request_id, std::string(request)}},
                      std::string(reason) + "\n");
}

}  // namespace wrenswitch
