#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What an answer changed in what is believed of its target's limit.
enum class limit_news { none, named, changed, ended };

/// The limits that targets name: how many requests a second each takes from all entries together,
/// and what this entry has sent there of late.
class named_limits {
public:
    /// An answer came to a request that was sent then. It names a limit, or none. Answers overtake
    /// one another: a higher limit, or none, is only believed of an answer to a request that was
    /// sent after the present one was last named.
    limit_news heard(instant now, std::string_view target, instant sent,
                     std::optional<double> per_second);

    /// A request went to the target.
    void note_sent(instant now, std::string_view target);

    /// The target is gone, or its process has started anew: it may say something else.
    void forget(std::string_view target);

    /// What the target takes a second, as far as is known.
    std::optional<double> limit_of(std::string_view target) const;

    /// How many requests went to the target from this entry within the window, while its limit was
    /// known.
    std::size_t sent_lately(instant now, std::string_view target) const;

    /// The targets that name a limit now.
    std::size_t size() const;

    /// The limit with its age and what was sent, for logs; empty if there is none.
    std::string describe(instant now, std::string_view target) const;

private:
    struct target_state {
        std::optional<double> per_second;
        /// When the present limit, or one as low, was named last.
        instant named_at{};
        /// Requests that went there in the last window.
        std::deque<instant> sends;
    };

    const target_state* find(std::string_view target) const;

    std::map<std::string, target_state, std::less<>> targets_;
};

}  // namespace wrenswitch
