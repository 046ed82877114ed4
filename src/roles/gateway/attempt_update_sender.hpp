#pragma once

#include <map>
#include <memory>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch::wire {
class RunNews;
class RunNewsBatch;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// Sends coordinators updates on the progress of attempts. Updates are batched for a short time,
/// since one message costs as much as many updates.
class attempt_update_sender {
public:
    /// All references must outlive the sender.
    attempt_update_sender(event_loop& loop, message_bus& bus, metrics& counters);
    ~attempt_update_sender();
    attempt_update_sender(const attempt_update_sender&) = delete;
    attempt_update_sender& operator=(const attempt_update_sender&) = delete;

    /// Adds an update to the batch for the coordinator at this endpoint.
    void enqueue(const std::string& endpoint, const wire::RunNews& update);

private:
    void send();

    event_loop& loop_;
    message_bus& bus_;
    metrics& counters_;
    /// The batches to be sent, by endpoint of the coordinator.
    std::map<std::string, std::unique_ptr<wire::RunNewsBatch>> batches_;
    bool send_scheduled_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
