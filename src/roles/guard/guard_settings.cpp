#include "roles/guard/guard_settings.hpp"

#include "wrenswitch/roles/guard.hpp"

namespace wrenswitch {
namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_concurrency = 100'000;
constexpr std::int64_t max_queue_length = 1'000'000;
constexpr std::int64_t max_buffer_bytes = 1LL << 32;
constexpr std::int64_t max_duration_ms = 86'400'000;

}  // namespace

std::shared_ptr<const guard_settings> read_guard_settings(std::string_view text,
                                                          findings& problems) {
    settings_reader reader = settings_reader::parse(text, problems);
    auto settings = std::make_shared<guard_settings>();
    settings->process = read_process_settings(reader, problems);
    settings->service = reader.text("service");
    settings->target = read_address(reader, "target", problems);
    settings->operator_address = reader.text_or("operator_address", "127.0.0.1");
    settings->operator_port =
        static_cast<std::uint16_t>(reader.integer_or("operator_port", 0, 0, max_port));
    settings->limiter = reader.text_or("limiter", settings->limiter);
    if (!make_limiter_factory(settings->limiter, {})) {
        problems.add("/limiter", settings->limiter, "static, aimd, gradient or token_pace");
    }
    limiter_settings& limits = settings->limits;
    limits.min_limit = static_cast<unsigned>(
        reader.integer_or("least_concurrency", limits.min_limit, 1, max_concurrency));
    limits.max_limit = static_cast<unsigned>(
        reader.integer_or("most_concurrency", limits.max_limit, 1, max_concurrency));
    limits.initial_limit = static_cast<unsigned>(
        reader.integer_or("initial_concurrency", limits.initial_limit, 1, max_concurrency));
    if (limits.min_limit > limits.max_limit) {
        problems.add("/least_concurrency", std::to_string(limits.min_limit),
                     "at most most_concurrency");
    }
    settings->admission.max_queued =
        static_cast<std::size_t>(reader.integer_or("queue_length", 256, 0, max_queue_length));
    settings->admission.max_wait =
        milliseconds(reader.integer_or("most_wait_ms", 500, 1, max_duration_ms));
    settings->responses.max_bytes = static_cast<std::size_t>(
        reader.integer_or("answer_buffer_bytes", 32LL << 20, 0, max_buffer_bytes));
    settings->responses.retention =
        milliseconds(reader.integer_or("answer_keep_ms", 300'000, 0, max_duration_ms));
    reader.finish();
    return settings;
}

}  // namespace wrenswitch
