#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/gateway/candidate_limits.hpp"
#include "wrenswitch/decision/gateway/cold_targets.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/gateway/named_limits.hpp"
#include "wrenswitch/decision/gateway/region_table.hpp"
#include "wrenswitch/decision/gateway/target_rests.hpp"
#include "wrenswitch/decision/placement/engine_placer.hpp"
#include "wrenswitch/decision/rollout/version_quarantine.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// A target as the platform's list of targets gives it. Its identifier and its start together name
/// one life of it.
struct gateway_target {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    unsigned slots = 1;
    bool leaving = false;
    /// Of its software; empty if it doesn't say.
    std::string version;
    /// When its process started, in Unix milliseconds by its own clock; nothing if it doesn't say.
    /// One that starts again under its identifier has a later one.
    std::optional<std::int64_t> started{};

    friend bool operator==(const gateway_target&, const gateway_target&) = default;
};

/// A target's entry in the list.
struct listed_target {
    gateway_target target;
    /// How much longer the target is cold, as of when it wrote the entry.
    microseconds cold_left{};
};

/// Settings of a pool.
struct target_pool_settings {
    std::string failure_domain;
    region_table regions;
    /// What the way to another region and back is taken for.
    microseconds far_round_trip = milliseconds(40);
    /// What crossing to another failure domain counts as, in shares of a target's slots.
    double other_domain_cost = 0.05;
    /// The same for crossing to another region, beside the time that takes: one's own targets are
    /// used until they are nearly full, since a request waits for nothing before that.
    double other_region_cost = 0.6;
    microseconds first_ejection = milliseconds(500);
    microseconds longest_ejection = seconds(8);
    /// How long a report of load counts.
    microseconds report_life = milliseconds(500);
    /// How many entries there are, which share what a cold target bears; zero while that isn't
    /// known, one if it isn't set.
    std::function<std::size_t()> entries;
    /// Who shares the limits that targets name.
    limit_sharers sharers;
};

/// What turns a request may take at targets that say something of themselves.
struct turn_wish {
    /// How long it can wait for one.
    microseconds longest_wait{};
    /// If the request is less urgent than others that come: it takes a turn only if it leaves one
    /// at another target that comes within this time. Zero if it needn't.
    microseconds leaves_one_within{};
};

/// A place among what this entry may send to a target.
struct send_turn {
    /// How long the request has to wait until it is sent.
    microseconds wait{};
    /// Counts what made earlier turns void when it was taken.
    std::uint64_t turns_void = 0;
};

/// Where a request goes.
struct target_choice {
    /// Null if there is none.
    const gateway_target* target = nullptr;
    /// Another engine from which the target should copy what that one keeps of the prompt, or null.
    const gateway_target* copy_from = nullptr;
    /// The tokens of the prompt that the target is expected to read.
    tokens unread = 0;
    /// What an engine was chosen by.
    placement_price price;
    /// How long the request has to wait until it is sent, since the target is cold.
    microseconds wait{};
    /// True if there is no target only because those that are left are cold and have no turn in
    /// time.
    bool all_cold = false;
};

/// Where the keeper that is asked for an engine is to be.
enum class meeting_place {
    /// In the own region if that has engines.
    nearest,
    /// Only in another region.
    another_region,
};

/// Chooses a target for each request that goes to one directly: from the load reported with
/// answers, what this entry has under way, and failures seen. Which of the usable engines a request
/// with a prompt goes to is the placer's choice.
class target_pool {
public:
    target_pool(target_pool_settings settings, random_source& random);

    /// Takes in a target's newest entry, at this position in the list. An address belongs to the
    /// target that was listed there last; whatever was there before it is gone.
    void apply(const gateway_target& target, std::uint64_t position = 0);

    /// A target was met that wasn't in the list before. One of a version that no other target of
    /// its service has is held back until the operators' orders were read, unless all are of it.
    void hold_back_new_version(instant now, std::string_view id);

    /// The operators' orders were read to their end by a read that began then.
    void orders_read(instant began) { quarantine_.orders_read(began); }

    /// True if targets are held back until the orders are read.
    bool waits_for_orders() const;

    /// True if the service has targets and all that are known of it, also those that left the list
    /// of late, are of this version.
    bool has_only_version(std::string_view service, std::string_view version,
                          const version_set& excluded = {}) const;

    /// The list no longer has this target: it left, crashed, or the list lost it.
    void remove(instant now, std::string_view id);

