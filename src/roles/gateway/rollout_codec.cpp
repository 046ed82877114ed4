#include "roles/gateway/rollout_codec.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Longer than the duration of any order; a message with a larger value is damaged.
constexpr std::uint64_t max_known_for_ms = 100'000'000'000;

std::int64_t to_milliseconds(microseconds duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

using bucket_counts = google::protobuf::RepeatedField<std::uint32_t>;

/// Writes the counts without trailing zeros.
void write_buckets(const latency_histogram& histogram, bucket_counts& message) {
    std::size_t bucket_count = latency_histogram::buckets;
    while (bucket_count > 0 && histogram.counts().at(bucket_count - 1) == 0) {
        --bucket_count;
    }
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        message.Add(histogram.counts().at(bucket));
    }
}

latency_histogram read_buckets(const bucket_counts& message) {
    latency_histogram histogram;
    const auto received = static_cast<std::size_t>(message.size());
    for (std::size_t bucket = 0; bucket < std::min(latency_histogram::buckets, received);
         ++bucket) {
        histogram.counts().at(bucket) = message.Get(static_cast<int>(bucket));
    }
    return histogram;
}

wire::RolloutPhase to_wire(rollout_phase phase) {
    switch (phase) {
        case rollout_phase::waiting:
            return wire::ROLLOUT_PHASE_WAITING;
        case rollout_phase::canary:
            return wire::ROLLOUT_PHASE_CANARY;
        case rollout_phase::moving:
            return wire::ROLLOUT_PHASE_MOVING;
        case rollout_phase::completed:
            return wire::ROLLOUT_PHASE_COMPLETED;
        case rollout_phase::rolled_back:
            return wire::ROLLOUT_PHASE_ROLLED_BACK;
    }
    return wire::ROLLOUT_PHASE_WAITING;
}

std::optional<rollout_phase> from_wire(wire::RolloutPhase phase) {
    switch (phase) {
        case wire::ROLLOUT_PHASE_WAITING:
            return rollout_phase::waiting;
        case wire::ROLLOUT_PHASE_CANARY:
            return rollout_phase::canary;
        case wire::ROLLOUT_PHASE_MOVING:
            return rollout_phase::moving;
        case wire::ROLLOUT_PHASE_COMPLETED:
            return rollout_phase::completed;
        case wire::ROLLOUT_PHASE_ROLLED_BACK:
            return rollout_phase::rolled_back;
        default:
            return std::nullopt;
    }
}

}  // namespace

wire::RolloutReport to_wire(incarnation_id process, const rollout_report& report,
                            const rollout_evidence& evidence) {
    wire::RolloutReport message;
    message.set_process(raw(process));
    message.set_service(report.service);
    message.set_order(report.order);
    message.set_known_for_ms(static_cast<std::uint64_t>(to_milliseconds(report.known_for)));
    message.set_moved(report.moved);
    message.set_reached(report.reached);
    message.set_exposed(report.exposed);
    message.set_found_bad(report.found_bad);
    for (const auto& [key, responses] : evidence.counts) {
        wire::AnswerCounts& counts = *message.add_counts();
        counts.set_route(key.route);
        counts.set_target(key.target);
        counts.set_sent(responses.sent);
        counts.set_well(responses.succeeded);
        counts.set_badly(responses.failed);
        counts.set_silent(responses.inconclusive);
        write_buckets(responses.first_event, *counts.mutable_first());
        write_buckets(responses.event_interval, *counts.mutable_pace());
    }
    return message;
}

std::optional<process_report> from_wire(const wire::RolloutReport& message) {
    if (message.service().empty() || message.known_for_ms() > max_known_for_ms) {
        return std::nullopt;
    }
    process_report result;
    result.process = incarnation_id{message.process()};
    result.report.service = message.service();
    result.report.order = message.order();
    result.report.known_for = milliseconds(message.known_for_ms());
    result.report.moved = message.moved();
    result.report.reached = message.reached();
    result.report.exposed = message.exposed();
    result.report.found_bad = message.found_bad();
    for (const wire::AnswerCounts& counts : message.counts()) {
        response_counts& responses = result.evidence.counts[{counts.route(), counts.target()}];
        responses.sent = counts.sent();
        responses.succeeded = counts.well();
        responses.failed = counts.badly();
        responses.inconclusive = counts.silent();
        responses.first_event = read_buckets(counts.first());
        responses.event_interval = read_buckets(counts.pace());
    }
    return result;
}

wire::RolloutStand to_wire(const rollout_directive& directive) {
    wire::RolloutStand message;
    message.set_service(directive.service);
    message.set_order(directive.order);
    message.set_version(directive.version);
    message.set_phase(to_wire(directive.phase));
    message.set_canary_part(directive.canary_fraction);
    message.set_group_size(directive.group_size);
    message.set_group_seed(directive.group_seed);
    message.set_left_ms(to_milliseconds(directive.remaining));
    message.set_held_for_bad(directive.version_bad);
    return message;
}

std::optional<rollout_directive> from_wire(const wire::RolloutStand& message) {
    const std::optional<rollout_phase> phase = from_wire(message.phase());
    const double canary_fraction = message.canary_part();
    if (!phase || !(canary_fraction >= 0.0 && canary_fraction <= 1.0)) {
        return std::nullopt;
    }
    rollout_directive directive{
        message.service(), message.order(),      message.version(),   *phase,
        canary_fraction,   message.group_size(), message.group_seed()};
    // Negative once the order is overdue.
    directive.remaining = bounded_milliseconds(message.left_ms(), -max_duration);
    directive.version_bad = message.held_for_bad();
    return directive;
}

}  // namespace wrenswitch
