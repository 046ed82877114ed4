#include "wrenswitch/decision/gateway/cold_targets.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wrenswitch {
namespace {

/// What an engine's keeper hands out of the rate that a cold engine bears, and what all entries
/// that can't ask a keeper have beside that, each its share: together a little more than the rate,
/// and below twice the rate also while members change and two entries keep an engine. After a loss
/// of all processes every engine is cold, and 48 of them then bear 415 requests a second where 330
/// come.
constexpr double kept_part = 0.9;
constexpr double stand_in_part = 0.15;

/// What the entries together send to a cold target that nobody keeps, each its share.
constexpr double equal_part = 0.8;

/// A wait that no request bears.
constexpr microseconds no_turn = std::chrono::hours(1);

}  // namespace

cold_targets::cold_targets(std::function<std::size_t()> entries, random_source& random)
    : entries_(std::move(entries)), known_entries_(entries_ ? entries_() : 1), random_(random) {}

void cold_targets::count_entries(instant now) {
    const std::size_t entries = entries_ ? entries_() : 1;
    if (entries == 0) {
        return;
    }
    const bool first_known = std::exchange(known_entries_, entries) == 0;
    if (!first_known) {
        return;
    }
    for (auto& [target, state] : targets_) {
        hold_back(now, state, turn_owner::stand_in);
        hold_back(now, state, turn_owner::equal);
    }
}

void cold_targets::set_warmup(instant now, const std::string& service,
                              const target_warmup& warmup) {
    target_warmup& known = warmups_[service];
    if (known == warmup) {
        return;
    }
    known = warmup;
    for (auto& [target, state] : targets_) {
        for (const turn_owner owner : turn_owners) {
            if (state.service == service) {
                hold_back(now, state, owner);
            }
        }
    }
}

microseconds cold_targets::warmup_length(std::string_view service) const {
    const auto warmup = warmups_.find(service);
    return warmup == warmups_.end() ? microseconds(0) : warmup->second.length;
}

void cold_targets::note(instant now, std::string_view target, std::string_view service,
                        microseconds left) {
    if (left <= microseconds(0)) {
        return;
    }
    target_state& state = targets_[std::string(target)];
    state.service = service;
    for (const turn_owner owner : turn_owners) {
        state.turns[place_of(owner)].begin(now, now + left, first_turn(service, owner));
    }
}

void cold_targets::forget(std::string_view target) {
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        targets_.erase(found);
    }
}

bool cold_targets::is_cold(instant now, std::string_view target) const {
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.turns.front().is_cold(now);
}

/// The time between two of the owner's turns. Zero if there is no limit.
microseconds cold_targets::spacing(std::string_view service, turn_owner owner) const {
    const auto warmup = warmups_.find(service);
    const double rate = warmup == warmups_.end() ? 0.0 : warmup->second.requests_per_second;
    if (rate <= 0.0) {
        return microseconds(0);
    }
    constexpr double microseconds_a_second = 1e6;
    const double whole = microseconds_a_second / rate;
    if (owner == turn_owner::keeper) {
        return microseconds(std::llround(whole / kept_part));
    }
    const std::size_t entries = std::max<std::size_t>(1, known_entries_);
    const double part = owner == turn_owner::equal ? equal_part : stand_in_part;
    return microseconds(std::llround(whole / part * static_cast<double>(entries)));
}

/// How long the owner's first turn is away. Entries learn of a cold target together: if the first
/// turns of all fell into less than one spacing, they would send several times their part.
microseconds cold_targets::first_turn(std::string_view service, turn_owner owner) {
    const microseconds whole = spacing(service, owner);
    if (owner == turn_owner::keeper) {
        return whole;
    }
    return microseconds(std::llround(static_cast<double>(whole.count()) * random_.unit()));
}

void cold_targets::hold_back(instant now, target_state& state, turn_owner owner) {
    cold_turns& turns = state.turns[place_of(owner)];
    if (turns.is_cold(now)) {
        turns.hold_back(now, first_turn(state.service, owner));
    }
}

microseconds cold_targets::wait(instant now, std::string_view target, turn_owner owner) const {
    const auto found = targets_.find(target);
    if (found == targets_.end() || spacing(found->second.service, owner) <= microseconds(0)) {
        return microseconds(0);
    }
    if (known_entries_ == 0 && owner != turn_owner::keeper && is_cold(now, target)) {
        return no_turn;
    }
    return found->second.turns[place_of(owner)].wait(now);
}

microseconds cold_targets::take(instant now, std::string_view target, turn_owner owner) {
    const microseconds waits = wait(now, target, owner);
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        target_state& state = found->second;
        state.turns[place_of(owner)].take(now, spacing(state.service, owner));
    }
    return waits;
}

void cold_targets::hold_back(instant now) {
    for (auto& [target, state] : targets_) {
        hold_back(now, state, turn_owner::keeper);
    }
}

}  // namespace wrenswitch
