#include "roles/gateway/rollout_codec.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Longer than any order's time; what says more is damaged.
constexpr std::uint64_t most_known_for_ms = 100'000'000'000;

std::int64_t whole_milliseconds(microseconds length) {
    return std::chrono::duration_cast<milliseconds>(length).count();
}

using bucket_counts = google::protobuf::RepeatedField<std::uint32_t>;

/// The counts without the empty ones at the end.
void write_counts(const latency_histogram& times, bucket_counts& message) {
    std::size_t used = latency_histogram::buckets;
    while (used > 0 && times.counts().at(used - 1) == 0) {
        --used;
    }
    for (std::size_t bucket = 0; bucket < used; ++bucket) {
        message.Add(times.counts().at(bucket));
    }
}

latency_histogram read_counts(const bucket_counts& message) {
    latency_histogram times;
    const auto given = static_cast<std::size_t>(message.size());
    for (std::size_t bucket = 0; bucket < std::min(latency_histogram::buckets, given); ++bucket) {
        times.counts().at(bucket) = message.Get(static_cast<int>(bucket));
    }
    return times;
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
    message.set_known_for_ms(static_cast<std::uint64_t>(whole_milliseconds(report.known_for)));
    message.set_moved(report.moved);
    message.set_reached(report.reached);
    message.set_exposed(report.exposed);
    message.set_found_bad(report.found_bad);
    for (const auto& [key, answers] : evidence.counts) {
        wire::AnswerCounts& counts = *message.add_counts();
        counts.set_route(key.route);
        counts.set_target(key.target);
        counts.set_sent(answers.sent);
        counts.set_well(answers.succeeded);
        counts.set_badly(answers.failed);
        counts.set_silent(answers.inconclusive);
        write_counts(answers.first_event, *counts.mutable_first());
        write_counts(answers.event_interval, *counts.mutable_pace());
    }
    return message;
}

std::optional<told_rollout> from_wire(const wire::RolloutReport& message) {
    if (message.service().empty() || message.known_for_ms() > most_known_for_ms) {
        return std::nullopt;
    }
    told_rollout told;
    told.process = incarnation_id{message.process()};
    told.report.service = message.service();
    told.report.order = message.order();
    told.report.known_for = milliseconds(message.known_for_ms());
    told.report.moved = message.moved();
    told.report.reached = message.reached();
    told.report.exposed = message.exposed();
    told.report.found_bad = message.found_bad();
    for (const wire::AnswerCounts& counts : message.counts()) {
        response_counts& answers = told.evidence.counts[{counts.route(), counts.target()}];
        answers.sent = counts.sent();
        answers.succeeded = counts.well();
        answers.failed = counts.badly();
        answers.inconclusive = counts.silent();
        answers.first_event = read_counts(counts.first());
        answers.event_interval = read_counts(counts.pace());
    }
    return told;
}

wire::RolloutStand to_wire(const rollout_directive& stand) {
    wire::RolloutStand message;
    message.set_service(stand.service);
    message.set_order(stand.order);
    message.set_version(stand.version);
    message.set_phase(to_wire(stand.phase));
    message.set_canary_part(stand.canary_fraction);
    message.set_group_size(stand.group_size);
    message.set_group_seed(stand.group_seed);
    message.set_left_ms(whole_milliseconds(stand.remaining));
    message.set_held_for_bad(stand.version_bad);
    return message;
}

std::optional<rollout_directive> from_wire(const wire::RolloutStand& message) {
    const std::optional<rollout_phase> phase = from_wire(message.phase());
    const double part = message.canary_part();
    if (!phase || !(part >= 0.0 && part <= 1.0)) {
        return std::nullopt;
    }
    rollout_directive stand{
        message.service(),    message.order(),     message.version(), *phase, part,
        message.group_size(), message.group_seed()};
    stand.remaining = milliseconds(message.left_ms());
    stand.version_bad = message.held_for_bad();
    return stand;
}

}  // namespace wrenswitch
