#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>

#include "experiment/rollout_case.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/rollout/exposure_budget.hpp"
#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"

namespace wrenswitch::experiment {

/// What became of one roll-out.
struct rollout_score {
    bool rolled_back = false;
    bool completed = false;
    bool in_time = false;
    /// Seconds from the order to the end; to the end of the run if there was none.
    double ended = 0.0;
    /// Requests that went to the new version, and those of its answers that were worse than an
    /// old one's for its own or a grey target's fault.
    std::uint64_t exposed = 0;
    std::uint64_t bad_answers = 0;
};

/// The judge, with the evidence of the canary's time and of the move's.
using rollout_opinion_of = std::function<evaluation_result(std::span<const rollout_evidence>)>;

/// One roll-out in virtual time: outcomes and times of answers are drawn for each request, the
/// judge is asked four times a second, with what had ended a quarter of a second before. The canary
/// has a part of the exposure, shortly before the deadline a version that is held for good has all
/// of it. What isn't decided by then goes on as canary for twice the time more.
class rollout_run {
public:
    /// `canary_part` is the part of the exposure that the canary may use.
    rollout_run(rollout_service service, rollout_case played, double canary_part,
                std::uint64_t seed);

    rollout_score run(const rollout_opinion_of& judge);

private:
    struct drawn_answer {
        evidence_key key;
        bool failed = false;
        /// True if it was asked for while the version moved.
        bool moved = false;
        microseconds first{};
        microseconds pace{};
    };

    void send(double now);
    bool day_is_bad(double now) const;
    drawn_answer draw_new(double now);
    void draw_times(drawn_answer& answer, double slower_first, double slower_pace);
    std::size_t loaded_target(double now) const;
    bool end(double now, evaluation_result opinion);
    void take_ended(double until);

    rollout_service service_;
    rollout_case played_;
    double canary_part_;
    random_source random_;
    exposure_budget exposure_;
    /// Of what was sent while the version was the canary, and while it moved.
    std::array<rollout_evidence, 2> evidence_;
    std::multimap<double, drawn_answer> under_way_;
    std::map<std::size_t, std::size_t> answers_of_;
    rollout_score score_;
    bool moving_ = false;
};

}  // namespace wrenswitch::experiment