    /// The target's entry can't be read: it gets nothing, also in need, until one can.
    void withdraw(std::string_view id);

    /// The target's process has started again under its identifier: what was known of its load, its
    /// failures and its memory ends.
    void restarted(std::string_view id);

    /// The target is cold for so long, or longer if that was known.
    void note_cold(instant now, std::string_view id, microseconds left);

    /// True if the target is cold, as far as is known.
    bool is_cold(instant now, std::string_view id) const { return cold_.is_cold(now, id); }

    /// Looks whether it is known by now how many entries there are.
    void count_entries(instant now) { cold_.count_entries(now); }

    /// What a service's targets bear while they are cold.
    void set_warmup(instant now, const std::string& service, const target_warmup& warmup) {
        cold_.set_warmup(now, service, warmup);
    }

    /// Another process may have given turns at cold engines until now: this one begins anew.
    void hold_back_turns(instant now) { cold_.hold_back(now); }

    /// The operator wants nothing to go to a failure domain any more, or takes that back. Targets
    /// of a domain that comes back count as cold, since they may have restarted meanwhile. False if
    /// that was so already.
    bool set_emptied(instant now, std::string_view failure_domain, bool emptied);

    /// True if nothing may go to this failure domain.
    bool is_emptied(std::string_view failure_domain) const {
        return emptied_.contains(failure_domain);
    }

    /// Says whether a target may be chosen.
    using target_filter = std::function<bool(std::string_view id)>;

    /// A target for a request without a prompt, which should be answered within the aim, if there
    /// is one, leaving out those already tried. A target that was silent of late is tried with
    /// requests that may be repeated; the others go there only in need.
    target_choice pick(instant now, std::string_view service, std::span<const std::string> tried,
                       microseconds aim = {}, bool repeatable = false,
                       const candidate_limits& limits = {});

    /// An engine for a request with a prompt among those that the filter lets pass, leaving out
    /// those already tried.
    target_choice pick_engine(instant now, std::string_view service, const engine_request& request,
                              std::span<const std::string> tried, const target_filter& passes,
                              turn_owner owner);

    /// Names another source for the engine's copy if this entry knows one that keeps more of the
    /// prompt than the engine will have.
    void improve_source(instant now, const engine_request& request, target_choice& choice) const;

    /// The engine whose keeper is asked for a prompt: its session's home by hash among those that
    /// may be chosen, or any of them if it has no session. Those of the own region go before all
    /// others unless the session's shared parts take longer to read than the way takes. Empty if
    /// there is none.
    std::string_view meeting_engine(instant now, std::string_view service,
                                    const engine_request& request,
                                    std::span<const std::string> tried,
                                    meeting_place place = meeting_place::nearest);

    /// True if the target may be sent requests of the service now, within these limits.
    bool usable(std::string_view id, std::string_view service,
                const candidate_limits& limits = {}) const;

    /// True if the service has a target in one of these regions, sound or not: a request that is
    /// bound to them and finds none free may find one later.
    bool has_target_in(std::string_view service, const allowed_regions& regions) const;

    /// True if there is a target that a request may go to, beside those already tried.
    bool has_another(instant now, std::string_view service, std::span<const std::string> tried,
                     const candidate_limits& limits);

    /// True if a copy of a prompt's memory may go from one engine to another for a request that is
    /// bound to these regions, or to none. Memory stays in its region: it is made of the prompts
    /// that were read there, some of which may be bound, and others ask for the same parts.
    bool may_copy(std::string_view from, std::string_view to, const allowed_regions& regions) const;

    /// The region of a target, for logs and figures; empty if none is known.
    std::string_view region_of(std::string_view id) const;

    /// The limits that targets name.
    named_limits& limits() { return limits_; }

    /// The service's targets at which this entry has no turn for such a request by what they say of
    /// themselves.
    std::vector<std::string> without_turn(instant now, std::string_view service,
                                          const turn_wish& wish);

    /// True if one of the service's targets that name limits has a turn for this entry within this
    /// time.
    bool has_turn(instant now, std::string_view service, microseconds within);

    /// When this entry may send to a target again which says something against it now.
    struct next_turn {
        microseconds wait{};
        /// True if the target rests, false if it names a limit.
        bool rests = false;
    };

    /// The soonest among those of the service's targets; nothing if none of them says something.
    std::optional<next_turn> soonest_turn(instant now, std::string_view service);

    /// Takes this entry's next turn at a target, by what that says of itself. Nothing if there is
    /// none within this time.
    std::optional<send_turn> take_turn(instant now, std::string_view id, microseconds longest_wait);

