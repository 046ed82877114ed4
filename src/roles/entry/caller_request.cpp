#include "roles/entry/caller_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace wrenswitch {
namespace {

using nlohmann::json;

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::size_t cache_prefix_bytes = 256;
constexpr std::size_t max_key_length = 255;

/// Tokens that a chat template may add to each message for its role and delimiters.
constexpr tokens message_overhead_tokens = 16;
constexpr tokens default_max_tokens = 256;
constexpr tokens max_tokens_limit = 1'000'000;
constexpr std::int64_t max_deadline_ms = 86'400'000;
constexpr int max_json_depth = 64;

api_error bad_request(std::string code, std::string message) {
    return {400, std::move(code), std::move(message), execution_status::not_run, microseconds(0)};
}

/// Parses an optional header that must be an integer from `min` to `max`.
result<std::optional<std::int64_t>> parse_integer_header(const http_exchange& exchange,
                                                         std::string_view name, std::int64_t min,
                                                         std::int64_t max) {
    const std::string_view text = exchange.header(name);
    if (text.empty()) {
        return std::optional<std::int64_t>();
    }
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid =
        problem == std::errc{} && end == text.data() + text.size() && value >= min && value <= max;
    if (!valid) {
        return failed(error_code::bad_input,
                      "Header " + std::string(name) + ": found \"" + std::string(text) +
                          "\"; allowed: a whole number from " + std::to_string(min) + " to " +
                          std::to_string(max) + ".");
    }
    return std::optional<std::int64_t>(value);
}

/// Returns the texts of a validated prompt, from either /prompt or /messages.
std::vector<std::string_view> extract_prompt_texts(const json& body, bool chat) {
    std::vector<std::string_view> texts;
    if (!chat) {
        texts.emplace_back(body.at("prompt").get_ref<const std::string&>());
        return texts;
    }
    for (const json& message : body.at("messages")) {
        texts.emplace_back(message.at("content").get_ref<const std::string&>());
    }
    return texts;
}

std::optional<api_error> check_prompt(const json& body, bool chat) {
    if (!chat) {
        if (!body.contains("prompt") || !body["prompt"].is_string()) {
            return bad_request("bad_prompt", "/prompt: found nothing usable; allowed: a text.");
        }
        return std::nullopt;
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return bad_request("bad_messages",
                           "/messages: found nothing usable; allowed: a list of messages.");
    }
    std::size_t index = 0;
    for (const json& message : body["messages"]) {
        const bool valid = message.is_object() && message.contains("content") &&
                           message["content"].is_string() && message.contains("role") &&
                           message["role"].is_string();
        if (!valid) {
            return bad_request("bad_messages",
                               "/messages/" + std::to_string(index) +
                                   ": allowed: an object with a role and a content, both texts.");
        }
        ++index;
    }
    return std::nullopt;
}

/// Parses a text, whose values are then handled by recursion. Those of a level that is too deep are
/// left out.
json parse_bounded(const std::string& text, bool& too_deep) {
    const auto is_kept = [&too_deep](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_json_depth;
        return depth <= max_json_depth;
    };
    return json::parse(text, is_kept, false);
}

/// Parses the body of a completion request into `request`.
std::optional<api_error> parse_completion(http_exchange& exchange, const configuration& config,
                                          caller_request& request) {
    const bool chat = exchange.path() == "/v1/chat/completions";
    bool too_deep = false;
    json body = parse_bounded(exchange.take_body(), too_deep);
    if (too_deep) {
        return bad_request("bad_json", "The body is nested too deeply.");
    }
    if (!body.is_object()) {
        return bad_request("bad_json", "The body is not a JSON object.");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return bad_request("bad_model", "/model: found nothing usable; allowed: a model's name.");
    }
    request.service = body["model"].get<std::string>();
    const service* known_service = config.find_service(request.service);
    if (known_service == nullptr || !known_service->model) {
        api_error error =
            bad_request("model_not_found", "There is no model " + request.service + ".");
        error.status = 404;
        return error;
    }
    if (auto problem = check_prompt(body, chat)) {
        return problem;
    }
    const char* limit_name =
        body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    tokens max_tokens = default_max_tokens;
    if (body.contains(limit_name) && !body[limit_name].is_null()) {
        const json& value = body[limit_name];
        const bool valid = value.is_number_integer() && value.get<tokens>() >= 1 &&
                           value.get<tokens>() <= max_tokens_limit;
        if (!valid) {
            return bad_request(
                "bad_max_tokens",
                "/" + std::string(limit_name) + ": allowed: a whole number from 1 to 1000000.");
        }
        max_tokens = value.get<tokens>();
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return bad_request("bad_stream", "/stream: allowed: true or false.");
    }
    request.streamed = body.value("stream", false);

    // A tokenizer produces at most one token per byte.
    tokens prompt_bound = 0;
    std::string cache_prefix;
    for (const std::string_view text : extract_prompt_texts(body, chat)) {
        prompt_bound += static_cast<tokens>(text.size()) + message_overhead_tokens;
        if (cache_prefix.size() < cache_prefix_bytes) {
            cache_prefix.append(text.substr(0, cache_prefix_bytes - cache_prefix.size()));
        }
    }
    request.bound = prompt_bound + max_tokens;
    request.prefix = spread_hash(cache_prefix);
    request.path = exchange.path();
    request.content_type = "application/json";
    // The reservation is based on this limit, so the target has to enforce it.
    body["max_tokens"] = max_tokens;
    if (request.streamed) {
        body["stream_options"] = {{"include_usage", true}};
    }
    request.body = body.dump();
    return std::nullopt;
}

/// Parses a call of a service that is not a model into `request`.
std::optional<api_error> parse_service_call(http_exchange& exchange, const configuration& config,
                                            caller_request& request) {
    std::string_view remainder = exchange.path().substr(services_prefix.size());
    const std::size_t slash = remainder.find('/');
    request.service = remainder.substr(0, slash);
    const service* known_service = config.find_service(request.service);
    if (known_service == nullptr || known_service->model) {
        api_error error =
            bad_request("service_not_found", "There is no service " + request.service + ".");
        error.status = 404;
        return error;
    }
    request.model = false;
    request.path = slash == std::string_view::npos ? "/" : std::string(remainder.substr(slash));
    request.content_type = exchange.header("Content-Type");
    request.body = exchange.take_body();
    request.repeatable = known_service->repeatable;
    request.fixed_cost = known_service->tokens_per_call;
    request.bound = known_service->tokens_per_call;
    return std::nullopt;
}

std::string_view bearer_key(const http_exchange& exchange) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = exchange.header("Authorization");
    if (header.substr(0, scheme.size()) != scheme) {
        return {};
    }
    return header.substr(scheme.size());
}

