#include "wrenswitch/drivers/ingress_server.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <unordered_map>

#include "drivers/ingress_connection.hpp"
#include "drivers/listener.hpp"

namespace wrenswitch {
namespace {

constexpr int listen_backlog = 1024;

std::shared_ptr<intake_memory> intake_of(const ingress_options& options) {
    return options.intake ? options.intake : std::make_shared<intake_memory>(intake_settings{});
}

class libevent_ingress final : public ingress_server {
public:
    libevent_ingress(event_loop& loop, ingress_limits_source limits, ingress_handler handler,
                     ingress_options options)
        : context_{loop,
                   std::move(limits),
                   std::move(handler),
                   [this](ingress_connection* gone) { forget(gone); },
                   std::move(options.on_head),
                   intake_of(options),
                   std::move(options.refuse_for_shortage)},
          max_receive_buffer_(options.receive_buffer_bytes) {}

    ~libevent_ingress() override {
        if (listener_ != nullptr) {
            evconnlistener_free(listener_);
        }
    }
    libevent_ingress(const libevent_ingress&) = delete;
    libevent_ingress& operator=(const libevent_ingress&) = delete;

    result<void> bind(const std::string& host, std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
            return failed(error_code::bad_input, "Not an IPv4 address: " + host + ".");
        }
        listener_ = evconnlistener_new_bind(
            context_.loop.base(), &on_accept, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
            reinterpret_cast<sockaddr*>(&address), sizeof address);
        if (listener_ == nullptr) {
            return failed(error_code::unavailable,
                          "Address " + host + ":" + std::to_string(port) + " cannot be bound.");
        }
        receive_buffer_.start(evconnlistener_get_fd(listener_));
        offer_receive_buffer();
        sockaddr_in bound{};
        socklen_t length = sizeof bound;
        ::getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound),
                      &length);
        port_ = ntohs(bound.sin_port);
        return outcome::success();
    }

    std::uint16_t port() const override { return port_; }
    std::size_t connections() const override { return connections_.size(); }

    std::size_t busy_connections() const override {
        return static_cast<std::size_t>(
            std::count_if(connections_.begin(), connections_.end(),
                          [](const auto& item) { return item.second->is_busy(); }));
    }

    void refuse_unread(const head_decision& refusal) override {
        const auto open = connections_;
        for (const auto& [key, connection] : open) {
            connection->refuse_unread(refusal);
        }
    }

    void begin_drain() override { context_.draining = true; }

    void shed(bool sheds) override {
        context_.sheds = sheds;
        if (sheds) {
            close_idle();
        }
    }

    void close_account(std::string_view account, bool closes) override {
        if (!closes) {
            const auto closing = context_.closing_accounts.find(account);
            if (closing != context_.closing_accounts.end()) {
                context_.closing_accounts.erase(closing);
            }
            return;
        }
        context_.closing_accounts.emplace(account);
        const auto open = connections_;
        for (const auto& [key, connection] : open) {
            if (connection->account() == account && connection->close_if_idle() &&
                context_.on_account_closed) {
                context_.on_account_closed(account);
            }
        }
    }

    void on_account_closed(std::function<void(std::string_view)> action) override {
        context_.on_account_closed = std::move(action);
    }

    void stop_listening() override {
        context_.draining = true;
        if (listener_ != nullptr) {
            accepting_.cancel();
            evconnlistener_free(std::exchange(listener_, nullptr));
        }
        close_idle();
    }

private:
    void offer_receive_buffer() {
        const std::size_t offered = context_.intake->next_receive_buffer();
        receive_buffer_.offer(
            evconnlistener_get_fd(listener_),
            max_receive_buffer_ > 0 ? std::min(offered, max_receive_buffer_) : offered);
    }

    void close_idle() {
        const auto open = connections_;
        for (const auto& [key, connection] : open) {
            connection->close_if_idle();
        }
    }

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<libevent_ingress*>(self)->accept(socket);
    }

    void accept(evutil_socket_t socket) {
        if (!context_.intake->make_room_for_connection(monotonic_now())) {
            ::close(socket);
            return;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        bufferevent* stream =
            bufferevent_socket_new(context_.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        auto connection = std::make_shared<ingress_connection>(context_, stream);
        connections_.emplace(connection.get(), connection);
        connection->start(receive_buffer_.bytes());
        offer_receive_buffer();
        if (context_.intake->is_full()) {
            accepting_.pause(context_.loop, listener_);
        }
    }

    /// The connection may still be on the stack, so it is destroyed a turn later.
    void forget(ingress_connection* gone) {
        const auto found = connections_.find(gone);
        if (found == connections_.end()) {
            return;
        }
        const std::shared_ptr<ingress_connection> kept = std::move(found->second);
        connections_.erase(found);
        context_.loop.call_after(microseconds(0), [kept] {});
    }

    ingress_context context_;
    /// The most that a receive buffer may have; zero for no bound of the options.
    std::size_t max_receive_buffer_;
    listener_buffer receive_buffer_;
    accept_pause accepting_;
    std::unordered_map<ingress_connection*, std::shared_ptr<ingress_connection>> connections_;
    evconnlistener* listener_ = nullptr;
    std::uint16_t port_ = 0;
};

}  // namespace

result<std::unique_ptr<ingress_server>> ingress_server::start(
    event_loop& loop, const std::string& host, std::uint16_t port, ingress_limits_source limits,
    ingress_handler handler, ingress_options options) {
    auto server = std::make_unique<libevent_ingress>(loop, std::move(limits), std::move(handler),
                                                     std::move(options));
    const result<void> bound = server->bind(host, port);
    if (!bound) {
        return bound.error();
    }
    return std::unique_ptr<ingress_server>(std::move(server));
}

}  // namespace wrenswitch
