#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "decision/rollout/marked_scope.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

namespace wrenswitch {

/// Which of the two times of an answer.
enum class answer_time { first, pace };

/// What makes an answer slow: it took longer than `factor` times what all but `level` of the old
/// version's answers by its route took.
struct slowness {
    answer_time time = answer_time::first;
    double factor = 2.0;
    double level = 0.01;
    /// How many slow answers of each target aren't counted on routes of streams, since its caches
    /// were empty.
    double cold_streams = 0.0;
    /// True if routes of streams aren't looked at.
    bool plain_only = false;
};

/// How many of the old version's answers may take longer than what counts as normal: 0.5 shows best
/// a version of which all answers are slower, 0.01 one of which a part is.
inline constexpr std::array slowness_levels{0.5, 0.2, 0.05, 0.01};

/// So many answers of each target may be slow for empty caches and aren't counted where answers are
/// streams, whose prompts are read from nothing at first. What is plain has no caches of prompts:
/// with 4 not counted, of 200 versions that are 4 times slower 150 would be found within 24 s at
/// 124 requests/s, with none 196 are.
inline constexpr double cold_answers = 20.0;

/// A roll-out's evidence as sums that many tests can be made of: it is asked for some forty kinds
/// of marks in one judgement.
class answer_table {
public:
    /// Of several stretches of time, in each of which the new version's part of the answers was the
    /// same: what changed from one to the other, for both versions, isn't taken for the version's.
    explicit answer_table(std::span<const rollout_evidence> stretches);

    /// The routes that both versions answered, and, if they are several, all of them together in
    /// front.
    std::vector<marked_scope> failures() const;
    std::vector<marked_scope> slow(const slowness& kind) const;

    /// How many answers each version gave by a route.
    struct route_answers {
        std::string route;
        double old_answers = 0.0;
        double new_answers = 0.0;
    };
    std::vector<route_answers> routes() const;

    const std::string& target_name(std::size_t target) const { return targets_[target]; }

private:
    /// For each bucket, the answers in it and in all later ones.
    using tail_counts = std::array<double, time_counts::buckets + 1>;

    struct sums {
        answer_share failed;
        tail_counts first{};
        tail_counts pace{};

        const tail_counts& of(answer_time time) const {
            return time == answer_time::first ? first : pace;
        }
    };

    /// Of one route in one stretch.
    struct route_sums {
        std::string route;
        sums control;
        std::vector<sums> targets;
    };

    static sums sums_of(const answer_counts& answers);
    static tail_counts tails_of(const time_counts& times);
    static double beyond(const tail_counts& tails, int bucket);
    static std::optional<int> slow_from(const tail_counts& control, int shift, double level);
    static marked_scope pooled(std::span<const marked_scope> parts);
    static std::vector<marked_scope> joined(std::vector<marked_scope> parts);

    void add(const rollout_evidence& stretch);
    std::size_t number_of(const std::string& target);

    std::vector<std::string> targets_;
    std::vector<route_sums> routes_;
};

}  // namespace wrenswitch