    /// True if a request with this turn may go to the target now: nothing that the target has said
    /// since forbids it. To be asked at the moment of the send, whatever way led to the target.
    bool may_send(instant now, std::string_view id, const send_turn& turn) const;

    /// The target says that it leaves: it gets nothing more in this life, whatever the list says.
    /// True if that is news.
    bool note_leaving(std::string_view id);

    /// True if the target has said in this life that it leaves.
    bool says_it_leaves(std::string_view id) const;

    /// The rests that targets have asked this entry for.
    target_rests& rests() { return rests_; }

    /// A request went to a target.
    void sent(std::string_view id);

    /// A request is at an engine, which has this much of its prompt to read. Returns the run's
    /// number there, or zero if the engine isn't known. `all_known` as in engine_placer.
    std::uint64_t begin_run(instant now, std::string_view id, const engine_request& request,
                            tokens unread, bool all_known);
    /// The first event of an answer came from an engine.
    void first_event(instant now, std::string_view id, std::uint64_t run);
    /// A whole span of later events came from an engine, within this time.
    void next_events(instant now, std::string_view id, microseconds span);
    /// A run at an engine has ended, in whatever way.
    void end_run(instant now, std::string_view id, std::uint64_t run);
    /// A request that was sent has ended, in whatever way.
    void finished(std::string_view id);

    /// The target said how much it has to do.
    void reported(instant now, std::string_view id, const load_report& load);

    /// The target has been silent for longer than answers take.
    void silent(instant now, std::string_view id);

    /// The target couldn't be reached or broke off.
    void failed(instant now, std::string_view id);
    /// The target answered a request, well or with a failure of its own.
    void answered(instant now, std::string_view id, bool well);

    const gateway_target* find(std::string_view id) const;

    /// True if the list has the target.
    bool is_listed(std::string_view id) const;

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
        /// True while its entry can't be read.
        bool withdrawn = false;
        /// True once an answer of this life has said that it leaves.
        bool says_it_leaves = false;
        instant unlisted_since{};
        unsigned in_flight = 0;
        load_report load;
        instant reported_at{};
        /// The share of its answers that failed, as of when the last one came.
        double failure_rate = 0.0;
        instant rated_at{};
        unsigned failures = 0;
        instant ejected_until{};
        /// True from a silence to the next answer.
        bool silent = false;
    };

    using states = std::map<std::string, target_state, std::less<>>;

    using state_filter = std::function<bool(const target_state& state)>;

    /// The targets that a request may go to, and whether some more are left out as cold.
    struct candidate_group {
        std::vector<target_state*> targets;
        bool some_cold = false;
    };

    void settle_address(target_state& changed);
    static double failure_rate(const target_state& state, instant now);
    static void rate(target_state& state, instant now, bool well);
    bool may_be_chosen(const target_state& state, std::string_view service,
                       const candidate_limits& limits) const;
    bool may_hold(const target_state& state, const allowed_regions& regions) const;
    std::vector<target_state*> candidates(instant now, std::string_view service,
                                          std::span<const std::string> tried,
                                          const candidate_limits& limits,
                                          const state_filter& admits);
    bool is_held_back(const target_state& state, const version_limit& version) const;
    static void keep_group(std::vector<target_state*>& targets, const version_limit& version);
    candidate_group with_turns(instant now, std::string_view service,
                               std::span<const std::string> tried, turn_owner owner,
                               microseconds longest_wait, const candidate_limits& limits);
    static void keep_silent_apart(std::vector<target_state*>& targets, bool repeatable);
    bool is_far(const target_state& state) const;
    std::string_view copies_within(const target_state& state) const;
    bool is_worth_the_way(std::string_view service, const prompt_shape& shape) const;
    void keep_near(std::vector<target_state*>& targets) const;
    double occupancy(const target_state& state, instant now) const;
    double plain_cost(const target_state& state, instant now) const;
    std::vector<engine_source> sources(instant now, std::string_view service,
                                       const allowed_regions& regions) const;

    target_pool_settings settings_;
    bool has_several_regions_;
    random_source& random_;
    states targets_;
    cold_targets cold_;
    named_limits limits_;
    target_rests rests_;
    /// Failure domains to which nothing may go.
    std::set<std::string, std::less<>> emptied_;
    version_quarantine quarantine_;
    engine_placer placer_;
};

}  // namespace wrenswitch
