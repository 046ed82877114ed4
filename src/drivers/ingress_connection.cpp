#include "drivers/ingress_connection.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "drivers/connection_exchange.hpp"
#include "drivers/connection_wait.hpp"
#include "drivers/direct_send.hpp"
#include "drivers/large_body.hpp"
#include "drivers/socket_queue.hpp"
#include "drivers/status_reason.hpp"
#include "drivers/timeval.hpp"

namespace wrenswitch {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_head_too_large = 431;
constexpr unsigned status_unavailable = 503;

/// How long a refused peer may go on sending, so that it can read its refusal before the close.
constexpr microseconds linger_time = milliseconds(500);

/// What a request with all its limits may hold unread before the socket is left alone.
constexpr std::size_t most_unread_bytes = 256U * 1024U;

/// A connection that rests, with its socket and its parser.
constexpr std::size_t connection_bytes = 8U * 1024U;

/// A request beside its head and its body, while it is read and answered.
constexpr std::size_t request_overhead_bytes = 8U * 1024U;

/// A head is held twice: as it came, and as it is passed on.
constexpr std::size_t head_copies = 2;

/// What is read of a body while its request waits. A caller that disconnects is noticed at once if
/// it has sent no more than this.
constexpr std::size_t most_waiting_bytes = 4096;

bool is_proper(const message_head& head) {
    if (head.target.empty() || head.target.front() != '/' || head.method == "CONNECT") {
        return false;
    }
    return head.count("Host") == 1 && head.count("Content-Length") <= 1 &&
           head.count("Transfer-Encoding") <= 1;
}

}  // namespace

ingress_connection::ingress_connection(ingress_context& context, bufferevent* stream)
    : context_(context),
      intake_(context.intake),
      stream_(stream),
      limits_(context.limits()),
      parser_(make_parser()) {}

ingress_connection::~ingress_connection() {
    if (stream_ != nullptr) {
        bufferevent_free(stream_);
    }
}

message_parser ingress_connection::make_parser() {
    message_parser_hooks hooks;
    hooks.on_head = [this](message_head head) { return head_arrived(std::move(head)); };
    hooks.on_body = [this](std::string_view piece) { body_arrived(piece); };
    hooks.on_end = [this] { phase_ = phase::answering; };
    return {message_kind::request, {limits_.most_header_bytes}, std::move(hooks)};
}

bool ingress_connection::start(std::size_t receive_buffer_bytes) {
    claim_.emplace(*intake_, intake_kind::connection, monotonic_now(),
                   [this](intake_shortage) { close(); });
    if (!hold_buffers()) {
        close();
        return false;
    }
    claim_->record_receive_buffer(receive_buffer_bytes);
    update_revocable();
    bufferevent_setcb(stream_, &on_readable, &on_written, &on_event, this);
    set_read_timeout(limits_.idle_timeout);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    return true;
}

void ingress_connection::on_readable(bufferevent*, void* self) {
    const auto connection = static_cast<ingress_connection*>(self)->shared_from_this();
    connection->read_available();
    connection->hold_after_read();
}

void ingress_connection::on_written(bufferevent*, void* self) {
    static_cast<ingress_connection*>(self)->update_revocable();
}

void ingress_connection::on_event(bufferevent*, short what, void* self) {
    const auto connection = static_cast<ingress_connection*>(self)->shared_from_this();
    if ((what & BEV_EVENT_TIMEOUT) != 0) {
        connection->timed_out();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        connection->peer_gone();
    }
}

