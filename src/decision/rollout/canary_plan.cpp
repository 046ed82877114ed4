#include "wrenswitch/decision/rollout/canary_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace wrenswitch {
namespace {

/// The part of the budget that the canary may use; the rest is for the move before the deadline.
constexpr double whole_part = 0.4;

/// The part that it uses before the stress. The other half makes the load of the stress: a service
/// with 3 targets gives a canary no more than a tenth of what an old one bears, at an even pace.
constexpr double first_part = 0.2;

/// The order's time is told off in so many spans, each with targets of its own.
constexpr unsigned spans = 5;
constexpr unsigned stress_span = 2;

/// What a target bears in the stress, over what an old one does. Above one, so that a version that
/// is bad at the usual load certainly shows; far below what makes a good one queue.
constexpr double stress_load = 1.2;

/// A verdict on a version's targets rests on at least so many.
constexpr std::size_t least_group = 2;

/// The stress falls into so many steps, each with targets of its own: what shows at one target
/// alone is that target's.
constexpr unsigned stress_steps = 3;

/// How long the part takes to rise in a step, at the least: entries report 250 ms apart, and hear
/// of it then.
constexpr double shortest_rise_s = 0.25;

double stress_begin(double duration) {
    return duration * stress_span / spans;
}

/// The share of all requests that makes one target bear so many times what an old one does.
double share_for(double load, std::size_t old_targets) {
    return load / (static_cast<double>(old_targets) + load);
}

/// What a group bears together, over what an old target does.
double load_of(double share, std::size_t old_targets) {
    constexpr double most = 0.99;
    const double bounded = std::min(share, most);
    return bounded * static_cast<double>(old_targets) / (1.0 - bounded);
}

}  // namespace

/// How much of the budget may be used, and which share of the requests that makes.
struct canary_plan::pace {
    double part = 0.0;
    double share = 0.0;
};

canary_plan::canary_plan(microseconds duration, double exposed_share, std::uint64_t number)
    : duration_(std::max<microseconds>(duration, milliseconds(1))),
      share_(exposed_share),
      number_(number) {}

/// Times in seconds. While the part rises, what was spared of the time before is sent as well.
canary_plan::pace canary_plan::pace_at(double passed, std::size_t old_targets) const {
    const double duration = as_seconds(duration_);
    const double begin = stress_begin(duration);
    if (passed < begin) {
        return {first_part, share_ * first_part};
    }
    const double gain = (whole_part - first_part) / stress_steps;
    const double longest = duration / spans / stress_steps;
    const double wanted =
        share_ > 0.0 ? share_for(stress_load, old_targets) / share_ - first_part : 0.0;
    const double wished = wanted > 0.0 ? gain * begin / wanted : longest;
    const double rise = std::clamp(wished, std::min(shortest_rise_s, longest), longest);
    const double steps = (passed - begin) / longest;
    const double begun = std::min(std::floor(steps), static_cast<double>(stress_steps));
    const double risen = begun < stress_steps ? (steps - begun) * longest / rise : 0.0;
    const double part = first_part + gain * (begun + std::min(1.0, risen));
    const bool rises = begun < stress_steps && risen < 1.0;
    const double extra = rises ? gain / rise * passed : 0.0;
    return {part, share_ * (part + extra)};
}

canary_step canary_plan::at(microseconds elapsed, std::size_t old_targets,
                            std::size_t new_targets) const {
    const double passed = std::max(0.0, as_seconds(elapsed));
    const double span = std::max(1e-3, as_seconds(duration_) / spans);
    const auto number = static_cast<std::uint64_t>(passed / span);
    const auto step = static_cast<std::uint64_t>(stress_steps * passed / span);
    const pace now = pace_at(passed, old_targets);
    const double together = load_of(now.share, old_targets);
    const bool stress = number == stress_span;
    const double each = stress ? stress_load : 1.0;
    const std::size_t least = stress ? 1 : least_group;
    const auto fitting = static_cast<std::size_t>(std::lround(together / each));
    const std::size_t most = std::max<std::size_t>(1, new_targets);
    const std::size_t size = std::min(most, std::max(least, fitting));
    const std::uint64_t turn = stress ? step : number * stress_steps;
    // Seeds of two orders don't meet: no roll-out has that many turns.
    constexpr unsigned turn_bits = 20;
    return {now.part, static_cast<std::uint32_t>(size), (number_ << turn_bits) + turn,
            together / static_cast<double>(size)};
}

double canary_plan::highest_load(microseconds elapsed, std::size_t old_targets,
                                 std::size_t new_targets) const {
    // Within a span the load only rises until the part stands still, so that the begin, the rise
    // and the present are where it may be highest.
    const microseconds begin = duration_ * stress_span / spans;
    const std::array<microseconds, 4> times{microseconds(0), begin, begin + milliseconds(1),
                                            elapsed};
    double highest = 0.0;
    for (const microseconds time : times) {
        if (time <= elapsed) {
            highest = std::max(highest, at(time, old_targets, new_targets).load);
        }
    }
    return highest;
}

}  // namespace wrenswitch
