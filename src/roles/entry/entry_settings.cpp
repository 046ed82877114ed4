#include "roles/entry/entry_settings.hpp"

#include <array>

#include "roles/shared/caller_memory.hpp"
#include "wrenswitch/roles/entry.hpp"

namespace wrenswitch {
namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t body_bytes_limit = 1LL << 30;
/// A caller's body as received, as kept for another attempt, and on its way to a guard.
constexpr std::size_t caller_body_copies = 3;
constexpr std::int64_t day_ms = 86'400'000;
constexpr std::size_t sha256_digits = 64;
constexpr std::array<std::string_view, 2> scope_names{"region", "failure_domain"};
constexpr std::array<std::string_view, 4> policy_names{"even_split", "demand_share",
                                                       "capped_reserve", "shared_reserve"};
constexpr std::array<std::string_view, 4> routing_names{"random", "least_loaded", "two_choices",
                                                        "expected_wait"};

template <std::size_t Size>
std::size_t index_of(const std::array<std::string_view, Size>& names, std::string_view name) {
    for (std::size_t index = 0; index < Size; ++index) {
        if (names[index] == name) {
            return index;
        }
    }
    return 0;
}

/// Parses operator keys in the format "role:sha256".
std::vector<operator_key> parse_operator_keys(settings_reader& reader, findings& problems) {
    constexpr std::array<std::string_view, 3> roles{"read", "change", "release"};
    std::vector<operator_key> keys;
    std::size_t index = 0;
    for (const std::string& text : reader.texts_or_empty("operator_keys")) {
        const std::size_t colon = text.find(':');
        const std::string role = text.substr(0, colon);
        const std::string sha256 = colon == std::string::npos ? "" : text.substr(colon + 1);
        bool known_role = false;
        for (const std::string_view name : roles) {
            known_role = known_role || name == role;
        }
        if (!known_role || sha256.size() != sha256_digits) {
            problems.add("/operator_keys/" + std::to_string(index), "\"" + text + "\"",
                         "read, change or release, a colon and the key's SHA-256 in 64 digits");
        }
        keys.push_back({static_cast<operator_role>(index_of(roles, role)), sha256});
        ++index;
    }
    return keys;
}

http_server_settings parse_server_settings(settings_reader& reader, const std::string& prefix) {
    http_server_settings server;
    server.address = reader.text_or(prefix + "_address", "127.0.0.1");
    server.port = static_cast<std::uint16_t>(reader.integer_or(prefix + "_port", 0, 0, max_port));
    server.certificate_file = reader.text_or(prefix + "_certificate_file", "");
    server.private_key_file = reader.text_or(prefix + "_private_key_file", "");
    return server;
}

std::string optional_choice(settings_reader& reader, std::string_view name,
                            std::span<const std::string_view> allowed, std::string_view fallback) {
    if (reader.text_or(name, "").empty()) {
        return std::string(fallback);
    }
    return reader.choice(name, allowed);
}

}  // namespace

std::shared_ptr<const entry_settings> read_entry_settings(std::string_view text,
                                                          findings& problems) {
    settings_reader reader = settings_reader::parse(text, problems);
    auto settings = std::make_shared<entry_settings>();
    settings->process = read_process_settings(reader, problems);
    settings->callers = parse_server_settings(reader, "caller");
    settings->callers.most_body_bytes = static_cast<std::size_t>(
        reader.integer_or("most_body_bytes", 4LL << 20, 1, body_bytes_limit));
    settings->callers.body_copies = caller_body_copies;
    const std::size_t max_body_bytes =
        max_request_bytes(settings->process.limits) / caller_body_copies;
    if (settings->callers.most_body_bytes > max_body_bytes) {
        problems.add("/most_body_bytes", std::to_string(settings->callers.most_body_bytes),
                     "at most " + std::to_string(max_body_bytes) + " with this memory_mb");
    }
    settings->operators = parse_server_settings(reader, "operator");
    settings->operator_keys = parse_operator_keys(reader, problems);
    settings->scope = static_cast<allocator_scope>(
        index_of(scope_names, optional_choice(reader, "home_scope", scope_names, "region")));
    settings->policy = optional_choice(reader, "grant_policy", policy_names, settings->policy);
    settings->grants.reserve_share =
        reader.number_or("reserve_share", settings->grants.reserve_share, 0.0, 1.0);
    settings->grants.outage_horizon =
        milliseconds(reader.integer_or("cut_off_horizon_ms", 7'200'000, 1000, day_ms));
    settings->grants.working_horizon =
        milliseconds(reader.integer_or("working_horizon_ms", 20'000, 1000, day_ms));
    settings->routing.policy = static_cast<routing_policy>(index_of(
        routing_names, optional_choice(reader, "routing_policy", routing_names, "expected_wait")));
    settings->routing.subset_size =
        static_cast<std::size_t>(reader.integer_or("target_subset", 12, 1, 10'000));
    settings->routing.failure_domain = settings->process.failure_domain;
    settings->settle_period = milliseconds(reader.integer_or("settle_period_ms", 1000, 10, 60'000));
    settings->token_wait = milliseconds(reader.integer_or("token_wait_ms", 400, 0, 60'000));
    settings->fence_after = milliseconds(reader.integer_or("fence_after_ms", 5000, 500, day_ms));
    settings->default_deadline =
        milliseconds(reader.integer_or("default_deadline_ms", 60'000, 100, day_ms));
    settings->retry_share = reader.number_or("retry_share", settings->retry_share, 0.0, 1.0);
    reader.finish();
    return settings;
}

}  // namespace wrenswitch
