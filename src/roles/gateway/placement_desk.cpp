#include "roles/gateway/placement_desk.hpp"

#include <placement.pb.h>

#include <algorithm>

#include "roles/gateway/placement_codec.hpp"

namespace wrenswitch {
namespace {

/// How long a run is counted beyond the time that its caller had: longer than its end takes to be
/// told.
constexpr microseconds lease_slack = seconds(1);

/// No run is counted for longer, whatever an asker says.
constexpr microseconds longest_lease = seconds(600);

}  // namespace

placement_desk::placement_desk(target_pool& targets, engine_coordinators& keepers,
                               metrics& counters)
    : targets_(targets), keepers_(keepers), counters_(counters) {}

target_choice placement_desk::place(instant now, std::uint64_t run, const std::string& service,
                                    const engine_request& request,
                                    std::span<const std::string> tried, microseconds left) {
    note_keepers(now);
    const target_choice choice = targets_.pick_engine(
        now, service, request, tried,
        [this, now](std::string_view engine) { return may_offer(now, engine); },
        permit_share::coordinator);
    if (choice.target == nullptr) {
        counters_.counter("placements_without_engine_total") += 1;
        return choice;
    }
    const std::string& target = choice.target->id;
    const bool sent_now = choice.wait == microseconds(0);
    const std::uint64_t number =
        targets_.begin_attempt(now, target, request, choice.uncached_tokens, sent_now);
    runs_.insert_or_assign(
        run, kept_run{target, number, now + std::min(left, longest_lease) + lease_slack});
    counters_.counter("placements_total") += 1;
    return choice;
}

/// A cold engine is only offered by the one that every entry has as its keeper: after a loss of
/// power two entries that took each other for lost gave it 21 turns in a second where it bears 9.6.
bool placement_desk::may_offer(instant now, std::string_view engine) {
    const bool cold = targets_.is_cold(now, engine);
    return cold ? keepers_.coordinates_exclusively(now, engine) : keepers_.coordinates(now, engine);
}

/// An engine that was another entry's may have had turns from that one until now.
void placement_desk::note_keepers(instant now) {
    const std::uint64_t changes = keepers_.assignment_version(now);
    if (changes != seen_keepers_) {
        seen_keepers_ = changes;
        targets_.defer_cold_permits(now);
    }
}

const placement_desk::kept_run* placement_desk::find(std::uint64_t run) const {
    const auto found = runs_.find(run);
    return found == runs_.end() ? nullptr : &found->second;
}

void placement_desk::first_event(instant now, std::uint64_t run) {
    if (const kept_run* kept = find(run)) {
        targets_.record_first_event(now, kept->target, kept->number);
    }
}

void placement_desk::next_events(instant now, std::uint64_t run, microseconds span) {
    if (const kept_run* kept = find(run)) {
        targets_.record_event_span(now, kept->target, span);
    }
}

void placement_desk::ended_elsewhere(instant now, std::uint64_t run, run_end how) {
    const kept_run* kept = find(run);
    if (kept == nullptr) {
        return;
    }
    if (how == run_end::failed) {
        targets_.on_failure(now, kept->target);
    } else if (how != run_end::left) {
        targets_.on_response(now, kept->target, how == run_end::answered_well);
    }
    ended_here(now, run);
}

void placement_desk::ended_here(instant now, std::uint64_t run) {
    const auto found = runs_.find(run);
    if (found != runs_.end()) {
        targets_.end_attempt(now, found->second.target, found->second.number);
        runs_.erase(found);
    }
}

void placement_desk::take_news(instant now, const wire::RunNewsBatch& batch) {
    for (const wire::RunNews& news : batch.runs()) {
        if (news.first_event()) {
            first_event(now, news.run());
        }
        for (const std::uint32_t span : news.spans_us()) {
            next_events(now, news.run(), microseconds(span));
        }
        if (news.end() != wire::RUN_GOES_ON) {
            ended_elsewhere(now, news.run(), from_wire(news.end()));
        }
    }
}

void placement_desk::drop_lapsed(instant now) {
    for (auto it = runs_.begin(); it != runs_.end();) {
        const auto run = it++;
        if (run->second.lease_until <= now) {
            counters_.counter("placements_lapsed_total") += 1;
            targets_.end_attempt(now, run->second.target, run->second.number);
            runs_.erase(run);
        }
    }
}

}  // namespace wrenswitch
