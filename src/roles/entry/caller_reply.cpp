#include "roles/entry/caller_reply.hpp"

#include <utility>

namespace wrenswitch {
namespace {

/// A caller that leaves so much untaken is cut off.
constexpr std::size_t most_unsent_bytes = 4U * 1024U * 1024U;

}  // namespace

caller_reply::caller_reply(http_exchange_pointer exchange, std::string name, bool streamed,
                           instant arrived, metrics& counters)
    : exchange_(std::move(exchange)),
      name_(std::move(name)),
      streamed_(streamed),
      arrived_(arrived),
      counters_(counters) {}

void caller_reply::add(unsigned status, std::string_view content_type, std::string_view data) {
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
    if (exchange_->unsent_bytes() > most_unsent_bytes) {
        counters_.counter("slow_readers_cut_total") += 1;
        exchange_->cut();
    }
}

void caller_reply::start() {
    if (std::exchange(started_, true)) {
        return;
    }
    counters_.quantiles("first_byte_seconds").observe(as_seconds(monotonic_now() - arrived_));
    exchange_->start_stream(
        status_,
        {{"Content-Type", content_type_}, {"X-Request-Id", name_}, {"Cache-Control", "no-cache"}});
}

void caller_reply::finish() {
    if (streamed_) {
        start();
        exchange_->end_stream();
        return;
    }
    counters_.quantiles("answer_seconds").observe(as_seconds(monotonic_now() - arrived_));
    exchange_->reply(status_, {{"Content-Type", content_type_}, {"X-Request-Id", name_}}, body_);
}

void caller_reply::fail(const api_error& error) {
    if (!started_) {
        error.send(*exchange_, name_);
        return;
    }
    // The caller must see that the answer is not whole: an error event, and no proper end.
    exchange_->send_piece("data: " + error.to_json() + "\n\n");
    exchange_->end_stream();
}

}  // namespace wrenswitch
