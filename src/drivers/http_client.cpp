#include "wrenswitch/drivers/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <utility>

#include "drivers/loop_priorities.hpp"
#include "drivers/timeval.hpp"
#include "wrenswitch/drivers/message_head.hpp"

namespace wrenswitch {
namespace {

constexpr std::size_t most_idle_connections = 64;

/// The longest head of a reply.
constexpr ev_ssize_t max_head_bytes = 64 * 1024;

bool has_valid_status(evhttp_request* request) {
    return is_valid_status(static_cast<unsigned>(evhttp_request_get_response_code(request)));
}

/// True if the reply says where its body ends, or can't have one.
bool is_framed(evhttp_request* request) {
    const int status = evhttp_request_get_response_code(request);
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    return status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED ||
           evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

evhttp_cmd_type command_of(std::string_view method) {
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "PATCH") {
        return EVHTTP_REQ_PATCH;
    }
    return EVHTTP_REQ_GET;
}

std::string drained(evbuffer* buffer) {
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

std::string error_text(evhttp_request_error kind) {
    switch (kind) {
        case EVREQ_HTTP_TIMEOUT:
            return "the peer was silent for too long";
        case EVREQ_HTTP_EOF:
            return "the peer closed the connection";
        case EVREQ_HTTP_INVALID_HEADER:
            return "the peer's headers cannot be read";
        case EVREQ_HTTP_BUFFER_ERROR:
            return "the connection failed";
        case EVREQ_HTTP_REQUEST_CANCEL:
            return "the request was called off";
        case EVREQ_HTTP_DATA_TOO_LONG:
            return "the reply is too long";
    }
    return "the connection failed";
}

}  // namespace

result<http_address> http_address::parse(std::string_view text) {
    constexpr std::string_view scheme = "http://";
    if (text.substr(0, scheme.size()) == scheme) {
        text.remove_prefix(scheme.size());
    }
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return failed(error_code::bad_input,
                      "Not an address with a port: " + std::string(text) + ".");
    }
    http_address address;
    address.host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, problem] =
        std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (problem != std::errc{} || end != digits.data() + digits.size()) {
        return failed(error_code::bad_input, "Not a port: " + std::string(digits) + ".");
    }
    return address;
}

/// The connections to one address. Calls share it, so that it outlives the client if need be.
struct http_client::pool {
    event_loop& loop;
    http_address address;
    std::vector<evhttp_connection*> idle;

    pool(event_loop& owner, http_address peer) : loop(owner), address(std::move(peer)) {}
    ~pool() {
        for (evhttp_connection* connection : idle) {
            evhttp_connection_free(connection);
        }
    }
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;

    evhttp_connection* take(bool fresh) {
        if (!fresh && !idle.empty()) {
            evhttp_connection* connection = idle.back();
            idle.pop_back();
            return connection;
        }
        evhttp_connection* connection =
            evhttp_connection_base_new(loop.base(), nullptr, address.host.c_str(), address.port);
        evhttp_connection_set_retries(connection, 0);
        evhttp_connection_set_max_headers_size(connection, max_head_bytes);
        return connection;
    }

    void put_back(evhttp_connection* connection, microseconds longest_idle) {
        if (idle.size() < most_idle_connections) {
            const timeval limit = to_timeval(longest_idle);
            evhttp_connection_set_timeout_tv(connection, &limit);
            // Not before now: a connection that is made loses its priority.
            bufferevent_priority_set(evhttp_connection_get_bufferevent(connection), first_priority);
            idle.push_back(connection);
            return;
        }
        evhttp_connection_free(connection);
    }
};

class http_client::running_call final : public http_call {
public:
    running_call(std::shared_ptr<pool> connections, http_request request, http_reply_hook on_reply,
                 http_piece_hook on_piece)
        : pool_(std::move(connections)),
          on_reply_(std::move(on_reply)),
          on_piece_(std::move(on_piece)),
          fresh_(request.fresh_connection),
          longest_idle_(request.longest_idle.value_or(request.timeout)),
          connection_(pool_->take(request.fresh_connection)) {
        const timeval timeout = to_timeval(request.timeout);
        evhttp_connection_set_timeout_tv(connection_, &timeout);
        evhttp_connection_set_max_body_size(connection_,
                                            static_cast<ev_ssize_t>(request.max_reply_bytes));
        request_ = evhttp_request_new(&running_call::on_done, this);
        evhttp_request_set_error_cb(request_, &running_call::on_error);
        if (on_piece_) {
            evhttp_request_set_chunked_cb(request_, &running_call::on_chunk);
        }
        evkeyvalq* headers = evhttp_request_get_output_headers(request_);
        evhttp_add_header(headers, "Host", pool_->address.to_text().c_str());
        for (const http_header& header : request.headers) {
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        }
        evbuffer* body = evhttp_request_get_output_buffer(request_);
        evbuffer_add(body, request.body.data(), request.body.size());
        pool_->loop.store_traffic().sent += request.body.size();
        const int sent = evhttp_make_request(connection_, request_, command_of(request.method),
                                             request.target.c_str());
        if (sent != 0) {
            request_ = nullptr;
            fail_later();
        }
    }

