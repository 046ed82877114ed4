#pragma once

namespace wrenswitch {

/// HTTP statuses that entries and gateways send or distinguish.
constexpr unsigned status_ok = 200;
constexpr unsigned first_redirection = 300;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_payment_required = 402;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unprocessable = 422;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

}  // namespace wrenswitch