void ingress_connection::read_available() {
    if (phase_ == phase::lingering) {
        evbuffer* rest = bufferevent_get_input(stream_);
        evbuffer_drain(rest, evbuffer_get_length(rest));
        return;
    }
    while (stream_ != nullptr && (phase_ == phase::idle || phase_ == phase::reading)) {
        evbuffer* input = bufferevent_get_input(stream_);
        const std::size_t length = evbuffer_get_length(input);
        if (length == 0) {
            return;
        }
        if (phase_ == phase::idle) {
            begin_request();
        }
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
        const result<std::size_t> taken = parser_.feed({data, length});
        if (!taken) {
            const bool in_body = parser_.head_complete();
            const bool too_large = taken.error().code == error_code::too_large;
            refuse(!too_large ? status_bad_request
                              : (in_body ? status_too_large : status_head_too_large));
            return;
        }
        evbuffer_drain(input, taken.value());
        context_.loop.traffic().received += taken.value();
        request_claim_->record_arrival(monotonic_now(), taken.value());
        if (!hold_request()) {
            refuse(shortage_refusal());
            return;
        }
        if (body_.size() > limits_.most_body_bytes) {
            refuse(status_too_large);
            return;
        }
        if (head_is_overdue()) {
            refuse(status_timeout);
            return;
        }
        if (phase_ == phase::waiting) {
            decide_on_head();
        }
        if (phase_ == phase::answering) {
            request_complete();
        }
    }
}

void ingress_connection::begin_request() {
    phase_ = phase::reading;
    limits_ = context_.limits();
    parser_ = make_parser();
    head_ = {};
    waited_ = microseconds(0);
    reading_since_ = monotonic_now();
    set_read_timeout(limits_.head_timeout);
    claim_->set_revocable(false);
    request_claim_ =
        std::make_unique<intake_claim>(*intake_, intake_kind::request, reading_since_,
                                       [this](intake_shortage shortage) { give_way(shortage); });
    request_claim_->set_revocable(true);
}

std::size_t ingress_connection::request_bytes() const {
    return request_overhead_bytes + head_copies * parser_.head_memory() + backed_bytes(body_);
}

/// A connection may close for another one while it has no request and nothing left to send.
void ingress_connection::update_revocable() {
    const bool has_request =
        phase_ == phase::reading || phase_ == phase::waiting || phase_ == phase::answering;
    claim_->set_revocable(!has_request && unsent_bytes() == 0);
}

bool ingress_connection::hold_buffers() {
    const std::size_t read_ahead = evbuffer_get_length(bufferevent_get_input(stream_));
    return claim_->hold(monotonic_now(), connection_bytes + read_ahead);
}

bool ingress_connection::hold_request() {
    return request_claim_->hold(monotonic_now(), request_bytes());
}

/// A connection whose peer sends ahead of its answers more than there is room for ends.
void ingress_connection::hold_after_read() {
    if (open() && phase_ != phase::lingering && !hold_buffers()) {
        end_for_shortage();
    }
}

void ingress_connection::end_for_shortage() {
    if (phase_ == phase::reading || phase_ == phase::waiting) {
        refuse_unread(shortage_refusal());
    } else {
        peer_gone();
    }
}

head_decision ingress_connection::shortage_refusal() const {
    if (context_.refuse_for_shortage) {
        return context_.refuse_for_shortage(head_);
    }
    return {head_action::refuse, status_unavailable, {}, {}};
}

/// Gives the memory of a request back that has been read in part only.
void ingress_connection::give_way(intake_shortage shortage) {
    const auto self = shared_from_this();
    refuse_unread(shortage_refusal());
    if (shortage == intake_shortage::connections) {
        close();
    }
}

/// A peer that sends its head byte by byte never rests long enough for the read timeout.
bool ingress_connection::head_is_overdue() const {
    return phase_ == phase::reading && !parser_.head_complete() &&
           monotonic_now() - reading_since_ > limits_.head_timeout;
}

result<void> ingress_connection::head_arrived(message_head head) {
    if (!is_proper(head)) {
        return failed(error_code::bad_input, "The request's head is not proper.");
    }
    if (head.content_length.value_or(0) > limits_.most_body_bytes) {
        return failed(error_code::too_large, "The body is too long.");
    }
    keep_alive_ = head.keep_alive;
    body_.clear();
    head_ = std::move(head);
    if (context_.on_head) {
        phase_ = phase::waiting;
        parser_.pause_after_head();
    } else {
        invite_body();
    }
    return outcome::success();
}

