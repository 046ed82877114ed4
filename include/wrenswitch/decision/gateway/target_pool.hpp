#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// A target as the platform's list of targets gives it. Its identifier names one life of it.
struct gateway_target {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    unsigned slots = 1;
    bool leaving = false;

    friend bool operator==(const gateway_target&, const gateway_target&) = default;
};

/// One part of a prompt, which other requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    tokens length = 0;
};

/// What a request asks of a model engine.
struct prompt_shape {
    /// All tokens of the prompt.
    tokens prompt = 0;
    /// The most tokens of the answer.
    tokens most_output = 0;
    /// In order; the last one is the request's own, the one before it what its session shares.
    std::vector<prompt_part> parts;
};

/// Settings of a pool.
struct target_pool_settings {
    std::string failure_domain;
    /// What crossing to another failure domain counts as, in shares of a target's slots.
    double other_domain_cost = 0.05;
    /// How fast an engine is taken to read a prompt.
    double tokens_per_ms = 30.0;
    /// What one more running request costs those beside it, in ms.
    double running_cost_ms = 2.0;
    /// What is expected to be kept of a prompt at the target where its parts belong, as a share.
    double home_hit_share = 0.7;
    microseconds first_ejection = milliseconds(500);
    microseconds longest_ejection = seconds(8);
    /// How long a report of load counts.
    microseconds report_life = milliseconds(500);
    /// How many parts of prompts are remembered a target.
    std::size_t remembered_parts = 2000;
};

/// Chooses a target for each request that goes to one directly: from the load reported with
/// answers, what this entry has under way, failures seen, and, for engines, where parts of the
/// prompt were read before. Entries don't talk about it: parts that weren't seen before go to the
/// same target from every entry, by rendezvous hashing.
class target_pool {
public:
    target_pool(target_pool_settings settings, random_source& random);

    /// Takes in a target's newest entry, at this position in the list. An address belongs to the
    /// target that was listed there last; whatever was there before it is gone.
    void apply(const gateway_target& target, std::uint64_t position = 0);

    /// The list no longer has this target: it left, crashed, or the list lost it.
    void remove(instant now, std::string_view id);

    /// A target for a request, leaving out those already tried. Null if there is none.
    const gateway_target* pick(instant now, std::string_view service, const prompt_shape& shape,
                               std::span<const std::string> tried);

    /// A request went to a target. Returns the tokens of its prompt that the target has to read.
    tokens sent(std::string_view id, const prompt_shape& shape);
    /// The target has read this much of what was sent, or no longer will.
    void read(std::string_view id, tokens prompt);
    /// A request that was sent has ended, in whatever way.
    void finished(std::string_view id);

    /// The target said how much it has to do.
    void reported(instant now, std::string_view id, const load_report& load);

    /// The target couldn't be reached or broke off.
    void failed(instant now, std::string_view id);
    /// The target answered a request, well or with a failure of its own.
    void answered(std::string_view id, bool well);

    const gateway_target* find(std::string_view id) const;

    /// What is believed of a target's load, with the report's age, for logs.
    std::string describe(instant now, std::string_view id) const;

    /// All targets that are in the list, leaving or not.
    std::vector<gateway_target> listed() const;

    /// The targets that left the list and that no request needs any more; they are forgotten.
    std::vector<std::string> take_forgotten(instant now);

private:
    struct target_state {
        gateway_target target;
        /// Where its newest entry stands in the list.
        std::uint64_t position = 0;
        bool listed = true;
        /// True once another target was listed at its address: it can't be reached any more.
        bool replaced = false;
        instant unlisted_since{};
        unsigned in_flight = 0;
        /// Tokens of prompts that were sent and whose answer has not begun.
        tokens unread_prompt = 0;
        load_report load;
        instant reported_at{};
        double failure_rate = 0.0;
        unsigned failures = 0;
        instant ejected_until{};
        /// The parts of prompts that were sent here.
        std::unordered_set<std::uint64_t> parts;
    };

    using states = std::map<std::string, target_state, std::less<>>;

    void settle_address(target_state& changed);
    std::vector<target_state*> candidates(instant now, std::string_view service,
                                          std::span<const std::string> tried);
    double occupancy(const target_state& state, instant now) const;
    double cost(const target_state& state, instant now, const prompt_shape& shape,
                bool is_home) const;
    double plain_cost(const target_state& state, instant now) const;
    tokens unread_tokens(const target_state& state, const prompt_shape& shape, bool is_home) const;
    static const target_state* home_of(std::span<target_state* const> among,
                                       const prompt_shape& shape);
    void remember(target_state& state, const prompt_shape& shape) const;

    target_pool_settings settings_;
    random_source& random_;
    states targets_;
};

}  // namespace wrenswitch
