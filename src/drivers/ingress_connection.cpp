#include "drivers/ingress_connection.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "drivers/direct_send.hpp"
#include "drivers/timeval.hpp"

namespace wrenswitch {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_head_too_large = 431;

/// How long a refused peer may go on sending, so that it can read its refusal before the close.
constexpr microseconds linger_time = milliseconds(500);

/// What a request with all its limits may hold unread before the socket is left alone.
constexpr std::size_t most_unread_bytes = 256U * 1024U;

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

std::string_view reason_of(unsigned status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

}  // namespace

/// One request of a connection. It outlives the connection if its owner holds on to it.
class connection_exchange final : public ingress_exchange {
public:
    connection_exchange(std::shared_ptr<ingress_connection> connection, message_head head,
                        std::string body)
        : connection_(std::move(connection)),
          head_(std::move(head)),
          body_(std::move(body)),
          received_(monotonic_now()),
          waited_(connection_->waited_) {}

    const message_head& head() const override { return head_; }
    std::string_view body() const override { return body_; }
    instant received() const override { return received_; }
    microseconds waited() const override { return waited_; }

    void answer(unsigned status, const std::vector<http_header>& headers,
                std::string_view body) override {
        if (!usable()) {
            return;
        }
        std::string text = head_text(status, headers);
        const bool bodyless = status == 204 || status == 304;
        if (!bodyless) {
            append_header(text, "Content-Length", std::to_string(body.size()));
        }
        text += "\r\n";
        if (!bodyless && head_.method != "HEAD") {
            text += body;
        }
        connection_->write(text);
        finish();
    }

    void begin_answer(unsigned status, const std::vector<http_header>& headers) override {
        if (!usable()) {
            return;
        }
        std::string text = head_text(status, headers);
        append_header(text, "Transfer-Encoding", "chunked");
        text += "\r\n";
        connection_->write_soon(text);
    }

    void send_piece(std::string_view piece) override {
        if (!usable() || piece.empty()) {
            return;
        }
        constexpr std::string_view digits = "0123456789abcdef";
        constexpr std::size_t base = 16;
        std::string size;
        for (std::size_t rest = piece.size(); rest > 0; rest /= base) {
            size.insert(size.begin(), digits[rest % base]);
        }
        std::string text;
        text.reserve(size.size() + piece.size() + 4);
        text.append(size).append("\r\n").append(piece).append("\r\n");
        connection_->write(text);
    }

    void end_answer() override {
        if (!usable()) {
            return;
        }
        connection_->write("0\r\n\r\n");
        finish();
    }

    void cut() override {
        if (!usable()) {
            return;
        }
        ended_ = true;
        connection_->abort();
    }

    std::size_t unsent_bytes() const override { return connection_->unsent_bytes(); }

    void set_account(std::string_view account) override {
        if (usable()) {
            connection_->account_ = account;
        }
    }

    void on_closed(std::function<void()> action) override {
        if (usable()) {
            connection_->gone_hook_ = std::move(action);
        }
    }

private:
    bool usable() const { return !ended_ && connection_->open(); }

    std::string head_text(unsigned status, const std::vector<http_header>& headers) const {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text.append(reason_of(status)).append("\r\n");
        for (const http_header& header : headers) {
            append_header(text, header.name, header.value);
        }
        if (!connection_->keeps_alive()) {
            append_header(text, "Connection", "close");
        }
        return text;
    }

    void finish() {
        ended_ = true;
        connection_->finish_answer(connection_->keeps_alive());
    }

    std::shared_ptr<ingress_connection> connection_;
    message_head head_;
    std::string body_;
    instant received_;
    microseconds waited_;
    bool ended_ = false;
};

/// The wait of one request behind its head.
class connection_wait final : public waiting_head {
public:
    connection_wait(const std::shared_ptr<ingress_connection>& connection, std::uint64_t number)
        : connection_(connection), number_(number) {}

    void end_wait(const head_decision& decision) override {
        const auto connection = connection_.lock();
        if (connection && is_present(*connection)) {
            connection->end_wait(decision);
        }
    }

    void on_closed(std::function<void()> action) override {
        const auto connection = connection_.lock();
        if (connection && connection->open() && connection->wait_number_ == number_) {
            connection->gone_hook_ = std::move(action);
        }
    }

private:
    bool is_present(const ingress_connection& connection) const {
        return connection.open() && connection.phase_ == ingress_connection::phase::waiting &&
               connection.wait_number_ == number_;
    }

    std::weak_ptr<ingress_connection> connection_;
    std::uint64_t number_;
};

ingress_connection::ingress_connection(ingress_context& context, bufferevent* stream)
    : context_(context), stream_(stream), limits_(context.limits()), parser_(make_parser()) {}

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

void ingress_connection::start() {
    bufferevent_setcb(stream_, &on_readable, &on_written, &on_event, this);
    set_read_timeout(limits_.idle_timeout);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

void ingress_connection::on_readable(bufferevent*, void* self) {
    const auto connection = static_cast<ingress_connection*>(self)->shared_from_this();
    connection->read_available();
}

void ingress_connection::on_written(bufferevent*, void*) {}

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
            phase_ = phase::reading;
            limits_ = context_.limits();
            parser_ = make_parser();
            waited_ = microseconds(0);
            reading_since_ = monotonic_now();
            set_read_timeout(limits_.head_timeout);
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
    // One byte more than allowed is kept, so that the end of a chunked body can be refused.
    const std::size_t room = limits_.most_body_bytes + 1 - body_.size();
    body_.append(piece.substr(0, std::min(piece.size(), room)));
}

void ingress_connection::request_complete() {
    if (body_.size() > limits_.most_body_bytes) {
        refuse(status_too_large);
        return;
    }
    set_read_timeout(microseconds(0));
    bufferevent_setwatermark(stream_, EV_READ, 0, most_unread_bytes);
    auto exchange = std::make_shared<connection_exchange>(shared_from_this(), std::move(head_),
                                                          std::exchange(body_, {}));
    context_.handler(exchange);
}

void ingress_connection::refuse(const head_decision& decision) {
    keep_alive_ = false;
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
        linger();
        return;
    }
    phase_ = phase::idle;
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
    gone_hook_ = {};
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    context_.loop.call_after(linger_time, [self = shared_from_this()] { self->close(); });
    // The write side ends once all is written; libevent has no call for that, so it is looked for.
    const auto shut = [](const std::shared_ptr<ingress_connection>& self, const auto& again) {
        if (!self->open()) {
            return;
        }
        if (self->unsent_bytes() == 0) {
            ::shutdown(bufferevent_getfd(self->stream_), SHUT_WR);
            return;
        }
        self->context_.loop.call_after(milliseconds(10), [self, again] { again(self, again); });
    };
    shut(shared_from_this(), shut);
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
    context_.on_gone(this);
}

void ingress_connection::close_if_idle() {
    if (phase_ == phase::idle && stream_ != nullptr &&
        evbuffer_get_length(bufferevent_get_input(stream_)) == 0) {
        close();
    }
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

std::size_t ingress_connection::unsent_bytes() const {
    return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
}

}  // namespace wrenswitch
