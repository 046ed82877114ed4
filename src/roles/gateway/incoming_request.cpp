#include "roles/gateway/incoming_request.hpp"

#include <algorithm>

#include "wrenswitch/core/bounded_number.hpp"

namespace wrenswitch {
namespace {

bool is_one_of(std::string_view name, const std::vector<std::string>& names) {
    return std::any_of(names.begin(), names.end(),
                       [name](const std::string& other) { return same_header_name(name, other); });
}

/// A caller that names a longer time waits without a limit of its own.
constexpr std::int64_t max_deadline_ms =
    std::chrono::duration_cast<milliseconds>(max_duration).count();

}  // namespace

result<incoming_request> parse_incoming_request(const message_head& head,
                                                const gateway_dialect& dialect) {
    for (const std::string& name : dialect.single_value_headers) {
        if (head.count(name) > 1) {
            return failed(error_code::bad_input, "The header " + name + " is repeated.");
        }
    }
    incoming_request request;
    request.id = head.header(dialect.request_id);
    if (request.id.empty()) {
        return failed(error_code::bad_input, "The header " + dialect.request_id + " is missing.");
    }
    request.host = head.header("Host");
    request.path = head.target.substr(0, head.target.find('?'));
    request.key = head.header(dialect.key);
    request.last_event = head.header(dialect.last_event);
    request.resumed_request = head.header(dialect.resumed_request);
    const std::string_view deadline = head.header(dialect.deadline_ms);
    if (!deadline.empty()) {
        const std::optional<std::int64_t> parsed = read_bounded(deadline, max_deadline_ms);
        if (!parsed) {
            return failed(error_code::bad_input,
                          "Invalid deadline: " + std::string(deadline) + ".");
        }
        request.deadline = milliseconds(*parsed);
    }
    result<prompt_profile> prompt = dialect.read_prompt(head);
    if (!prompt) {
        return prompt.error();
    }
    request.prompt = std::move(prompt.value());
    return request;
}

std::vector<http_header> forwarded_request_headers(const message_head& head,
                                                   const gateway_dialect& dialect) {
    std::vector<http_header> headers = end_to_end_headers(head);
    for (const std::string& name : dialect.always_forwarded_headers) {
        const bool is_present = std::any_of(
            headers.begin(), headers.end(),
            [&name](const auto& header) { return same_header_name(header.name, name); });
        const std::string_view value = head.header(name);
        if (!is_present && !value.empty()) {
            headers.push_back({name, std::string(value)});
        }
    }
    std::erase_if(headers, [&dialect](const http_header& header) {
        return is_one_of(header.name, dialect.reserved_headers) ||
               same_header_name(header.name, dialect.key) ||
               same_header_name(header.name, dialect.deadline_ms) ||
               same_header_name(header.name, dialect.last_event);
    });
    return headers;
}

std::vector<http_header> caller_response_headers(const message_head& head,
                                                 const gateway_dialect& dialect) {
    std::vector<http_header> headers = end_to_end_headers(head);
    std::erase_if(headers, [&dialect](const http_header& header) {
        return same_header_name(header.name, dialect.load) ||
               same_header_name(header.name, dialect.not_run);
    });
    return headers;
}

}  // namespace wrenswitch
