#include "wrenswitch/drivers/http_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>

#include "drivers/evhtp_intake.hpp"
#include "drivers/listener.hpp"
#include "drivers/socket_queue.hpp"

namespace wrenswitch {
namespace {

constexpr int listen_backlog = 1024;

using buffer_pointer = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

buffer_pointer buffer_of(std::string_view bytes) {
    buffer_pointer buffer(evbuffer_new(), &evbuffer_free);
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    return buffer;
}

std::string unescaped(std::string_view text) {
    std::string out;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool escape = text[index] == '%' && index + 2 < text.size() &&
                            std::isxdigit(static_cast<unsigned char>(text[index + 1])) != 0 &&
                            std::isxdigit(static_cast<unsigned char>(text[index + 2])) != 0;
        if (!escape) {
            out.push_back(text[index] == '+' ? ' ' : text[index]);
            continue;
        }
        constexpr int hexadecimal = 16;
        out.push_back(static_cast<char>(
            std::stoi(std::string(text.substr(index + 1, 2)), nullptr, hexadecimal)));
        index += 2;
    }
    return out;
}

class evhtp_exchange final : public http_exchange,
                             public std::enable_shared_from_this<evhtp_exchange> {
public:
    evhtp_exchange(evhtp_request_t* request, std::shared_ptr<evhtp_intake> intake)
        : intake_(std::move(intake)), request_(request) {
        method_ = htparser_get_methodstr(request->conn->parser);
        path_ = request->uri->path->full == nullptr ? "/" : request->uri->path->full;
        if (request->uri->query_raw != nullptr) {
            query_ = reinterpret_cast<const char*>(request->uri->query_raw);
        }
        body_ = intake_->begin_exchange(claim_);
        evhtp_header_t* header = nullptr;
        TAILQ_FOREACH(header, request->headers_in, next) {
            headers_.push_back(
                {std::string(header->key, header->klen), std::string(header->val, header->vlen)});
        }
    }

    /// Pauses evhtp's handling, so that a reply may come later, and keeps watch on the peer.
    void hold() {
        keep_alive_ = shared_from_this();
        evhtp_request_set_hook(request_, evhtp_hook_on_request_fini,
                               as_evhtp_hook(&evhtp_exchange::on_finished), this);
        evhtp_connection_set_hook(request_->conn, evhtp_hook_on_event,
                                  as_evhtp_hook(&evhtp_exchange::on_event), this);
        evhtp_request_pause(request_);
        // A pause stops all reading, which would hide that the peer went away.
        bufferevent_enable(request_->conn->bev, EV_READ);
    }

    std::string_view method() const override { return method_; }
    std::string_view path() const override { return path_; }
    std::string_view body() const override { return body_; }
    std::string take_body() override { return std::move(body_); }

    std::string query(std::string_view name) const override {
        std::string_view rest = query_;
        while (!rest.empty()) {
            const std::string_view pair = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
                return unescaped(pair.substr(equals + 1));
            }
        }
        return {};
    }

    std::string_view header(std::string_view name) const override {
        for (const http_header& item : headers_) {
            const bool same = std::equal(item.name.begin(), item.name.end(), name.begin(),
                                         name.end(), [](unsigned char left, unsigned char right) {
                                             return std::tolower(left) == std::tolower(right);
                                         });
            if (same) {
                return item.value;
            }
        }
        return {};
    }

    void reply(unsigned status, const std::vector<http_header>& headers,
               std::string_view body) override {
        if (request_ == nullptr || answered_) {
            return;
        }
        answered_ = true;
        add_headers(headers);
        const std::string length = std::to_string(body.size());
        evhtp_headers_add_header(request_->headers_out,
                                 evhtp_header_new("Content-Length", length.c_str(), 1, 1));
        const buffer_pointer bytes = buffer_of(body);
        evbuffer_add_buffer(request_->buffer_out, bytes.get());
        evhtp_send_reply(request_, static_cast<evhtp_res>(status));
        finish();
    }

    void start_stream(unsigned status, const std::vector<http_header>& headers) override {
        if (request_ == nullptr || answered_) {
            return;
        }
        answered_ = true;
        add_headers(headers);
        evhtp_send_reply_chunk_start(request_, static_cast<evhtp_res>(status));
    }

