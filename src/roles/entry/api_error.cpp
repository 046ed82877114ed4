#include "roles/entry/api_error.hpp"

#include <nlohmann/json.hpp>

namespace wrenswitch {
namespace {

constexpr unsigned min_server_error_status = 500;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_payment_required = 402;
constexpr unsigned status_too_many_requests = 429;

std::string_view error_type(unsigned status) {
    if (status == status_unauthorized) {
        return "authentication_error";
    }
    if (status == status_payment_required || status == status_too_many_requests) {
        return "insufficient_quota";
    }
    return status >= min_server_error_status ? "server_error" : "invalid_request_error";
}

}  // namespace

std::string api_error::to_json() const {
    const nlohmann::json body = {
        {"error",
         {{"message", message},
          {"type", error_type(status)},
          {"code", code},
          {"param", nullptr},
          {"ran", execution == execution_status::not_run ? "not_run" : "unknown"}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void api_error::send(http_exchange& exchange, std::string_view request_id) const {
    std::vector<http_header> headers{{"Content-Type", "application/json"},
                                     {"X-Request-Id", std::string(request_id)}};
    if (retry_after > microseconds(0)) {
        const auto whole_seconds = std::chrono::ceil<seconds>(retry_after).count();
        headers.push_back({"Retry-After", std::to_string(whole_seconds)});
    }
    exchange.reply(status, headers, to_json());
}

}  // namespace wrenswitch
