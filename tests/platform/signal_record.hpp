#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch::testing {

/// What one target got while it said something of itself, and which entries its answers have told.
/// From these follows what it should not have got.
class signal_record {
public:
    /// From the first word of a limit on until it has to be kept.
    static constexpr microseconds contact = seconds(3);
    static constexpr microseconds window = seconds(4);
    /// An answer's word binds an entry this much later.
    static constexpr microseconds until_told = milliseconds(500);
    /// So long after its word a leaving target may still be sent requests.
    static constexpr microseconds until_drained = seconds(2);
    /// So many requests may reach a target from an entry that it has asked for rest.
    static constexpr std::size_t most_in_rest = 2;

    /// Half as much again as a limit allows in a window, and five.
    static double allowed(double per_second) { return 1.5 * as_seconds(window) * per_second + 5.0; }

    /// The target says something else from now on.
    void says_anew(instant now) {
        said_at_ = now;
        told_.clear();
    }

    void arrived(instant now, std::size_t entry) { arrivals_.push_back({now, entry}); }

    /// An answer told an entry what the target says.
    void told(instant now, std::size_t entry) { told_.try_emplace(entry, now); }

    /// The target turned an entry away and asked it for rest.
    void asked_for_rest(instant now, std::size_t entry, microseconds length) {
        rests_.push_back({entry, now, now + length});
    }

    /// An entry started anew or stood still: it isn't held to what it was told before.
    void excuse(std::size_t entry) {
        told_.erase(entry);
        std::erase_if(rests_, [entry](const rest& each) { return each.entry == entry; });
    }

    std::size_t arrivals() const { return arrivals_.size(); }
    std::size_t entries_told() const { return told_.size(); }
    std::size_t rests() const { return rests_.size(); }

    /// The entries whose requests came since then.
    std::map<std::size_t, std::size_t> senders_since(instant from) const {
        std::map<std::size_t, std::size_t> senders;
        for (const arrival& each : arrivals_) {
            if (each.at >= from) {
                senders[each.entry] += 1;
            }
        }
        return senders;
    }

    /// The most that came in any window from entries that had been told, from when a limit has to
    /// be kept on.
    std::size_t most_from_told() const {
        std::vector<instant> counted;
        for (const arrival& each : arrivals_) {
            if (was_told(each, until_told)) {
                counted.push_back(each.at);
            }
        }
        std::size_t most = 0;
        for (auto last = counted.begin(); last != counted.end(); ++last) {
            const auto first = std::lower_bound(counted.begin(), last, *last - window);
            if (*last >= said_at_ + contact) {
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return most;
    }

    /// How many came later than a leaving target may get any.
    std::size_t got_after_drained() const {
        return static_cast<std::size_t>(
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [this](const arrival& each) { return was_told(each, until_drained); }));
    }

    /// The most that came from one entry between half a second after it was asked for rest and the
    /// end of the rest.
    std::size_t most_in_a_rest() const {
        std::size_t most = 0;
        for (const rest& asked : rests_) {
            const auto got =
                std::count_if(arrivals_.begin(), arrivals_.end(), [&asked](const arrival& each) {
                    return each.entry == asked.entry && each.at > asked.from + until_told &&
                           each.at < asked.until;
                });
            most = std::max(most, static_cast<std::size_t>(got));
        }
        return most;
    }

private:
    struct arrival {
        instant at{};
        std::size_t entry = 0;
    };

    struct rest {
        std::size_t entry = 0;
        instant from{};
        instant until{};
    };

    bool was_told(const arrival& each, microseconds before) const {
        const auto found = told_.find(each.entry);
        return found != told_.end() && each.at > found->second + before;
    }

    std::vector<arrival> arrivals_;
    std::map<std::size_t, instant> told_;
    std::vector<rest> rests_;
    instant said_at_{};
};

}  // namespace wrenswitch::testing
