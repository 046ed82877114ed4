#include "drivers/evhtp_intake.hpp"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "drivers/large_body.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_payload_too_large = 413;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_unavailable = 503;

/// A connection that rests, with its socket and evhtp's parser.
constexpr std::size_t connection_bytes = 16U * 1024U;

/// A request beside its headers and its body, while it is read and answered.
constexpr std::size_t request_overhead_bytes = 8U * 1024U;

/// What a header takes beside its text, which stands in evhtp's list and in a copy of it.
constexpr std::size_t header_bytes = 320;
constexpr std::size_t header_text_copies = 2;

/// What is read ahead of an answer before the socket is left alone.
constexpr std::size_t most_unread_bytes = 64U * 1024U;

/// How long a refused peer may go on sending, so that it can read its refusal before the close, and
/// how long it may take to read it.
constexpr microseconds linger_time = milliseconds(500);
constexpr microseconds longest_write = seconds(5);
constexpr microseconds write_poll_period = milliseconds(10);

/// How long a connection whose reply wasn't written yet is not asked to close again.
constexpr microseconds revoke_pause = milliseconds(200);

std::string refusal_text(unsigned status, std::string_view code, std::string_view message) {
    const std::string_view type =
        status == status_unavailable ? "server_error" : "invalid_request_error";
    std::string body = R"({"error":{"message":")";
    body.append(message).append(R"(","type":")").append(type);
    body.append(R"(","code":")").append(code).append(R"(","ran":"not_run"}})");
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Refused\r\nConnection: close\r\n";
    if (status == status_unavailable) {
        text += "Retry-After: 1\r\n";
    }
    return text +
           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

evhtp_intake::evhtp_intake(event_loop& loop, const http_server_settings& settings,
                           std::shared_ptr<intake_memory> memory, evhtp_connection_t* connection)
    : loop_(loop), settings_(settings), memory_(std::move(memory)), connection_(connection) {}

bool evhtp_intake::start(std::size_t receive_buffer_bytes) {
    const instant now = monotonic_now();
    if (!memory_->make_room_for_connection(now)) {
        return false;
    }
    claim_.emplace(*memory_, intake_kind::connection, now,
                   [this](intake_shortage) { close_if_written(); });
    if (!claim_->hold(now, connection_bytes)) {
        return false;
    }
    claim_->record_receive_buffer(receive_buffer_bytes);
    claim_->set_revocable(true);
    evhtp_connection_set_hook(connection_, evhtp_hook_on_header,
                              as_evhtp_hook(&evhtp_intake::on_header), this);
    evhtp_connection_set_hook(connection_, evhtp_hook_on_headers,
                              as_evhtp_hook(&evhtp_intake::on_headers), this);
    evhtp_connection_set_hook(connection_, evhtp_hook_on_read,
                              as_evhtp_hook(&evhtp_intake::on_body), this);
    return true;
}

evhtp_res evhtp_intake::on_header(evhtp_request_t*, evhtp_header_t* header, void* self) {
    static_cast<evhtp_intake*>(self)->take_header(*header);
    return EVHTP_RES_OK;
}

evhtp_res evhtp_intake::on_headers(evhtp_request_t*, evhtp_headers_t* headers, void* self) {
    static_cast<evhtp_intake*>(self)->check_head(*headers);
    return EVHTP_RES_OK;
}

evhtp_res evhtp_intake::on_body(evhtp_request_t*, evbuffer* piece, void* self) {
    static_cast<evhtp_intake*>(self)->take_body(piece);
    return EVHTP_RES_OK;
}

void evhtp_intake::begin_request() {
    header_text_bytes_ = 0;
    header_count_ = 0;
    announced_bytes_ = 0;
    free_body(body_);
    claim_->set_revocable(false);
    request_claim_ =
        std::make_unique<intake_claim>(*memory_, intake_kind::request, monotonic_now(),
                                       [this](intake_shortage shortage) { give_way(shortage); });
    request_claim_->set_revocable(true);
}

