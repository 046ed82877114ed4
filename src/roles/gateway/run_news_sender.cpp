#include "roles/gateway/run_news_sender.hpp"

#include <bus.pb.h>

#include <utility>

namespace wrenswitch {
namespace {

/// News of runs wait this long for company: a part of what reading a usual prompt takes.
constexpr microseconds news_wait = milliseconds(20);

}  // namespace

run_news_sender::run_news_sender(event_loop& loop, message_bus& bus, metrics& counters)
    : loop_(loop), bus_(bus), counters_(counters) {}

run_news_sender::~run_news_sender() {
    *alive_ = false;
}

void run_news_sender::tell(const std::string& endpoint, const wire::RunNews& news) {
    std::unique_ptr<wire::RunNewsBatch>& batch = news_[endpoint];
    if (!batch) {
        batch = std::make_unique<wire::RunNewsBatch>();
    }
    *batch->add_runs() = news;
    if (std::exchange(sending_planned_, true)) {
        return;
    }
    loop_.call_after(news_wait, [this, alive = alive_] {
        if (*alive) {
            send();
        }
    });
}

void run_news_sender::send() {
    sending_planned_ = false;
    for (const auto& [endpoint, batch] : std::exchange(news_, {})) {
        wire::Envelope message;
        message.mutable_run_news()->Swap(batch.get());
        bus_.send(endpoint, message);
        counters_.counter("run_news_batches_total") += 1;
    }
}

}  // namespace wrenswitch
