#pragma once

#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wrenswitch/decision/ingress/intake_memory.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// evhtp takes hooks of every signature as one type and casts them back.
template <typename Function>
evhtp_hook as_evhtp_hook(Function function) {
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

/// The callbacks of a bufferevent.
struct stream_callbacks {
    bufferevent_data_cb readable = nullptr;
    bufferevent_data_cb written = nullptr;
    bufferevent_event_cb event = nullptr;
    void* argument = nullptr;
};

/// What one connection of an evhtp server takes in: bounds its head and its body, and keeps its
/// claims. Bodies are taken out of evhtp's buffers as they come, since those keep a block of a
/// kilobyte for each piece.
class evhtp_intake : public std::enable_shared_from_this<evhtp_intake> {
public:
    evhtp_intake(event_loop& loop, const http_server_settings& settings,
                 std::shared_ptr<intake_memory> memory, evhtp_connection_t* connection);
    evhtp_intake(const evhtp_intake&) = delete;
    evhtp_intake& operator=(const evhtp_intake&) = delete;

    /// Begins to take in. False if there is no memory for the connection.
    bool start(std::size_t receive_buffer_bytes);

    /// True once a request was refused: what still comes of it is dropped.
    bool refused() const { return refused_; }

    /// The body of the request that is complete, and the claim to it. Until `end_exchange`, what
    /// the peer sends ahead is bounded.
    std::string begin_exchange(std::unique_ptr<intake_claim>& claim);
    void end_exchange();

    /// To be called when evhtp frees the connection.
    void connection_ended();

private:
    static evhtp_res on_header(evhtp_request_t*, evhtp_header_t* header, void* self);
    static evhtp_res on_headers(evhtp_request_t*, evhtp_headers_t* headers, void* self);
    static evhtp_res on_body(evhtp_request_t*, evbuffer* piece, void* self);
    static void on_read_ahead(bufferevent*, void* self);
    static void on_written_ahead(bufferevent* stream, void* self);
    static void on_event_ahead(bufferevent* stream, short what, void* self);
    static void on_dropped_read(bufferevent* stream, void* self);
    static void on_dropped_event(bufferevent*, short what, void* self);

    bufferevent* stream() const { return connection_->bev; }
    void begin_request();
    void take_header(const evhtp_header_t& header);
    void check_head(evhtp_headers_t& headers);
    void take_body(evbuffer* piece);
    bool hold_request();
    void refuse(unsigned status, std::string_view code, std::string_view message);
    void refuse_for_shortage();
    void give_way(intake_shortage shortage);
    void read_ahead();
    void finish_writing(microseconds left);
    void close_if_written();
    void close();

    event_loop& loop_;
    const http_server_settings& settings_;
    std::shared_ptr<intake_memory> memory_;
    /// Null once evhtp has freed it.
    evhtp_connection_t* connection_;
    std::optional<intake_claim> claim_;
    std::unique_ptr<intake_claim> request_claim_;
    std::size_t header_text_bytes_ = 0;
    std::size_t header_count_ = 0;
    std::size_t announced_bytes_ = 0;
    std::string body_;
    bool refused_ = false;

    /// evhtp's own callbacks while others stand in for them.
    std::optional<stream_callbacks> evhtp_callbacks_;
};

}  // namespace wrenswitch
