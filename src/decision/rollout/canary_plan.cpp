#include "wrenswitch/decision/rollout/canary_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace wrenswitch {
namespace {

/// The fraction of the budget for the canary; the rest is for the move before the deadline.
constexpr double canary_fraction = 0.4;

/// The fraction used before the stress span. The other half produces the load of the stress: at an
/// even rate the canary target of a service with 3 targets carries at most a tenth of an old
/// target's load.
constexpr double initial_fraction = 0.2;

/// The order's duration is divided into this many spans, each with its own group of targets.
constexpr unsigned span_count = 5;
constexpr unsigned stress_span = 2;

/// Load per target in the stress span, relative to an old target. Above one, so that a version that
/// fails at normal load is certain to show it; far below the load at which a good one builds up a
/// queue.
constexpr double stress_load = 1.2;

/// The minimum number of targets that a result about a version rests on.
constexpr std::size_t min_group_size = 2;

/// The stress span has this many steps, each with its own group: a problem at one target alone may
/// be that target's.
constexpr unsigned stress_step_count = 3;

/// The shortest rise of the fraction in a step: entries report, and receive directives, every 250
/// ms.
constexpr double min_rise_s = 0.25;

double stress_start(double duration) {
    return duration * stress_span / span_count;
}

/// The share of all requests that puts `target_load` times an old target's load on one target.
double share_for(double target_load, std::size_t old_targets) {
    return target_load / (static_cast<double>(old_targets) + target_load);
}

/// The load of a whole group, relative to an old target.
double group_load(double share, std::size_t old_targets) {
    constexpr double max_share = 0.99;
    const double bounded = std::min(share, max_share);
    return bounded * static_cast<double>(old_targets) / (1.0 - bounded);
}

}  // namespace

/// The budget fraction that may be used, and the resulting share of the requests.
struct canary_plan::budget_use {
    double budget_fraction = 0.0;
    double share = 0.0;
};

canary_plan::canary_plan(microseconds duration, double exposed_share, std::uint64_t order_number)
    : duration_(std::max<microseconds>(duration, milliseconds(1))),
      share_(exposed_share),
      order_number_(order_number) {}

/// While the fraction rises, the budget saved in the time before is spent as well.
canary_plan::budget_use canary_plan::budget_use_at(double elapsed_s,
                                                   std::size_t old_targets) const {
    const double duration = as_seconds(duration_);
    const double start = stress_start(duration);
    if (elapsed_s < start) {
        return {initial_fraction, share_ * initial_fraction};
    }
    const double step_increase = (canary_fraction - initial_fraction) / stress_step_count;
    const double step_length = duration / span_count / stress_step_count;
    const double needed_share =
        share_ > 0.0 ? share_for(stress_load, old_targets) / share_ - initial_fraction : 0.0;
    const double needed_rise =
        needed_share > 0.0 ? step_increase * start / needed_share : step_length;
    const double rise = std::clamp(needed_rise, std::min(min_rise_s, step_length), step_length);
    const double steps = (elapsed_s - start) / step_length;
    const double steps_done = std::min(std::floor(steps), static_cast<double>(stress_step_count));
    const double rise_progress =
        steps_done < stress_step_count ? (steps - steps_done) * step_length / rise : 0.0;
    const double budget_fraction =
        initial_fraction + step_increase * (steps_done + std::min(1.0, rise_progress));
    const bool is_rising = steps_done < stress_step_count && rise_progress < 1.0;
    const double catch_up_rate = is_rising ? step_increase / rise * elapsed_s : 0.0;
    return {budget_fraction, share_ * (budget_fraction + catch_up_rate)};
}

canary_step canary_plan::at(microseconds elapsed, std::size_t old_targets,
                            std::size_t new_targets) const {
    const double elapsed_s = std::max(0.0, as_seconds(elapsed));
    const double span_length = std::max(1e-3, as_seconds(duration_) / span_count);
    const auto span_index = static_cast<std::uint64_t>(elapsed_s / span_length);
    const auto stress_step =
        static_cast<std::uint64_t>(stress_step_count * elapsed_s / span_length);
    const budget_use use = budget_use_at(elapsed_s, old_targets);
    const double total_load = group_load(use.share, old_targets);
    const bool is_stress = span_index == stress_span;
    const double target_load = is_stress ? stress_load : 1.0;
    const std::size_t smallest_group = is_stress ? 1 : min_group_size;
    const auto fitting_size = static_cast<std::size_t>(std::lround(total_load / target_load));
    const std::size_t largest_group = std::max<std::size_t>(1, new_targets);
    const std::size_t size = std::min(largest_group, std::max(smallest_group, fitting_size));
    const std::uint64_t group_index = is_stress ? stress_step : span_index * stress_step_count;
    // Keeps the seeds of two orders apart: no rollout has that many groups.
    constexpr unsigned group_index_bits = 20;
    return {use.budget_fraction, static_cast<std::uint32_t>(size),
            (order_number_ << group_index_bits) + group_index,
            total_load / static_cast<double>(size)};
}

double canary_plan::peak_load(microseconds elapsed, std::size_t old_targets,
                              std::size_t new_targets) const {
    // Within a span the load only rises until the fraction stops rising, so the peak is at the
    // start, in the rise or at present.
    const microseconds start = duration_ * stress_span / span_count;
    const std::array<microseconds, 4> times{microseconds(0), start, start + milliseconds(1),
                                            elapsed};
    double peak = 0.0;
    for (const microseconds time : times) {
        if (time <= elapsed) {
            peak = std::max(peak, at(time, old_targets, new_targets).relative_load);
        }
    }
    return peak;
}

}  // namespace wrenswitch
