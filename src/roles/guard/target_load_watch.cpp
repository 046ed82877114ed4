#include "roles/guard/target_load_watch.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace wrenswitch {

void target_load_watch::poll() {
    if (call_ != nullptr) {
        return;
    }
    http_request request;
    request.target = "/load";
    request.timeout = seconds(1);
    call_ = target_.send(std::move(request), [this](const result<http_reply>& reply) {
        // The call is still on the stack.
        loop_.call_after(microseconds(0), [this] { call_.reset(); });
        take_in(reply);
    });
}

void target_load_watch::take_in(const result<http_reply>& reply) {
    if (!reply) {
        last_ = {};
        return;
    }
    const auto parsed = nlohmann::json::parse(reply.value().body, nullptr, false);
    if (parsed.is_object()) {
        last_.batch = parsed.value("batch", -1.0);
        last_.queue = parsed.value("queue", -1.0);
        last_.memory = parsed.value("memory", -1.0);
    }
}

}  // namespace wrenswitch