    void send_piece(std::string_view piece) override {
        if (request_ == nullptr || piece.empty()) {
            return;
        }
        const buffer_pointer bytes = buffer_of(piece);
        evhtp_send_reply_chunk(request_, bytes.get());
    }

    void end_stream() override {
        if (request_ == nullptr) {
            return;
        }
        evhtp_send_reply_chunk_end(request_);
        finish();
    }

    void cut() override {
        if (request_ != nullptr) {
            shutdown(bufferevent_getfd(request_->conn->bev), SHUT_RDWR);
        }
    }

    std::size_t unsent_bytes() const override {
        if (request_ == nullptr) {
            return 0;
        }
        return evbuffer_get_length(bufferevent_get_output(request_->conn->bev));
    }

    bool closed() const override { return request_ == nullptr; }

    void on_closed(std::function<void()> action) override { on_closed_ = std::move(action); }

private:
    static evhtp_res on_finished(evhtp_request_t*, void* argument) {
        auto* self = static_cast<evhtp_exchange*>(argument);
        const std::shared_ptr<evhtp_exchange> alive = std::move(self->keep_alive_);
        self->detach();
        return EVHTP_RES_OK;
    }

    static void on_event(evhtp_connection_t* connection, short events, void* argument) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
            return;
        }
        evhtp_connection_unset_hook(connection, evhtp_hook_on_event);
        auto* self = static_cast<evhtp_exchange*>(argument);
        const std::shared_ptr<evhtp_exchange> alive = self->keep_alive_;
        if (alive == nullptr || self->request_ == nullptr || self->finished_) {
            return;
        }
        // evhtp frees a paused connection only once it is resumed.
        evhtp_request_t* request = self->request_;
        self->intake_->end_exchange();
        self->detach();
        evhtp_request_resume(request);
    }

    void detach() {
        request_ = nullptr;
        const auto action = std::exchange(on_closed_, {});
        if (action && !finished_) {
            action();
        }
    }

    void finish() {
        finished_ = true;
        evhtp_connection_unset_hook(request_->conn, evhtp_hook_on_event);
        evhtp_request_t* request = request_;
        request_ = nullptr;
        intake_->end_exchange();
        evhtp_request_resume(request);
    }

    void add_headers(const std::vector<http_header>& headers) {
        for (const http_header& item : headers) {
            evhtp_headers_add_header(request_->headers_out,
                                     evhtp_header_new(item.name.c_str(), item.value.c_str(), 1, 1));
        }
    }

    std::shared_ptr<evhtp_intake> intake_;
    /// For the head and the body.
    std::unique_ptr<intake_claim> claim_;
    evhtp_request_t* request_;
    std::string method_;
    std::string path_;
    std::string query_;
    std::string body_;
    std::vector<http_header> headers_;
    std::function<void()> on_closed_;
    std::shared_ptr<evhtp_exchange> keep_alive_;
    bool answered_ = false;
    bool finished_ = false;
};

class evhtp_server final : public http_server {
public:
    evhtp_server(event_loop& loop, const http_server_settings& settings, http_handler handler,
                 std::shared_ptr<intake_memory> memory)
        : loop_(loop),
          handler_(std::move(handler)),
          settings_(settings),
          memory_(memory ? std::move(memory) : std::make_shared<intake_memory>(intake_settings{})),
          server_(evhtp_new(loop.base(), nullptr)) {
        evhtp_set_gencb(server_, &evhtp_server::on_request, this);
        evhtp_set_post_accept_cb(server_, &evhtp_server::on_accept, this);
        evhtp_enable_flag(server_, EVHTP_FLAG_ENABLE_NODELAY);
    }

    ~evhtp_server() override {
        *alive_ = false;
        stop_listening();
        evhtp_free(server_);
    }
    evhtp_server(const evhtp_server&) = delete;
    evhtp_server& operator=(const evhtp_server&) = delete;

