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

/// Tells keepers how runs fare: news wait a little for company, since each message costs as much as
/// many of them.
class run_news_sender {
public:
    /// All that is referred to must outlive the sender.
    run_news_sender(event_loop& loop, message_bus& bus, metrics& counters);
    ~run_news_sender();
    run_news_sender(const run_news_sender&) = delete;
    run_news_sender& operator=(const run_news_sender&) = delete;

    /// Puts news into the batch for a keeper.
    void tell(const std::string& endpoint, const wire::RunNews& news);

private:
    void send();

    event_loop& loop_;
    message_bus& bus_;
    metrics& counters_;
    /// What keepers are to be told, by where they are reached.
    std::map<std::string, std::unique_ptr<wire::RunNewsBatch>> news_;
    bool sending_planned_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