    ~running_call() override {
        *alive_ = false;
        if (request_ != nullptr) {
            evhttp_request_set_error_cb(request_, nullptr);
            evhttp_cancel_request(request_);
        }
        free_connection_later();
    }
    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

private:
    static void on_error(evhttp_request_error kind, void* argument) {
        auto* self = static_cast<running_call*>(argument);
        self->problem_ = kind;
        self->had_error_ = true;
    }

    static void on_chunk(evhttp_request* request, void* argument) {
        auto* self = static_cast<running_call*>(argument);
        const std::shared_ptr<bool> alive = self->alive_;
        const std::string piece = drained(evhttp_request_get_input_buffer(request));
        if (!has_valid_status(request)) {
            return;
        }
        self->pool_->loop.store_traffic().received += piece.size();
        // Avoids copying the headers out of evhttp again for each of the hundreds of pieces of a
        // long reply.
        if (!self->head_) {
            self->head_ = head_of(request);
        }
        const http_reply head = *self->head_;
        const http_piece_hook hook = self->on_piece_;
        hook(head, piece);
    }

    static void on_done(evhttp_request* request, void* argument) {
        auto* self = static_cast<running_call*>(argument);
        self->request_ = nullptr;
        const http_reply_hook hook = std::exchange(self->on_reply_, {});
        const bool answered = request != nullptr && evhttp_request_get_response_code(request) != 0;
        // evhttp hands the request back without an error only if no connection came about.
        const bool never_sent = request != nullptr && !answered && !self->had_error_;
        if (never_sent) {
            self->free_connection_later();
            hook(failed(error_code::unreachable,
                        "No connection to " + self->pool_->address.to_text() + "."));
            return;
        }
        if (!answered) {
            self->free_connection_later();
            const error_code code = self->problem_ == EVREQ_HTTP_TIMEOUT ? error_code::timed_out
                                                                         : error_code::unavailable;
            hook(failed(code, "No reply from " + self->pool_->address.to_text() + ": " +
                                  error_text(self->problem_) + "."));
            return;
        }
        if (!has_valid_status(request)) {
            self->free_connection_later();
            hook(failed(error_code::unavailable, "The status that " +
                                                     self->pool_->address.to_text() +
                                                     " sent is not one of a reply."));
            return;
        }
        if (!is_framed(request)) {
            self->free_connection_later();
            hook(failed(error_code::unavailable, "The reply of " + self->pool_->address.to_text() +
                                                     " does not say where it ends."));
            return;
        }
        http_reply reply = head_of(request);
        reply.body = drained(evhttp_request_get_input_buffer(request));
        self->pool_->loop.store_traffic().received += reply.body.size();
        const bool cut = self->peer_closes(request);
        if (self->fresh_ || cut) {
            self->free_connection_later();
        } else {
            self->pool_->put_back(std::exchange(self->connection_, nullptr), self->longest_idle_);
        }
        hook(std::move(reply));
    }

    bool peer_closes(evhttp_request* request) const {
        const char* connection =
            evhttp_find_header(evhttp_request_get_input_headers(request), "Connection");
        return connection != nullptr && std::string_view(connection) == "close";
    }

    static http_reply head_of(evhttp_request* request) {
        http_reply head;
        head.status = static_cast<unsigned>(evhttp_request_get_response_code(request));
        const char* type =
            evhttp_find_header(evhttp_request_get_input_headers(request), "Content-Type");
        head.content_type = type == nullptr ? "" : type;
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* header = headers->tqh_first; header != nullptr;
             header = header->next.tqe_next) {
            head.headers.push_back({header->key, header->value});
        }
        return head;
    }

    void fail_later() {
        pool_->loop.call_after(microseconds(0), [this, alive = alive_] {
            if (!*alive) {
                return;
            }
            const http_reply_hook hook = std::exchange(on_reply_, {});
            hook(failed(error_code::unreachable,
                        "No connection to " + pool_->address.to_text() + "."));
        });
    }

    /// evhttp may still be using the connection further up the stack.
    void free_connection_later() {
        evhttp_connection* connection = std::exchange(connection_, nullptr);
        if (connection != nullptr) {
            pool_->loop.call_after(microseconds(0),
                                   [connection] { evhttp_connection_free(connection); });
        }
    }

    std::shared_ptr<pool> pool_;
    http_reply_hook on_reply_;
    http_piece_hook on_piece_;
    bool fresh_;
    microseconds longest_idle_;
    evhttp_connection* connection_;
    evhttp_request* request_ = nullptr;
    evhttp_request_error problem_ = EVREQ_HTTP_BUFFER_ERROR;
    bool had_error_ = false;
    /// Status and headers, set when the first piece of the body arrives.
    std::optional<http_reply> head_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

http_client::http_client(event_loop& loop, http_address address)
    : pool_(std::make_shared<pool>(loop, std::move(address))) {}

http_client::~http_client() = default;

std::unique_ptr<http_call> http_client::send(http_request request, http_reply_hook on_reply,
                                             http_piece_hook on_piece) {
    return std::make_unique<running_call>(pool_, std::move(request), std::move(on_reply),
                                          std::move(on_piece));
}

const http_address& http_client::address() const {
    return pool_->address;
}

}  // namespace wrenswitch
