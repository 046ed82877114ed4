#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// A request at an engine: what it holds there, and what it would lose by a pause.
struct engine_run {
    /// Names the run among those of one engine.
    std::uint64_t number = 0;
    /// The tokens that it fills.
    tokens held = 0;
    /// What is lost if its answer is late, in tokens of the request.
    double stake = 0.0;
    /// The longest pause between its events that its caller bears, in ms; zero if any is.
    double longest_pause_ms = 0.0;
};

/// A prompt that an engine has to read.
struct prompt_reading {
    std::uint64_t number = 0;
    /// How long the engine reads, in ms.
    double length_ms = 0.0;
    /// The longest pause of other streams meanwhile, in ms.
    double pause_ms = 0.0;
};

/// What one engine has to do, as far as is known here. Prompts are taken to be read one after the
/// other.
class engine_load {
public:
    /// A request goes there.
    void begin(instant now, const engine_run& run, const prompt_reading& reading);

    /// The engine has read the prompt of a run, and with it all prompts before it.
    void first_event(instant now, std::uint64_t number);

    /// Another event of one of the runs came.
    void heard(instant now) { heard_ = now; }

    /// A run has ended, in whatever way.
    void end(instant now, std::uint64_t number);

    /// Streams with this bound of pauses, in ms, may come: pauses that pass it are noted from now
    /// on.
    void watch_bound(double longest_pause_ms) { bounds_.try_emplace(longest_pause_ms); }

    /// How long the engine still reads what it has, in ms.
    double backlog_ms(instant now) const;

    /// How long the engine has said nothing beyond what was expected of it, in ms: it may be dead.
    double overdue_ms(instant now) const;

    /// The longest pause that what waits to be read forces on streams, in ms.
    double pending_pause_ms(instant now) const;

    /// What is expected to be lost on the streams there if a pause this long is added to what
    /// waits already, in tokens of requests.
    double loss_by_pause(instant now, double pause_ms) const;

    /// The pauses of late that a stream with this bound wouldn't have borne, for each second. They
    /// are noted once the bound is watched.
    double late_pauses_per_second(instant now, double longest_pause_ms) const;

    std::size_t runs() const { return runs_.size(); }

    /// The tokens that all runs fill.
    tokens held() const { return held_; }

private:
    /// What is at risk, and what was of late, for one bound of pauses. Routes have few bounds.
    struct bound_state {
        /// The stakes of the streams there that have this bound.
        double stake = 0.0;
        /// Pauses of late that passed the bound, as a sum of chances that fades.
        double late_pauses = 0.0;
        instant faded_at{};
    };

    void add_stake(const engine_run& run, double sign);
    void note_pause(instant now, double pause_ms);
    static void fade(bound_state& state, instant now);
    void remove(std::map<std::uint64_t, engine_run>::iterator run);
    void sum_up_pending();

    std::map<std::uint64_t, engine_run> runs_;
    tokens held_ = 0;
    std::deque<prompt_reading> pending_;
    /// The lengths of all that is pending, in ms, and the longest pause in it.
    double pending_ms_ = 0.0;
    double pending_pause_ms_ = 0.0;
    /// When the engine began with the first of them.
    instant front_since_{};
    /// By the bound, in ms.
    std::map<double, bound_state> bounds_;
    /// When one of the runs last got an event.
    instant heard_{};
    /// The runs that have had their first event.
    std::set<std::uint64_t> streaming_;
};

/// The chance that an answer is late whose time of this length should stay below a bound. It rises
/// softly, since all lengths are estimates.
double chance_late(double length_ms, double bound_ms, double softness);

/// How soft the bound of a pause is.
constexpr double pause_softness = 0.08;

}  // namespace wrenswitch
