#include "wrenswitch/decision/rollout/rollout_judge.hpp"

#include <algorithm>

#include "decision/rollout/answer_table.hpp"
#include "decision/rollout/badness.hpp"
#include "decision/rollout/goodness.hpp"

namespace wrenswitch {

const char* name_of(rollout_opinion opinion) {
    switch (opinion) {
        case rollout_opinion::undecided:
            return "undecided";
        case rollout_opinion::bad:
            return "bad";
        case rollout_opinion::good:
            return "good";
    }
    return "unnamed";
}

rollout_judge::rollout_judge(settings chosen) : settings_(chosen) {}

rollout_verdict rollout_judge::judge(const rollout_evidence& evidence, double stress) const {
    return judge(std::span(&evidence, 1), stress);
}

rollout_verdict rollout_judge::judge(std::span<const rollout_evidence> stretches,
                                     double stress) const {
    // Less load than the old targets bear is no reason to ask for faster answers.
    const double borne = std::max(1.0, stress);
    const answer_table answers(stretches);
    if (auto shown = badness(settings_, borne).shown_by(answers)) {
        return {rollout_opinion::bad, std::move(*shown)};
    }
    goodness::answer answer = goodness(settings_, borne).ask(answers);
    return {answer.good ? rollout_opinion::good : rollout_opinion::undecided,
            std::move(answer.reason)};
}

}  // namespace wrenswitch
