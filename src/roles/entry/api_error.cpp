#include "roles/entry/api_error.hpp"

#include <nlohmann/json.hpp>

namespace wrenswitch {
namespace {

constexpr unsigned first_server_status = 500;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_payment_required = 402;
constexpr unsigned status_too_many = 429;

std::string_view type_of(unsigned status) {
    if (status == status_unauthorized) {
        return "authentication_error";
    }
    if (status == status_payment_required || status == status_too_many) {
        return "insufficient_quota";
    }
    return status >= first_server_status ? "server_error" : "invalid_request_error";
}

}  // namespace

std::string api_error::to_json() const {
    const nlohmann::json body = {
        {"error",
         {{"message", message},
          {"type", type_of(status)},
          {"code", code},
          {"param", nullptr},
          {"ran", fate == request_fate::not_run ? "not_run" : "unknown"}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void api_error::send(http_exchange& exchange, std::string_view request_name) const {
    std::vector<http_header> headers{{"Content-Type", "application/json"},
                                     {"X-Request-Id", std::string(request_name)}};
    if (retry_after > microseconds(0)) {
        const auto whole = std::chrono::ceil<seconds>(retry_after).count();
        headers.push_back({"Retry-After", std::to_string(whole)});
    }
    exchange.reply(status, headers, to_json());
}

}  // namespace wrenswitch
