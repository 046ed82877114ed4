#include "roles/gateway/target_ends.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// A host answers for a process that is gone within a round trip.
constexpr microseconds longest_probe = milliseconds(400);

/// Nothing listens there for good if that is so once more after this time. A target that is
/// crowded may turn single connections away, and one that ended is away for seconds.
constexpr microseconds between_probes = milliseconds(150);
constexpr unsigned refusals_of_an_end = 2;

/// How long a target that doesn't accept isn't asked anew for each run that breaks. One that did is
/// asked at once: it may have ended since.
constexpr microseconds answer_life = milliseconds(500);

/// What a target sent before its end may be read behind the end of another connection to it, within
/// a turn or two of the loop. Meant to be ample; not measured.
constexpr microseconds longest_unread = milliseconds(120);

/// Requests that a line names; all are counted.
constexpr std::size_t most_told = 6;

std::string names_of(std::span<const digest> requests) {
    std::string names;
    for (const digest& request : requests.first(std::min(most_told, requests.size()))) {
        names += (names.empty() ? "" : ",") + request.to_hex();
    }
    return names;
}

}  // namespace

target_incarnation life_of(const gateway_target& target) {
    return {target.id, target.started.value_or(0)};
}

/// A target that leaves, or left the list, ends as planned.
void target_ends::broke(instant now, const target_incarnation& life, const digest& request) {
    counters_.counter("gateway_runs_broken_total") += 1;
    const gateway_target* target = targets_.find(life.target);
    if (target == nullptr || target->draining || !targets_.is_listed(life.target)) {
        return;
    }
    runs_.record_interrupted(now, life, request);
    if (target->started.value_or(0) > life.started) {
        end(life, "restarted");
        return;
    }
    question& about = questions_[life];
    const bool is_asked = about.asked && now - *about.asked <= answer_life && !about.accepted;
    if (about.probe == nullptr && !is_asked) {
        about = {};
        about.broke = now;
        ask(life);
    }
}

void target_ends::ask(const target_incarnation& life) {
    const gateway_target* target = targets_.find(life.target);
    const result<http_address> address =
        http_address::parse(target == nullptr ? std::string_view{} : target->address);
    if (!address) {
        return;
    }
    question& about = questions_[life];
    about.asked = monotonic_now();
    counters_.counter("gateway_target_probes_total") += 1;
    about.probe = std::make_unique<connection_probe>(
        loop_, address.value(), longest_probe,
        [this, life](probe_answer answer) { answered(life, answer); });
}

void target_ends::answered(const target_incarnation& life, probe_answer answer) {
    const auto found = questions_.find(life);
    if (found == questions_.end()) {
        return;
    }
    question& about = found->second;
    // The probe is still on the stack.
    loop_.call_after(microseconds(0),
                     [kept = std::shared_ptr<connection_probe>(std::move(about.probe))] {});
    about.accepted = answer == probe_answer::accepted;
    about.refusals += answer == probe_answer::refused ? 1 : 0;
    if (answer != probe_answer::refused || !runs_.has_interrupted(life)) {
        return;
    }
    if (about.refusals >= refusals_of_an_end) {
        end(life, "refused");
        return;
    }
    loop_.call_after(between_probes, [this, life, alive = alive_] {
        if (*alive && runs_.has_interrupted(life) && questions_.contains(life)) {
            ask(life);
        }
    });
}

void target_ends::heard(instant now, const target_incarnation& life) {
    if (questions_.empty()) {
        return;
    }
    const auto found = questions_.find(life);
    if (found != questions_.end() && now - found->second.broke > longest_unread) {
        questions_.erase(found);
        runs_.discard(life);
    }
}

void target_ends::unlisted(const std::string& id) {
    for (const target_incarnation& life : runs_.interrupted_incarnations(id)) {
        const auto found = questions_.find(life);
        const bool listens = found != questions_.end() && found->second.accepted;
        if (!listens) {
            end(life, "unlisted");
        }
    }
}

void target_ends::restarted(const std::string& id) {
    for (const target_incarnation& life : runs_.interrupted_incarnations(id)) {
        end(life, "restarted");
    }
}

void target_ends::end(const target_incarnation& life, std::string_view seen_by) {
    const std::vector<digest> requests = runs_.take_in_flight(life);
    questions_.erase(life);
    if (requests.empty()) {
        return;
    }
    counters_.counter("gateway_targets_ended_total") += 1;
    log_event(log_level::warning, "target_ended",
              {{"target", life.target},
               {"started", std::to_string(life.started)},
               {"seen_by", std::string(seen_by)},
               {"requests", std::to_string(requests.size())},
               {"fingerprints", names_of(requests)}});
    hooks_.ended(life, requests);
}

void target_ends::tick(instant now) {
    runs_.discard_expired(now);
    std::erase_if(questions_, [&](const auto& each) {
        return each.second.probe == nullptr && !runs_.has_interrupted(each.first);
    });
}

}  // namespace wrenswitch
