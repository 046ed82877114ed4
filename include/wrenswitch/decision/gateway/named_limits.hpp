#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/send_pace.hpp"

namespace wrenswitch {

/// What news of a target changed by much in what is believed of its limit.
enum class limit_news { none, named, changed, ended };

/// The entries that share targets' limits, as this one knows them.
struct limit_sharers {
    /// How many entries there are; zero while that isn't known.
    std::function<std::size_t()> entries = [] { return std::size_t{1}; };
    /// True if this entry is among the first so many in the target's order of entries, which is the
    /// same at all entries that know the same ones.
    std::function<bool(std::string_view target, std::size_t count)> is_among_first =
        [](std::string_view, std::size_t) { return true; };
    /// Rises whenever the two above may have changed.
    std::function<std::uint64_t()> version = [] { return std::uint64_t{0}; };
};

/// The limits that targets name: how many requests a second each takes from all entries together,
/// and when this entry may send there.
///
/// The bound, in any four seconds half as much again as the limit allows and five, holds without
/// a message between entries: of all of them only a few send to a limited target, the first in an
/// order that all know, and each of these has an equal share of the rate. n senders with no turn in
/// hand send four times the rate and n; there are never more of them than leave that below the
/// bound. With all entries as senders, 26 of them would send 26 requests at once to a target that
/// takes 1.3 a second. Whoever becomes a sender, or starts anew, has no turn for a whole spacing,
/// so that turns that another one gave aren't given twice.
class named_limits {
public:
    named_limits(limit_sharers sharers, random_source& random)
        : sharers_(std::move(sharers)), random_(random) {}

    /// An answer came to a request that was sent then. It names a limit, or none. Answers overtake
    /// one another: a higher limit, or none, is only believed of an answer to a request that was
    /// sent after the present one was last named.
    limit_news heard(instant now, std::string_view target, instant sent,
                     std::optional<double> per_second);

    /// Another entry says that the target named this limit, or none, as of then.
    limit_news told(instant now, std::string_view target, instant as_of,
                    std::optional<double> per_second);

    /// How long the next request has to wait for this entry's turn at the target; zero if that
    /// names no limit, longer than any request waits if this entry has no turns there.
    microseconds wait(instant now, std::string_view target);

    /// A request takes this entry's next turn.
    void take(instant now, std::string_view target);

    /// Rises when the target has named a limit, or one that differs by much: turns that were taken
    /// before count no more.
    std::uint64_t turns_void(std::string_view target) const;

    /// A request went to the target.
    void note_sent(instant now, std::string_view target);

    /// The target is gone, or its process has started anew: it may say something else.
    void forget(std::string_view target);

    /// What the target takes a second, as far as is known.
    std::optional<double> limit_of(std::string_view target) const;

    /// What is believed of a target's limit, and as of when. Nothing if it never named one.
    struct belief {
        std::optional<double> per_second;
        instant as_of{};
    };
    std::optional<belief> belief_of(std::string_view target) const;

    /// The limited targets of which nothing was heard for so long.
    std::vector<std::string> unheard(instant now, microseconds age) const;

    /// How many entries send to a target with this limit, at the most.
    static std::size_t most_senders(double per_second);

    /// How many requests went to the target from this entry within the last seconds, while its
    /// limit was known.
    std::size_t sent_lately(instant now, std::string_view target) const;

    /// False if no target has named a limit.
    bool any() const { return !targets_.empty(); }

    /// The targets that name a limit now.
    std::size_t size() const;

    /// The limit with its age and what was sent, for logs; empty if there is none.
    std::string describe(instant now, std::string_view target) const;

private:
    struct target_state {
        std::optional<double> per_second;
        /// When the present limit, or one as low, was named last.
        instant named_at{};
        /// As of when a higher limit, or none, was last believed.
        instant relaxed_at{};
        std::uint64_t turns_void = 0;
        send_pace pace;
        send_rate rate;
        bool is_sender = false;
        /// The state of the sharers by which the rate was worked out.
        std::optional<std::uint64_t> shared_at;
        /// Requests that went there in the last window.
        std::deque<instant> sends;
    };

    limit_news believe(instant now, std::string_view target, instant as_of,
                       std::optional<double> per_second);
    void share(instant now, std::string_view target, target_state& state, bool differs = false);
    const target_state* find(std::string_view target) const;

    limit_sharers sharers_;
    random_source& random_;
    std::map<std::string, target_state, std::less<>> targets_;
};

}  // namespace wrenswitch