void evhtp_intake::take_header(const evhtp_header_t& header) {
    if (refused_) {
        return;
    }
    if (!request_claim_) {
        begin_request();
    }
    header_text_bytes_ += header.klen + header.vlen;
    header_count_ += 1;
    request_claim_->record_arrival(monotonic_now(), header.klen + header.vlen);
    if (header_text_bytes_ > settings_.most_header_bytes) {
        refuse(status_headers_too_large, "too_large", "The headers are too large.");
    } else if (!hold_request()) {
        refuse_for_shortage();
    }
}

/// Refuses a request by its head, before its body is taken in.
void evhtp_intake::check_head(evhtp_headers_t& headers) {
    if (refused_) {
        return;
    }
    if (!request_claim_) {
        begin_request();
    }
    const char* length = evhtp_header_find(&headers, "Content-Length");
    if (length == nullptr) {
        return;
    }
    const std::string_view digits(length);
    const auto [end, problem] =
        std::from_chars(digits.data(), digits.data() + digits.size(), announced_bytes_);
    const bool is_number = end == digits.data() + digits.size() && !digits.empty() &&
                           problem != std::errc::invalid_argument;
    if (!is_number) {
        refuse(status_bad_request, "bad_length", "Content-Length is not a number.");
        return;
    }
    if (problem == std::errc::result_out_of_range || announced_bytes_ > settings_.most_body_bytes) {
        refuse(status_payload_too_large, "too_large", "The body is too large.");
    }
}

void evhtp_intake::take_body(evbuffer* piece) {
    const std::size_t length = evbuffer_get_length(piece);
    if (refused_ || !request_claim_) {
        evbuffer_drain(piece, length);
        return;
    }
    request_claim_->record_arrival(monotonic_now(), length);
    const std::size_t begin = body_.size();
    if (begin + length > settings_.most_body_bytes) {
        refuse(status_payload_too_large, "too_large", "The body is too large.");
        evbuffer_drain(piece, length);
        return;
    }
    reserve_large_body(body_, begin + length,
                       announced_bytes_ > 0 ? announced_bytes_ : settings_.most_body_bytes);
    body_.resize(begin + length);
    evbuffer_remove(piece, body_.data() + begin, length);
    if (!hold_request()) {
        refuse_for_shortage();
    }
}

bool evhtp_intake::hold_request() {
    const std::size_t head = header_text_copies * header_text_bytes_ + header_count_ * header_bytes;
    const std::size_t body = settings_.body_copies * backed_bytes(body_);
    return request_claim_->hold(monotonic_now(), request_overhead_bytes + head + body);
}

void evhtp_intake::refuse_for_shortage() {
    refuse(status_unavailable, "caller_memory", "There is no memory for this request now.");
}

/// Writes a refusal and drops what the peer still sends of the request.
void evhtp_intake::refuse(unsigned status, std::string_view code, std::string_view message) {
    refused_ = true;
    free_body(body_);
    request_claim_.reset();
    claim_->set_revocable(true);
    // evhtp may be on the stack, and goes on with what it has read. It is told nothing more.
    bufferevent_setcb(stream(), &evhtp_intake::on_dropped_read, nullptr,
                      &evhtp_intake::on_dropped_event, this);
    const std::string text = refusal_text(status, code, message);
    bufferevent_write(stream(), text.data(), text.size());
    finish_writing(longest_write);
}

void evhtp_intake::on_dropped_read(bufferevent* stream, void*) {
    evbuffer* rest = bufferevent_get_input(stream);
    evbuffer_drain(rest, evbuffer_get_length(rest));
}

void evhtp_intake::on_dropped_event(bufferevent*, short, void* self) {
    static_cast<evhtp_intake*>(self)->close();
}

