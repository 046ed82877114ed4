#include "experiment/rollout_run.hpp"

#include <array>
#include <cmath>
#include <random>

namespace wrenswitch::experiment {
namespace {

constexpr double exposed_share = 0.09;
constexpr double tick = 0.25;
/// Seconds before the deadline at which the move begins: at eleven times the canary's rate the
/// evidence of the move itself still comes.
constexpr double move_time = 2.0;
/// The part of the requests that the move takes while it may: with all of them no old answers would
/// be left to compare with.
constexpr double move_share = 0.3;
/// How much longer than its duration an undecided roll-out is watched.
constexpr double watched = 3.0;
constexpr std::size_t routes = 4;
/// Failures that every version gives.
constexpr double usual_failures = 0.002;
constexpr double grey_failures = 0.4;
constexpr double cold_slower = 3.0;
/// A fifth of the time, in three spells, begun at these parts of the duration.
constexpr std::array spells{0.2, 0.4, 0.6};
constexpr double spell_length = 1.0 / 15.0;
constexpr std::size_t none = ~std::size_t{0};
/// Logarithmic spread of the times of good answers: one in a hundred takes 3.2 times the median.
constexpr double spread = 0.5;
/// The same of the pace, which is a mean over an answer's events.
constexpr double pace_spread = 0.3;
constexpr double stream_first_ms = 120.0;
constexpr double plain_first_ms = 30.0;
constexpr double pace_ms = 12.0;
constexpr double events = 20.0;

}  // namespace

rollout_run::rollout_run(rollout_service service, rollout_case played, double canary_part,
                         std::uint64_t seed)
    : service_(std::move(service)),
      played_(std::move(played)),
      canary_part_(canary_part),
      random_(seed),
      exposure_(exposed_share) {
    service_.targets = played_.targets.value_or(service_.targets);
}

rollout_score rollout_run::run(const rollout_opinion_of& judge) {
    std::exponential_distribution<double> gap(service_.rate);
    double next = gap(random_.engine());
    const double last = watched * service_.duration;
    for (double now = tick; now <= last; now += tick) {
        while (next < now) {
            send(next);
            next += gap(random_.engine());
        }
        take_ended(now - tick);
        score_.ended = now;
        if (end(now, judge(evidence_))) {
            break;
        }
    }
    return score_;
}

bool rollout_run::end(double now, evaluation_result opinion) {
    if (opinion == evaluation_result::bad) {
        score_.rolled_back = true;
        return true;
    }
    moving_ = opinion == evaluation_result::good && now >= service_.duration - move_time;
    if (!moving_ || now < service_.duration - tick) {
        return false;
    }
    score_.completed = true;
    score_.in_time = now < service_.duration;
    return true;
}

void rollout_run::take_ended(double until) {
    while (!under_way_.empty() && under_way_.begin()->first <= until) {
        const drawn_answer& answer = under_way_.begin()->second;
        response_counts& counts = evidence_[answer.moved ? 1 : 0].counts[answer.key];
        counts.sent += 1;
        (answer.failed ? counts.failed : counts.succeeded) += 1;
        if (!answer.failed) {
            counts.first_event.add(answer.first);
            if (service_.streams) {
                counts.event_interval.add(answer.pace);
            }
        }
        under_way_.erase(under_way_.begin());
    }
}

void rollout_run::send(double now) {
    exposure_.note_reached();
    drawn_answer answer;
    const double tried = moving_ ? move_share : 2.0 * exposed_share * canary_part_;
    const bool canary = exposure_.may_send(moving_ ? 1.0 : canary_part_) && random_.unit() < tried;
    if (canary) {
        exposure_.note_sent();
        score_.exposed += 1;
        answer = draw_new(now);
    } else {
        const std::size_t route = random_.below(routes);
        answer.key.route = std::to_string(route);
        answer.failed = random_.unit() < usual_failures ||
                        (route == 0 && random_.unit() < played_.own_failures) ||
                        (day_is_bad(now) && random_.unit() < played_.day_failures);
        const double slower = day_is_bad(now) ? played_.day_slower : 1.0;
        draw_times(answer, slower, slower);
    }
    const double taken =
        as_seconds(answer.first) + (service_.streams ? events * as_seconds(answer.pace) : 0.0);
    answer.moved = moving_;
    under_way_.emplace(now + taken, answer);
}

bool rollout_run::day_is_bad(double now) const {
    constexpr double from = 0.75;
    return now >= from * service_.duration && now < service_.duration &&
           (played_.day_failures > 0.0 || played_.day_slower > 1.0);
}

std::size_t rollout_run::loaded_target(double now) const {
    const double part = std::fmod(now / service_.duration, 1.0);
    std::size_t target = 0;
    for (const double begin : spells) {
        if (part >= begin && part < begin + spell_length) {
            return target % played_.loaded_targets;
        }
        target += 1;
    }
    return none;
}

rollout_run::drawn_answer rollout_run::draw_new(double now) {
    const std::size_t loaded = loaded_target(now);
    const std::size_t target = loaded == none ? random_.below(service_.targets) : loaded;
    const std::size_t route = random_.below(routes);
    drawn_answer answer;
    answer.key = {std::to_string(route), "t" + std::to_string(target)};
    const bool at_fault = now >= played_.bad_from * service_.duration &&
                          (!played_.under_load || loaded != none) &&
                          (!played_.on_one_route || route == 0);
    const bool fails = at_fault && random_.unit() < played_.failures;
    const bool slow = at_fault && played_.slower > 1.0 && random_.unit() < played_.slow_part;
    const bool grey = target < played_.grey_targets && random_.unit() < grey_failures;
    const bool own = random_.unit() < usual_failures ||
                     (route == 0 && random_.unit() < played_.own_failures) ||
                     (day_is_bad(now) && random_.unit() < played_.day_failures);
    const bool cold = answers_of_[target]++ < played_.cold_answers;
    answer.failed = fails || grey || own;
    score_.bad_answers += fails || grey || slow ? 1 : 0;
    const double slower =
        (slow ? played_.slower : 1.0) * (day_is_bad(now) ? played_.day_slower : 1.0);
    draw_times(answer, cold ? slower * cold_slower : slower, slower);
    return answer;
}

void rollout_run::draw_times(drawn_answer& answer, double slower_first, double slower_pace) {
    std::normal_distribution<double> normal;
    const auto drawn = [&](double median_ms, double slower, double width) {
        constexpr double us_a_ms = 1000.0;
        const double time = median_ms * slower * std::exp(width * normal(random_.engine()));
        return microseconds(static_cast<std::int64_t>(time * us_a_ms));
    };
    answer.first = drawn(service_.streams ? stream_first_ms : plain_first_ms, slower_first, spread);
    answer.pace = drawn(pace_ms, slower_pace, pace_spread);
}

}  // namespace wrenswitch::experiment
