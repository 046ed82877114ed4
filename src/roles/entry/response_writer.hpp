#pragma once

#include <string>
#include <string_view>

#include "roles/entry/api_error.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// Writes the response to one caller request: forwards each chunk at once if the caller asked for a
/// stream, otherwise sends the buffered body when it is complete. Also sends errors.
class response_writer {
public:
    /// `arrived` is when the request was received; latencies are measured from it. `counters` must
    /// outlive this object.
    response_writer(http_exchange_pointer exchange, std::string request_id, bool streamed,
                    instant arrived, metrics& counters);

    /// True once part of the response was sent, so that the request can no longer be retried.
    bool started() const { return started_; }

    /// Discards the buffered body of an attempt whose response was not sent.
    void discard_unsent() { body_.clear(); }

    /// Adds a chunk of the response. A status of zero or an empty content type keeps the value of
    /// an earlier chunk.
    void add(unsigned status, std::string_view content_type, std::string_view data);

    /// Completes the response.
    void finish();

    /// Sends an error response, or an error event if the response has already started.
    void fail(const api_error& error);

private:
    void start();

    http_exchange_pointer exchange_;
    std::string request_id_;
    bool streamed_;
    instant arrived_;
    metrics& counters_;
    unsigned status_ = 200;
    std::string content_type_ = "application/json";
    std::string body_;
    bool started_ = false;
};

}  // namespace wrenswitch
