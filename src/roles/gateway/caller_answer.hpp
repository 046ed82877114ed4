#pragma once

#include <string>
#include <string_view>

#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// What a caller is answered: a target's answer, whole or as it comes, or the gateway's own word.
class caller_answer {
public:
    /// The dialect must outlive the answer.
    caller_answer(ingress_exchange_pointer exchange, const gateway_dialect& dialect)
        : exchange_(std::move(exchange)), dialect_(dialect) {}

    /// True once a part of a target's answer was passed on.
    bool begun() const { return begun_; }

    /// Passes on a target's whole answer.
    void pass_whole(const message_head& head, std::string_view body);

    /// Passes on events of a target's stream, behind its head if they are the first. False if the
    /// caller takes them so slowly that the answer was cut.
    bool pass_events(const message_head& head, std::string_view events);

    /// Ends a stream as complete.
    void end_stream(const message_head& head);

    /// Ends an answer that was begun so that the caller sees that it isn't whole.
    void cut() { exchange_->cut(); }

    /// Answers that the request did not run, and when to come back.
    void refuse(std::string_view request, unsigned status, std::string_view reason,
                microseconds retry_after);

    /// Answers with a failure of the gateway's own.
    void fail(std::string_view request, unsigned status, std::string_view reason);

private:
    void begin(const message_head& head);

    ingress_exchange_pointer exchange_;
    const gateway_dialect& dialect_;
    bool begun_ = false;
};

}  // namespace wrenswitch
