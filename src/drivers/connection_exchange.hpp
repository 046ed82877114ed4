#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/ingress_connection.hpp"
#include "drivers/status_reason.hpp"

namespace wrenswitch {

/// One request of a connection. It outlives the connection if its owner holds on to it.
class connection_exchange final : public ingress_exchange {
public:
    connection_exchange(std::shared_ptr<ingress_connection> connection, message_head head,
                        std::string body, std::unique_ptr<intake_claim> claim)
        : connection_(std::move(connection)),
          head_(std::move(head)),
          body_(std::move(body)),
          claim_(std::move(claim)),
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
    /// For the head and the body.
    std::unique_ptr<intake_claim> claim_;
    instant received_;
    microseconds waited_;
    bool ended_ = false;
};

}  // namespace wrenswitch
