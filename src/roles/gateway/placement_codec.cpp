#include "roles/gateway/placement_codec.hpp"

namespace wrenswitch {
namespace {

std::int64_t whole_milliseconds(microseconds length) {
    return std::chrono::duration_cast<milliseconds>(length).count();
}

wire::VersionRule to_wire(version_rule rule) {
    switch (rule) {
        case version_rule::any:
            return wire::VERSION_ANY;
        case version_rule::only:
            return wire::VERSION_ONLY;
        case version_rule::other_than:
            return wire::VERSION_OTHER_THAN;
    }
    return wire::VERSION_ANY;
}

version_rule from_wire(wire::VersionRule rule) {
    switch (rule) {
        case wire::VERSION_ONLY:
            return version_rule::only;
        case wire::VERSION_OTHER_THAN:
            return version_rule::other_than;
        default:
            return version_rule::any;
    }
}

void set_limits(const candidate_constraints& limits, wire::PlacementAsk& ask) {
    if (limits.regions) {
        ask.set_region_bound(true);
        for (const std::string& region : *limits.regions) {
            ask.add_regions(region);
        }
    }
    const version_constraint& version = limits.version;
    ask.set_version_rule(to_wire(version.rule));
    ask.set_version(version.version);
    ask.set_group_size(version.group_size);
    ask.set_group_seed(version.group_seed);
    for (const std::string& excluded : version.excluded) {
        ask.add_excluded_versions(excluded);
    }
}

candidate_constraints limits_from_wire(const wire::PlacementAsk& ask) {
    candidate_constraints limits;
    if (ask.region_bound()) {
        limits.regions.emplace(ask.regions().begin(), ask.regions().end());
    }
    limits.version = {from_wire(ask.version_rule()),
                      ask.version(),
                      ask.group_size(),
                      ask.group_seed(),
                      {ask.excluded_versions().begin(), ask.excluded_versions().end()}};
    return limits;
}

}  // namespace

wire::PlacementAsk to_wire(std::uint64_t run, const std::string& service,
                           const engine_request& request, std::span<const std::string> tried,
                           microseconds left) {
    wire::PlacementAsk ask;
    ask.set_run(run);
    ask.set_service(service);
    ask.set_prompt(request.prompt.prompt_tokens);
    ask.set_most_output(request.prompt.max_output);
    ask.set_guessed_output(request.prompt.output_hint);
    ask.set_first_event_aim_ms(whole_milliseconds(request.first_event_objective));
    ask.set_longest_pause_ms(whole_milliseconds(request.max_event_gap));
    ask.set_left_ms(static_cast<std::uint32_t>(whole_milliseconds(left)));
    for (const prompt_part& part : request.prompt.parts) {
        wire::PromptPart& told = *ask.add_parts();
        told.set_id(part.id);
        told.set_length(part.length);
    }
    for (const std::string& target : tried) {
        ask.add_tried(target);
    }
    set_limits(request.constraints, ask);
    ask.set_way_us(static_cast<std::uint32_t>(request.round_trip.count()));
    return ask;
}

engine_request from_wire(const wire::PlacementAsk& ask, const engine_profile& engine) {
    engine_request request;
    prompt_profile& shape = request.prompt;
    shape.prompt_tokens = ask.prompt();
    shape.max_output = ask.most_output();
    shape.output_hint = ask.guessed_output();
    for (const wire::PromptPart& part : ask.parts()) {
        shape.parts.push_back({part.id(), part.length()});
    }
    request.engine = engine;
    request.first_event_objective = milliseconds(ask.first_event_aim_ms());
    request.max_event_gap = milliseconds(ask.longest_pause_ms());
    request.constraints = limits_from_wire(ask);
    request.round_trip = microseconds(ask.way_us());
    return request;
}

wire::PlacementAnswer to_wire(std::uint64_t run, const target_choice& choice) {
    wire::PlacementAnswer answer;
    answer.set_run(run);
    answer.set_all_cold(choice.all_cold);
    if (choice.target == nullptr) {
        return answer;
    }
    answer.set_target(choice.target->id);
    answer.set_copy_from(choice.copy_from == nullptr ? "" : choice.copy_from->id);
    answer.set_unread(choice.uncached_tokens);
    answer.set_first_event_ms(static_cast<float>(choice.price.first_event_ms));
    answer.set_backlog_ms(static_cast<float>(choice.price.backlog_ms));
    answer.set_pause_ms(static_cast<float>(choice.price.pause_ms));
    answer.set_lost_here(static_cast<float>(choice.price.own_cost));
    answer.set_lost_beside(static_cast<float>(choice.price.stream_cost));
    answer.set_sum(static_cast<float>(choice.price.total));
    answer.set_wait_us(static_cast<std::uint32_t>(choice.wait.count()));
    return answer;
}

target_choice from_wire(const wire::PlacementAnswer& answer, const target_pool& targets) {
    target_choice choice;
    choice.target = targets.find(answer.target());
    choice.copy_from = answer.copy_from().empty() ? nullptr : targets.find(answer.copy_from());
    choice.uncached_tokens = answer.unread();
    choice.price.first_event_ms = answer.first_event_ms();
    choice.price.backlog_ms = answer.backlog_ms();
    choice.price.pause_ms = answer.pause_ms();
    choice.price.own_cost = answer.lost_here();
    choice.price.stream_cost = answer.lost_beside();
    choice.price.total = answer.sum();
    choice.wait = microseconds(answer.wait_us());
    return choice;
}

wire::RunEnd to_wire(run_end how) {
    switch (how) {
        case run_end::left:
            return wire::RUN_LEFT;
        case run_end::answered_well:
            return wire::RUN_ANSWERED_WELL;
        case run_end::answered_badly:
            return wire::RUN_ANSWERED_BADLY;
        case run_end::failed:
            return wire::RUN_FAILED;
    }
    return wire::RUN_LEFT;
}

run_end from_wire(wire::RunEnd how) {
    switch (how) {
        case wire::RUN_ANSWERED_WELL:
            return run_end::answered_well;
        case wire::RUN_ANSWERED_BADLY:
            return run_end::answered_badly;
        case wire::RUN_FAILED:
            return run_end::failed;
        default:
            return run_end::left;
    }
}

}  // namespace wrenswitch
