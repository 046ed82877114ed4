#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/suspects/target_life.hpp"

namespace wrenswitch {

/// Settings of the memory of broken runs.
struct broken_runs_settings {
    /// How long a run is remembered. The platform's list drops a target three heartbeats after its
    /// end (some 3.6 s), and one that starts again is listed anew within about as long.
    microseconds memory = seconds(8);
    /// A run that was called off may still be at work at its target for so long.
    microseconds still_at_work = seconds(1);
    /// Runs that are remembered of one life; more than a target has places.
    std::size_t most_of_a_life = 256;
};

/// The requests whose runs broke off, by the life of their target, until it is known whether that
/// has ended. A broken connection alone says nothing of its target: it may have been reset or cut,
/// or the answer was garbled.
class broken_runs {
public:
    explicit broken_runs(broken_runs_settings settings = {}) : settings_(settings) {}

    /// A run's connection ended before its answer did.
    void broke(instant now, const target_life& life, const digest& request);

    /// This entry ended a run by itself before its answer did.
    void left(instant now, const target_life& life, const digest& request);

    /// The target has shown that this life of it goes on: what broke, broke for another reason.
    void lives(const target_life& life) { lives_.erase(life); }

    /// True if a run broke off at this life of a target and it isn't known why.
    bool has_broken(const target_life& life) const;

    /// The lives of a target at which runs broke off.
    std::vector<target_life> broken_lives(std::string_view target) const;

    /// This life has ended: the requests that were under way, each once. They are forgotten.
    std::vector<digest> take_ended(const target_life& life);

    /// Forgets what is too old to be explained any more.
    void forget_old(instant now);

private:
    struct run {
        digest request;
        instant ended{};
        /// False if this entry ended it.
        bool broke = false;
    };

    void note(const target_life& life, run ended);

    broken_runs_settings settings_;
    std::map<target_life, std::vector<run>> lives_;
};

}  // namespace wrenswitch
