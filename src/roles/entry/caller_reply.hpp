#pragma once

#include <string>
#include <string_view>

#include "roles/entry/api_error.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// What a caller gets for one request: pieces as they come if it asked for a stream, else the whole
/// answer at its end, or an error.
class caller_reply {
public:
    /// `name` is the request's, `arrived` when it came. The metrics must outlive this.
    caller_reply(http_exchange_pointer exchange, std::string name, bool streamed, instant arrived,
                 metrics& counters);

    /// True once the caller has got something, so that another run can't answer it.
    bool started() const { return started_; }

    /// Drops what came of an answer that the caller has got nothing of.
    void restart() { body_.clear(); }

    /// A piece of the answer; its type may come with the first only.
    void add(unsigned status, std::string_view content_type, std::string_view data);

    /// The answer is whole.
    void finish();

    /// There is no answer, or no more of it.
    void fail(const api_error& error);

private:
    void start();

    http_exchange_pointer exchange_;
    std::string name_;
    bool streamed_;
    instant arrived_;
    metrics& counters_;
    unsigned status_ = 200;
    std::string content_type_ = "application/json";
    std::string body_;
    bool started_ = false;
};

}  // namespace wrenswitch