    result<void> bind() {
        const bool with_tls = !settings_.certificate_file.empty();
        if (with_tls) {
            tls_.pemfile = settings_.certificate_file.data();
            tls_.privfile = settings_.private_key_file.data();
            if (evhtp_ssl_init(server_, &tls_) != 0) {
                return failed(error_code::bad_input, "TLS cannot be set up with certificate " +
                                                         settings_.certificate_file + ".");
            }
        }
        const int bound =
            evhtp_bind_socket(server_, settings_.address.c_str(), settings_.port, listen_backlog);
        if (bound != 0) {
            return failed(error_code::unavailable, "Address " + settings_.address + ":" +
                                                       std::to_string(settings_.port) +
                                                       " cannot be bound.");
        }
        receive_buffer_.start(evconnlistener_get_fd(server_->server));
        offer_receive_buffer();
        listening_ = true;
        return outcome::success();
    }

    std::uint16_t port() const override {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(server_->server), reinterpret_cast<sockaddr*>(&address),
                    &length);
        return ntohs(address.sin_port);
    }

    void stop_listening() override {
        if (std::exchange(listening_, false)) {
            accepting_.cancel();
            evhtp_unbind_socket(server_);
        }
    }

    std::size_t undelivered_connections() const override {
        return static_cast<std::size_t>(
            std::count_if(connections_.begin(), connections_.end(), [](const auto& item) {
                bufferevent* stream = item.first->bev;
                return stream != nullptr &&
                       (evbuffer_get_length(bufferevent_get_output(stream)) > 0 ||
                        unacknowledged_in_kernel(bufferevent_getfd(stream)) > 0);
            }));
    }

private:
    void offer_receive_buffer() {
        receive_buffer_.offer(evconnlistener_get_fd(server_->server),
                              memory_->next_receive_buffer());
    }

    static void on_request(evhtp_request_t* request, void* argument) {
        auto* self = static_cast<evhtp_server*>(argument);
        const auto found = self->connections_.find(request->conn);
        if (found == self->connections_.end() || found->second->refused()) {
            return;
        }
        const auto exchange = std::make_shared<evhtp_exchange>(request, found->second);
        exchange->hold();
        // evhtp drops a connection whose reply begins while the request is still being parsed.
        self->loop_.call_after(microseconds(0), [alive = self->alive_, self, exchange] {
            if (*alive && !exchange->closed()) {
                self->handler_(exchange);
            }
        });
    }

    static evhtp_res on_accept(evhtp_connection_t* connection, void* argument) {
        const int yes = 1;
        setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                                  as_evhtp_hook(&evhtp_server::on_connection_end), argument);
        auto* self = static_cast<evhtp_server*>(argument);
        auto intake =
            std::make_shared<evhtp_intake>(self->loop_, self->settings_, self->memory_, connection);
        if (!intake->start(self->receive_buffer_.bytes())) {
            return EVHTP_RES_ERROR;
        }
        self->connections_.emplace(connection, std::move(intake));
        self->offer_receive_buffer();
        if (self->memory_->is_full()) {
            self->accepting_.pause(self->loop_, self->server_->server);
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res on_connection_end(evhtp_connection_t* connection, void* argument) {
        auto found = static_cast<evhtp_server*>(argument)->connections_.extract(connection);
        if (!found.empty()) {
            found.mapped()->connection_ended();
        }
        return EVHTP_RES_OK;
    }

    event_loop& loop_;
    http_handler handler_;
    http_server_settings settings_;
    std::shared_ptr<intake_memory> memory_;
    evhtp_ssl_cfg_t tls_{};
    evhtp_t* server_;
    std::unordered_map<evhtp_connection_t*, std::shared_ptr<evhtp_intake>> connections_;
    listener_buffer receive_buffer_;
    accept_pause accepting_;
    bool listening_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

result<std::unique_ptr<http_server>> http_server::start(event_loop& loop,
                                                        const http_server_settings& settings,
                                                        http_handler handler,
                                                        std::shared_ptr<intake_memory> memory) {
    auto server =
        std::make_unique<evhtp_server>(loop, settings, std::move(handler), std::move(memory));
    const result<void> bound = server->bind();
    if (!bound) {
        return bound.error();
    }
    return std::unique_ptr<http_server>(std::move(server));
}

}  // namespace wrenswitch