void ingress_connection::invite_body() {
    if (same_header_name(head_.header("Expect"), "100-continue")) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

/// Asks the hook, outside of the parser, what happens to the request.
void ingress_connection::decide_on_head() {
    waiting_since_ = monotonic_now();
    wait_number_ += 1;
    set_read_timeout(microseconds(0));
    head_decision decision = context_.on_head(
        head_, std::make_shared<connection_wait>(shared_from_this(), wait_number_));
    switch (decision.action) {
        case head_action::proceed:
            gone_hook_ = {};
            continue_with_body();
            break;
        case head_action::wait:
            bufferevent_setwatermark(stream_, EV_READ, 0, most_waiting_bytes);
            break;
        case head_action::refuse:
            refuse(decision);
            break;
    }
}

void ingress_connection::continue_with_body() {
    phase_ = phase::reading;
    set_read_timeout(limits_.head_timeout);
    invite_body();
}

void ingress_connection::end_wait(const head_decision& decision) {
    if (decision.action == head_action::refuse) {
        refuse(decision);
        return;
    }
    // The end of a caller behind an unread body is not seen by reading.
    if (peer_has_closed()) {
        peer_gone();
        return;
    }
    gone_hook_ = {};
    waited_ = monotonic_now() - waiting_since_;
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    continue_with_body();
    read_available();
}

bool ingress_connection::peer_has_closed() const {
    pollfd state{bufferevent_getfd(stream_), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (static_cast<unsigned>(state.revents) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void ingress_connection::body_arrived(std::string_view piece) {
    // One byte more than allowed is kept, which shows that the body is too long.
    const std::size_t room = limits_.most_body_bytes + 1 - body_.size();
    const std::size_t kept = std::min(piece.size(), room);
    reserve_large_body(body_, body_.size() + kept,
                       head_.content_length.value_or(limits_.most_body_bytes + 1));
    body_.append(piece.substr(0, kept));
}

void ingress_connection::request_complete() {
    set_read_timeout(microseconds(0));
    bufferevent_setwatermark(stream_, EV_READ, 0, most_unread_bytes);
    request_claim_->set_revocable(false);
    auto exchange = std::make_shared<connection_exchange>(
        shared_from_this(), std::move(head_), std::exchange(body_, {}), std::move(request_claim_));
    context_.handler(exchange);
}

void ingress_connection::refuse(const head_decision& decision) {
    keep_alive_ = false;
    free_body(body_);
    head_ = {};
    request_claim_.reset();
    std::string text = "HTTP/1.1 " + std::to_string(decision.status) + " ";
    text.append(reason_of(decision.status)).append("\r\n");
    for (const http_header& header : decision.headers) {
        append_header(text, header.name, header.value);
    }
    append_header(text, "Content-Length", std::to_string(decision.body.size()));
    text.append("Connection: close\r\n\r\n").append(decision.body);
    write(text);
    linger();
}

void ingress_connection::refuse_unread(const head_decision& refusal) {
    if (!open() || (phase_ != phase::reading && phase_ != phase::waiting)) {
        return;
    }
    // Whoever holds the request must not let it proceed.
    const std::function<void()> hook = std::exchange(gone_hook_, {});
    refuse(refusal);
    if (hook) {
        hook();
    }
}

bool ingress_connection::is_busy() const {
    if (!open()) {
        return false;
    }
    const bool has_request =
        phase_ == phase::reading || phase_ == phase::waiting || phase_ == phase::answering;
    return has_request || evbuffer_get_length(bufferevent_get_input(stream_)) > 0 ||
           unacknowledged_bytes() > 0;
}

void ingress_connection::write(std::string_view bytes) {
    if (stream_ == nullptr) {
        return;
    }
    context_.loop.traffic().sent += bytes.size();
    if (held_.empty()) {
        send_directly(stream_, bytes);
        return;
    }
    held_.append(bytes);
    send_directly(stream_, std::exchange(held_, {}));
}

void ingress_connection::write_soon(std::string_view bytes) {
    context_.loop.traffic().sent += bytes.size();
    held_ += bytes;
}

void ingress_connection::finish_answer(bool keep) {
    gone_hook_ = {};
    if (!keep) {
        if (is_kept_otherwise() && is_account_closing() && context_.on_account_closed) {
            context_.on_account_closed(account_);
        }
        linger();
        return;
    }
    phase_ = phase::idle;
    update_revocable();
    set_read_timeout(limits_.idle_timeout);
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    // The next request may have arrived already. It is read in a new turn of the loop, since an
    // exchange is still on the stack.
    context_.loop.call_after(microseconds(0), [self = shared_from_this()] {
        if (self->open()) {
            self->read_available();
        }
    });
}

void ingress_connection::linger() {
    phase_ = phase::lingering;
    update_revocable();
    gone_hook_ = {};
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    finish_writing(unacknowledged_bytes(), monotonic_now());
}

/// Ends the write side once all is written, and the connection a moment later. A peer that takes
/// nothing for the head timeout is given up. libevent has no call for the end of writing, so it is
/// looked for. Progress is measured by acknowledgements, because the system accepts more only once
/// a third of its buffer of some megabytes is free, which takes a slow reader seconds.
void ingress_connection::finish_writing(std::size_t bytes_before, instant progress_at) {
    if (!open()) {
        return;
    }
    if (unsent_bytes() == 0) {
        ::shutdown(bufferevent_getfd(stream_), SHUT_WR);
        context_.loop.call_after(linger_time, [self = shared_from_this()] { self->close(); });
        return;
    }
    const instant now = monotonic_now();
    const std::size_t bytes = unacknowledged_bytes();
    const instant progress = bytes < bytes_before ? now : progress_at;
    if (now - progress > limits_.head_timeout) {
        close();
        return;
    }
    context_.loop.call_after(milliseconds(10), [self = shared_from_this(), bytes, progress] {
        self->finish_writing(bytes, progress);
    });
}

void ingress_connection::abort() {
    if (stream_ == nullptr) {
        return;
    }
    // A reset, so that what was sent can't pass for a whole answer.
    const ::linger hard{1, 0};
    ::setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    gone_hook_ = {};
    close();
}

void ingress_connection::peer_gone() {
    const std::function<void()> hook = std::exchange(gone_hook_, {});
    close();
    if (hook) {
        hook();
    }
}

void ingress_connection::close() {
    if (stream_ == nullptr) {
        return;
    }
    bufferevent_free(std::exchange(stream_, nullptr));
    free_body(body_);
    request_claim_.reset();
    claim_.reset();
    context_.on_gone(this);
}

bool ingress_connection::close_if_idle() {
    if (phase_ != phase::idle || stream_ == nullptr ||
        evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
        return false;
    }
    if (unsent_bytes() == 0) {
        close();
    } else {
        linger();
    }
    return true;
}

void ingress_connection::set_read_timeout(microseconds length) {
    if (length == microseconds(0)) {
        bufferevent_set_timeouts(stream_, nullptr, nullptr);
        return;
    }
    const timeval wait = to_timeval(length);
    bufferevent_set_timeouts(stream_, &wait, nullptr);
}

void ingress_connection::timed_out() {
    if (phase_ == phase::reading) {
        bufferevent_enable(stream_, EV_READ);
        refuse(status_timeout);
        return;
    }
    close();
}

/// Bytes that the peer has not acknowledged, including those in the buffer of the system.
std::size_t ingress_connection::unacknowledged_bytes() const {
    return unsent_bytes() + unacknowledged_in_kernel(bufferevent_getfd(stream_));
}

std::size_t ingress_connection::unsent_bytes() const {
    return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
}

}  // namespace wrenswitch
