#include "roles/gateway/attempt_update_sender.hpp"

#include <bus.pb.h>

#include <utility>

namespace wrenswitch {
namespace {

/// How long updates are collected before they are sent; a fraction of the prefill time of a typical
/// prompt.
constexpr microseconds batch_delay = milliseconds(20);

}  // namespace

attempt_update_sender::attempt_update_sender(event_loop& loop, message_bus& bus, metrics& counters)
    : loop_(loop), bus_(bus), counters_(counters) {}

attempt_update_sender::~attempt_update_sender() {
    *alive_ = false;
}

void attempt_update_sender::enqueue(const std::string& endpoint, const wire::RunNews& update) {
    std::unique_ptr<wire::RunNewsBatch>& batch = batches_[endpoint];
    if (!batch) {
        batch = std::make_unique<wire::RunNewsBatch>();
    }
    *batch->add_runs() = update;
    if (std::exchange(send_scheduled_, true)) {
        return;
    }
    loop_.call_after(batch_delay, [this, alive = alive_] {
        if (*alive) {
            send();
        }
    });
}

void attempt_update_sender::send() {
    send_scheduled_ = false;
    for (const auto& [endpoint, batch] : std::exchange(batches_, {})) {
        wire::Envelope message;
        message.mutable_run_news()->Swap(batch.get());
        bus_.send(endpoint, message);
        counters_.counter("run_news_batches_total") += 1;
    }
}

}  // namespace wrenswitch
