#include "roles/guard/guard_reply_sender.hpp"

#include <string>
#include <utility>

namespace wrenswitch {
namespace {

/// The delay that a refusal asks for before a retry.
constexpr std::uint32_t retry_after_ms = 1000;

}  // namespace

guard_reply_sender::guard_reply_sender(message_bus& bus, const incarnation_id& incarnation,
                                       std::function<wire::LoadReport()> load, metrics& counters,
                                       timeline& events)
    : bus_(bus),
      incarnation_(incarnation),
      load_(std::move(load)),
      counters_(counters),
      events_(events) {}

wire::Envelope guard_reply_sender::make_envelope() const {
    wire::Envelope message;
    message.set_sender(raw(incarnation_));
    return message;
}

void guard_reply_sender::send_accepted(const response_listener& to, bool started) {
    wire::Envelope message = make_envelope();
    wire::Accepted& accepted = *message.mutable_accepted();
    accepted.set_request(to.request);
    accepted.set_attempt(raw(to.attempt));
    accepted.set_started(started);
    *accepted.mutable_load() = load_();
    bus_.answer(to.origin, message);
}

void guard_reply_sender::send_refused(const response_listener& to, refusal_reason reason) {
    counters_.counter(labelled("guard_refusals_total", {{"reason", name_of(reason)}})) += 1;
    events_.add(timeline_kind::attempt_refused, std::to_string(to.request), to.attempt, {},
                std::string(name_of(reason)));
    wire::Envelope message = make_envelope();
    wire::Refused& refused = *message.mutable_refused();
    refused.set_request(to.request);
    refused.set_attempt(raw(to.attempt));
    refused.set_reason(encode_refusal(reason));
    refused.set_retry_after_ms(retry_after_ms);
    *refused.mutable_load() = load_();
    bus_.answer(to.origin, message);
}

void guard_reply_sender::send_chunk(const response_listener& to, std::uint32_t index,
                                    unsigned status, std::string_view content_type,
                                    std::string_view data) {
    wire::Envelope message = make_envelope();
    wire::AnswerChunk& chunk = *message.mutable_answer_chunk();
    chunk.set_request(to.request);
    chunk.set_attempt(raw(to.attempt));
    chunk.set_index(index);
    chunk.set_status(status);
    if (index == 0) {
        chunk.set_content_type(std::string(content_type));
    }
    chunk.set_data(data.data(), data.size());
    bus_.answer(to.origin, message);
}

void guard_reply_sender::send_end(const response_listener& to, std::uint32_t chunks, bool complete,
                                  tokens cost) {
    wire::Envelope message = make_envelope();
    wire::AnswerEnd& end = *message.mutable_answer_end();
    end.set_request(to.request);
    end.set_attempt(raw(to.attempt));
    end.set_chunks(chunks);
    end.set_whole(complete);
    end.set_tokens(cost);
    *end.mutable_load() = load_();
    bus_.answer(to.origin, message);
}

}  // namespace wrenswitch
