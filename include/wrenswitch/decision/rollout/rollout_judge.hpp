#pragma once

#include <span>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

namespace wrenswitch {

/// What is held of a version.
enum class rollout_opinion {
    /// Too little is known; the old version goes on serving.
    undecided,
    /// It answers worse than the old one: to be rolled back.
    bad,
    /// It does as well as the old one, as far as what was asked shows.
    good,
};

const char* name_of(rollout_opinion opinion);

/// An opinion and what it rests on, for the log.
struct rollout_verdict {
    rollout_opinion opinion = rollout_opinion::undecided;
    /// In the words of an operator: which test, which route, which figures.
    std::string reason;
};

/// Judges a version by its answers, with the old version's at the same time on the same routes as
/// the control. A sequential test: it may be asked at any time and as often as one likes, and its
/// errors stay what the settings say.
///
/// The first `bad` is to be acted on: its error is that of all times together. `good` is the
/// opinion at the moment, to be asked for until the move ends; of few answers it rules out little,
/// and its reason says how much. One target that differs from the others of its version is left
/// out; so the target that has the most load must change, or a version that is bad under load looks
/// like that.
///
/// A call takes 0.04 to 0.08 ms with four routes and four targets, 0.2 to 0.3 ms with 57: means of
/// 1,000 calls with the evidence of a good roll-out, in three runs of `wrenload policy-rollout`
/// beside other work.
class rollout_judge {
public:
    struct settings {
        /// The share of good versions that may be called bad.
        double wrongly_bad = 0.001;
        /// The error with which a good verdict rules out what its reason says that it rules out.
        double wrongly_good = 0.02;
        /// A verdict on a version's targets rests on at least so many of them, if it has them.
        std::size_t least_targets = 2;
    };

    explicit rollout_judge(settings chosen);

    /// `stress` is how much more each target of the new version has had to do than each of the old
    /// one, for versions whose targets slow down under load; 1 if as much.
    rollout_verdict judge(const rollout_evidence& evidence, double stress = 1.0) const;

    /// The same with the evidence of several stretches of time, one for each time at which the new
    /// version's part of the answers changed: of what was sent while it was the canary, and while
    /// it moved. Taken as one, failures that both versions give only during the move would seem the
    /// new one's, which has more of its answers there: 62 of 200 good versions were rolled back for
    /// 20% failures of both, none with stretches, 13 with what came before and after the move began
    /// (`rollout_evidence::since`).
    rollout_verdict judge(std::span<const rollout_evidence> stretches, double stress = 1.0) const;

private:
    settings settings_;
};

}  // namespace wrenswitch
