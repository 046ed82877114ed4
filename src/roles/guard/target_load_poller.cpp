#include "roles/guard/target_load_poller.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "wrenswitch/core/bounded_number.hpp"

namespace wrenswitch {
namespace {

/// A report takes less. A target that goes on for longer, byte by byte, is not waited for.
constexpr microseconds max_report_time = seconds(1);
constexpr std::size_t max_report_bytes = 64U * 1024U;

/// Greater values are damage.
constexpr double max_load_value = 1e9;

/// A value of the report, or -1 if it isn't given or no number.
double read_value(const nlohmann::json& report, const char* name) {
    const auto found = report.find(name);
    const bool is_given = found != report.end() && found->is_number();
    return is_given ? to_bounded_number(found->get<double>(), -1.0, max_load_value) : -1.0;
}

}  // namespace

void target_load_poller::poll() {
    if (call_ != nullptr) {
        if (monotonic_now() - sent_at_ > max_report_time) {
            call_.reset();
            latest_ = {};
        }
        return;
    }
    sent_at_ = monotonic_now();
    http_request request;
    request.target = "/load";
    request.timeout = max_report_time;
    request.max_reply_bytes = max_report_bytes;
    call_ = target_.send(std::move(request), [this](const result<http_reply>& reply) {
        // The callback is running inside the call, so the call is destroyed later.
        loop_.call_after(microseconds(0), [done = std::shared_ptr<http_call>(std::move(call_))] {});
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
        latest_.batch = read_value(parsed, "batch");
        latest_.queue = read_value(parsed, "queue");
        latest_.memory = read_value(parsed, "memory");
    }
}

}  // namespace wrenswitch