void evhtp_intake::finish_writing(microseconds left) {
    const bool written = evbuffer_get_length(bufferevent_get_output(stream())) == 0;
    if (written || left <= microseconds(0)) {
        ::shutdown(bufferevent_getfd(stream()), SHUT_WR);
    }
    const microseconds pause = written ? linger_time : write_poll_period;
    const bool ends = written || left <= microseconds(0);
    loop_.call_after(pause, [weak = weak_from_this(), ends, left, pause] {
        const auto self = weak.lock();
        if (!self || self->connection_ == nullptr) {
            return;
        }
        if (ends) {
            self->close();
        } else {
            self->finish_writing(left - pause);
        }
    });
}

void evhtp_intake::give_way(intake_shortage shortage) {
    const auto self = shared_from_this();
    refuse_for_shortage();
    if (shortage == intake_shortage::connections) {
        bufferevent_flush(stream(), EV_WRITE, BEV_FLUSH);
        close();
    }
}

/// Closes a connection that has given way, unless a reply is still on its way: then it can be asked
/// again a moment later.
void evhtp_intake::close_if_written() {
    if (evbuffer_get_length(bufferevent_get_output(stream())) == 0) {
        close();
        return;
    }
    loop_.call_after(revoke_pause, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->claim_ && !self->request_claim_ && !self->evhtp_callbacks_) {
            self->claim_->set_revocable(true);
        }
    });
}

void evhtp_intake::close() {
    if (connection_ != nullptr) {
        const auto self = shared_from_this();
        evhtp_connection_free(connection_);
    }
}

void evhtp_intake::connection_ended() {
    connection_ = nullptr;
    free_body(body_);
    request_claim_.reset();
    claim_.reset();
}

std::string evhtp_intake::begin_exchange(std::unique_ptr<intake_claim>& claim) {
    if (!request_claim_) {
        begin_request();
    }
    request_claim_->set_revocable(false);
    claim = std::move(request_claim_);
    evhtp_callbacks_.emplace();
    bufferevent_getcb(stream(), &evhtp_callbacks_->readable, &evhtp_callbacks_->written,
                      &evhtp_callbacks_->event, &evhtp_callbacks_->argument);
    bufferevent_setcb(stream(), &evhtp_intake::on_read_ahead, &evhtp_intake::on_written_ahead,
                      &evhtp_intake::on_event_ahead, this);
    bufferevent_setwatermark(stream(), EV_READ, 0, most_unread_bytes);
    return std::exchange(body_, {});
}

void evhtp_intake::end_exchange() {
    if (connection_ == nullptr || !evhtp_callbacks_) {
        return;
    }
    const stream_callbacks own = *std::exchange(evhtp_callbacks_, std::nullopt);
    bufferevent_setcb(stream(), own.readable, own.written, own.event, own.argument);
    bufferevent_setwatermark(stream(), EV_READ, 0, 0);
    claim_->hold(monotonic_now(), connection_bytes);
    claim_->set_revocable(true);
}

void evhtp_intake::on_read_ahead(bufferevent*, void* self) {
    const auto intake = static_cast<evhtp_intake*>(self)->shared_from_this();
    intake->read_ahead();
}

/// A connection whose peer sends ahead of its answer more than there is room for ends.
void evhtp_intake::read_ahead() {
    const std::size_t length = evbuffer_get_length(bufferevent_get_input(stream()));
    if (!claim_->hold(monotonic_now(), connection_bytes + length)) {
        on_event_ahead(stream(), BEV_EVENT_READING | BEV_EVENT_EOF, this);
    }
}

void evhtp_intake::on_written_ahead(bufferevent* stream, void* self) {
    const auto intake = static_cast<evhtp_intake*>(self)->shared_from_this();
    const stream_callbacks own = *intake->evhtp_callbacks_;
    if (own.written != nullptr) {
        own.written(stream, own.argument);
    }
}

void evhtp_intake::on_event_ahead(bufferevent* stream, short what, void* self) {
    const auto intake = static_cast<evhtp_intake*>(self)->shared_from_this();
    const stream_callbacks own = *intake->evhtp_callbacks_;
    if (own.event != nullptr) {
        own.event(stream, what, own.argument);
    }
}

}  // namespace wrenswitch
