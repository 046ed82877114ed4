#include "roles/entry/response_writer.hpp"

#include <utility>

namespace wrenswitch {
namespace {

/// A caller with more unsent response data than this is disconnected.
constexpr std::size_t max_unsent_bytes = 4U * 1024U * 1024U;

}  // namespace

response_writer::response_writer(http_exchange_pointer exchange, std::string request_id,
                                 bool streamed, instant arrived, metrics& counters)
    : exchange_(std::move(exchange)),
      request_id_(std::move(request_id)),
      streamed_(streamed),
      arrived_(arrived),
      counters_(counters) {}

void response_writer::add(unsigned status, std::string_view content_type, std::string_view data) {
    if (status != 0) {
        status_ = status;
    }
    if (!content_type.empty()) {
        content_type_ = content_type;
    }
    if (!streamed_) {
        body_.append(data);
        return;
    }
    start();
    exchange_->send_piece(data);
    if (exchange_->unsent_bytes() > max_unsent_bytes) {
        counters_.counter("slow_readers_cut_total") += 1;
        exchange_->cut();
    }
}

void response_writer::start() {
    if (std::exchange(started_, true)) {
        return;
    }
    counters_.quantiles("first_byte_seconds").observe(as_seconds(monotonic_now() - arrived_));
    exchange_->start_stream(status_, {{"Content-Type", content_type_},
                                      {"X-Request-Id", request_id_},
                                      {"Cache-Control", "no-cache"}});
}

void response_writer::finish() {
    if (streamed_) {
        start();
        exchange_->end_stream();
        return;
    }
    counters_.quantiles("answer_seconds").observe(as_seconds(monotonic_now() - arrived_));
    exchange_->reply(status_, {{"Content-Type", content_type_}, {"X-Request-Id", request_id_}},
                     body_);
}

void response_writer::fail(const api_error& error) {
    if (!started_) {
        error.send(*exchange_, request_id_);
        return;
    }
    // The error event tells the caller that the response is incomplete: it replaces the final
    // event.
    exchange_->send_piece("data: " + error.to_json() + "\n\n");
    exchange_->end_stream();
}

}  // namespace wrenswitch