std::optional<api_error> parse_headers(const http_exchange& exchange,
                                       const caller_request_context& context,
                                       const client_account& account, caller_request& request) {
    constexpr std::int64_t lowest_priority = 7;
    const auto priority = parse_integer_header(exchange, "X-Priority", 0, lowest_priority);
    const auto deadline = parse_integer_header(exchange, "X-Deadline-Ms", 1, max_deadline_ms);
    const auto last_seen = parse_integer_header(exchange, "Last-Event-ID", 0, INT32_MAX);
    for (const auto* item : {&priority, &deadline, &last_seen}) {
        if (!*item) {
            return bad_request("bad_header", item->error().message);
        }
    }
    const auto requested = static_cast<std::uint32_t>(priority.value().value_or(account.priority));
    request.priority = std::max(requested, account.priority);
    request.deadline =
        deadline.value() ? milliseconds(*deadline.value()) : context.default_deadline;
    request.from_chunk = last_seen.value() ? static_cast<std::uint32_t>(*last_seen.value()) + 1 : 0;
    return std::nullopt;
}

void set_digests(const http_exchange& exchange, random_source& random, caller_request& request) {
    const std::string_view given = exchange.header("Idempotency-Key");
    request.caller_keyed = !given.empty();
    const std::string generated_key =
        std::to_string(random.next_id<std::uint64_t>()) + "/" + std::to_string(request.number);
    const std::array<std::string_view, 3> key_parts{
        request.client_account, request.caller_keyed ? "caller" : "fleet",
        request.caller_keyed ? given : std::string_view(generated_key)};
    request.key = digest_of(key_parts);
    const std::array<std::string_view, 3> body_parts{request.service, request.path, request.body};
    request.body_digest = digest_of(body_parts);
}

}  // namespace

const client_account* authenticate(const http_exchange& exchange, const configuration& config) {
    const std::string_view key = bearer_key(exchange);
    if (key.empty()) {
        return nullptr;
    }
    return config.find_by_key(sha256_hex(key));
}

caller_request_result parse_caller_request(http_exchange& exchange,
                                           const caller_request_context& context) {
    const client_account* account = authenticate(exchange, context.config);
    if (account == nullptr) {
        return api_error{401, "bad_key", "The key is missing or not known.",
                         execution_status::not_run, microseconds(0)};
    }
    if (exchange.header("Idempotency-Key").size() > max_key_length) {
        return bad_request("bad_header", "Idempotency-Key: allowed: at most 255 letters.");
    }
    caller_request request;
    request.number = context.random.next_id<std::uint64_t>();
    request.client_account = account->name;
    request.budget = account->budget;
    request.method = exchange.method();
    if (auto problem = parse_headers(exchange, context, *account, request)) {
        return *problem;
    }
    const bool is_service_call =
        exchange.path().substr(0, services_prefix.size()) == services_prefix;
    const auto problem = is_service_call ? parse_service_call(exchange, context.config, request)
                                         : parse_completion(exchange, context.config, request);
    if (problem) {
        return *problem;
    }
    set_digests(exchange, context.random, request);
    return request;
}

}  // namespace wrenswitch
