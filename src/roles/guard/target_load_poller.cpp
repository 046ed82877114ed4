#include "roles/guard/target_load_poller.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace wrenswitch {

void target_load_poller::poll() {
    if (call_ != nullptr) {
        return;
    }
    http_request request;
    request.target = "/load";
    request.timeout = seconds(1);
    call_ = target_.send(std::move(request), [this](const result<http_reply>& reply) {
        // The callback is running inside the call, so the call is destroyed later.
        loop_.call_after(microseconds(0), [this] { call_.reset(); });
        update_load(reply);
    });
}

void target_load_poller::update_load(const result<http_reply>& reply) {
    if (!reply) {
        latest_ = {};
        return;
    }
    const auto parsed = nlohmann::json::parse(reply.value().body, nullptr, false);
    if (parsed.is_object()) {
        latest_.batch = parsed.value("batch", -1.0);
        latest_.queue = parsed.value("queue", -1.0);
        latest_.memory = parsed.value("memory", -1.0);
    }
}

}  // namespace wrenswitch
