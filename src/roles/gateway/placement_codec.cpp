#include "roles/gateway/placement_codec.hpp"

#include <algorithm>
#include <tuple>

#include "roles/gateway/placement_admission_fields.hpp"

namespace wrenswitch {
namespace {

std::int64_t to_milliseconds(microseconds duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
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

void set_constraints(const candidate_constraints& constraints, wire::PlacementAsk& query) {
    if (constraints.regions) {
        query.set_region_bound(true);
        for (const std::string& region : *constraints.regions) {
            query.add_regions(region);
        }
    }
    const version_constraint& version = constraints.version;
    query.set_version_rule(to_wire(version.rule));
    query.set_version(version.version);
    query.set_group_size(version.group_size);
    query.set_group_seed(version.group_seed);
    for (const std::string& excluded : version.excluded) {
        query.add_excluded_versions(excluded);
    }
}

candidate_constraints constraints_from_wire(const wire::PlacementAsk& query) {
    candidate_constraints constraints;
    if (query.region_bound()) {
        constraints.regions.emplace(query.regions().begin(), query.regions().end());
    }
    constraints.version = {from_wire(query.version_rule()),
                           query.version(),
                           query.group_size(),
                           query.group_seed(),
                           {query.excluded_versions().begin(), query.excluded_versions().end()}};
    return constraints;
}

}  // namespace

wire::PlacementAsk to_wire(std::uint64_t attempt, const std::string& service,
                           const engine_request& request, std::span<const std::string> tried,
                           microseconds remaining) {
    wire::PlacementAsk query;
    query.set_run(attempt);
    query.set_service(service);
    query.set_prompt(request.prompt.prompt_tokens);
    query.set_most_output(request.prompt.max_output);
    query.set_guessed_output(request.prompt.output_hint);
    query.set_first_event_aim_ms(to_milliseconds(request.first_event_objective));
    query.set_longest_pause_ms(to_milliseconds(request.max_event_gap));
    query.set_left_ms(static_cast<std::uint32_t>(to_milliseconds(remaining)));
    for (const prompt_part& part : request.prompt.parts) {
        wire::PromptPart& wire_part = *query.add_parts();
        wire_part.set_id(part.id);
        wire_part.set_length(part.length);
    }
    for (const std::string& target : tried) {
        query.add_tried(target);
    }
    set_constraints(request.constraints, query);
    query.set_way_us(static_cast<std::uint32_t>(request.round_trip.count()));
    if (request.priority) {
        set_admission_fields({request.account, *request.priority, request.is_last_query}, query);
    }
    return query;
}

engine_request from_wire(const wire::PlacementAsk& query, const engine_profile& engine) {
    engine_request request;
    prompt_profile& prompt = request.prompt;
    prompt.prompt_tokens = query.prompt();
    prompt.max_output = query.most_output();
    prompt.output_hint = query.guessed_output();
    for (const wire::PromptPart& part : query.parts()) {
        prompt.parts.push_back({part.id(), part.length()});
    }
    limit_to_range(prompt);
    request.engine = engine;
    request.first_event_objective = bounded_milliseconds(query.first_event_aim_ms());
    request.max_event_gap = bounded_milliseconds(query.longest_pause_ms());
    request.constraints = constraints_from_wire(query);
    request.round_trip = microseconds(query.way_us());
    if (const auto fields = admission_fields_of(query)) {
        request.account = fields->account;
        request.priority = fields->priority;
        request.is_last_query = fields->is_last_query;
    }
    return request;
}

wire::PlacementAnswer to_wire(std::uint64_t attempt, const target_choice& choice) {
    wire::PlacementAnswer reply;
    reply.set_run(attempt);
    reply.set_all_cold(choice.all_cold);
    set_admission(choice.admission, choice.admission_wait, reply);
    if (choice.target == nullptr && choice.admission == admission_outcome::admit) {
        return reply;
    }
    reply.set_target(choice.target == nullptr ? "" : choice.target->id);
    reply.set_copy_from(choice.copy_from == nullptr ? "" : choice.copy_from->id);
    reply.set_unread(choice.uncached_tokens);
    reply.set_first_event_ms(static_cast<float>(choice.price.first_event_ms));
    reply.set_backlog_ms(static_cast<float>(choice.price.backlog_ms));
    reply.set_pause_ms(static_cast<float>(choice.price.pause_ms));
    reply.set_lost_here(static_cast<float>(choice.price.own_cost));
    reply.set_lost_beside(static_cast<float>(choice.price.stream_cost));
    reply.set_sum(static_cast<float>(choice.price.total));
    reply.set_wait_us(static_cast<std::uint32_t>(choice.wait.count()));
    return reply;
}

target_choice from_wire(const wire::PlacementAnswer& reply, const target_pool& targets) {
    target_choice choice;
    choice.target = targets.find(reply.target());
    choice.copy_from = reply.copy_from().empty() ? nullptr : targets.find(reply.copy_from());
    choice.uncached_tokens = std::clamp<tokens>(reply.unread(), 0, max_request_tokens);
    choice.price.first_event_ms = reply.first_event_ms();
    choice.price.backlog_ms = reply.backlog_ms();
    choice.price.pause_ms = reply.pause_ms();
    choice.price.own_cost = reply.lost_here();
    choice.price.stream_cost = reply.lost_beside();
    choice.price.total = reply.sum();
    choice.wait = microseconds(reply.wait_us());
    std::tie(choice.admission, choice.admission_wait) = admission_of(reply);
    return choice;
}

wire::RunEnd to_wire(attempt_outcome outcome) {
    switch (outcome) {
        case attempt_outcome::abandoned:
            return wire::RUN_LEFT;
        case attempt_outcome::succeeded:
            return wire::RUN_ANSWERED_WELL;
        case attempt_outcome::error_response:
            return wire::RUN_ANSWERED_BADLY;
        case attempt_outcome::failed:
            return wire::RUN_FAILED;
    }
    return wire::RUN_LEFT;
}

attempt_outcome from_wire(wire::RunEnd outcome) {
    switch (outcome) {
        case wire::RUN_ANSWERED_WELL:
            return attempt_outcome::succeeded;
        case wire::RUN_ANSWERED_BADLY:
            return attempt_outcome::error_response;
        case wire::RUN_FAILED:
            return attempt_outcome::failed;
        default:
            return attempt_outcome::abandoned;
    }
}

}  // namespace wrenswitch
