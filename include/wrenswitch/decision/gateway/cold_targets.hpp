#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/cold_turns.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"

namespace wrenswitch {

/// Whose turns at a cold target a choice uses.
enum class turn_owner {
    /// The engine's keeper, which chooses for all entries.
    keeper,
    /// An entry that can't ask the engine's keeper.
    stand_in,
    /// One of the entries that all send to a target which nobody keeps.
    equal,
};

constexpr std::array turn_owners{turn_owner::keeper, turn_owner::stand_in, turn_owner::equal};

/// Which targets are cold, and when a request may be sent to one. The load it answers: after a loss
/// of power, a crash or an emptied failure domain many targets are cold at once and all entries
/// send to them; each bears no more than its rate from all together.
class cold_targets {
public:
    /// `entries` tells how many entries share what a cold target bears; zero while that isn't
    /// known.
    cold_targets(std::function<std::size_t()> entries, random_source& random);

    /// Looks how many entries share what a cold target bears. Until that is known there are no
    /// turns but a keeper's: a process that took itself for one of 4 where there are 26 would send
    /// 6 times its share. A directory that is found empty later leaves the last count in force.
    void count_entries(instant now);

    /// What a service's targets bear while they are cold. Those that are known to be cold begin
    /// anew if that changes: their turns were counted without it.
    void set_warmup(instant now, const std::string& service, const target_warmup& warmup);

    /// How long a target of a service is cold after a start.
    microseconds warmup_length(std::string_view service) const;

    /// A target of the service is cold for so long, or longer if that was known.
    void note(instant now, std::string_view target, std::string_view service, microseconds left);

    /// The target is gone.
    void forget(std::string_view target);

    /// True if the target is cold, as far as is known.
    bool is_cold(instant now, std::string_view target) const;

    /// How long a request has to wait for the owner's next turn at the target; zero if the target
    /// is warm or its service has no bound.
    microseconds wait(instant now, std::string_view target, turn_owner owner) const;

    /// A request takes the owner's next turn. Returns how long it has to wait for that.
    microseconds take(instant now, std::string_view target, turn_owner owner);

    /// Another process may have given the keepers' turns until now: this one begins anew.
    void hold_back(instant now);

private:
    struct target_state {
        std::string service;
        /// By the owner.
        std::array<cold_turns, turn_owners.size()> turns;
    };

    static constexpr std::size_t place_of(turn_owner owner) {
        return static_cast<std::size_t>(owner);
    }
    microseconds spacing(std::string_view service, turn_owner owner) const;
    microseconds first_turn(std::string_view service, turn_owner owner);
    void hold_back(instant now, target_state& state, turn_owner owner);

    std::function<std::size_t()> entries_;
    /// As last known; zero before it was.
    std::size_t known_entries_;
    random_source& random_;
    std::map<std::string, target_warmup, std::less<>> warmups_;
    /// Targets that are or were cold.
    std::map<std::string, target_state, std::less<>> targets_;
};

}  // namespace wrenswitch
