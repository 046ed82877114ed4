// What a limited target gets from all entries together, over random plays of many entries that
// always have a request for it: they hear of the limit one after the other, join, leave and start
// anew, and learn of that late. Variants that are broken on purpose must exceed the bound.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/decision/gateway/named_limits.hpp"

namespace {

using namespace wrenswitch;

constexpr microseconds step = milliseconds(10);
constexpr microseconds length = seconds(30);
constexpr microseconds window = seconds(4);
constexpr std::uint64_t target_seed = 77;

enum class variant {
    as_it_is,
    /// Each entry takes the whole rate for itself.
    whole_rate_each,
    /// All entries send, each as if it were one of the few.
    all_send,
    /// All entries send, each an equal share of the rate.
    equal_shares,
};

class limit_play {
public:
    limit_play(std::size_t entries, double per_second, variant how, std::uint64_t seed)
        : per_second_(per_second), how_(how), random_(seed) {
        for (std::size_t host = 0; host < entries; ++host) {
            members_.push_back(host);
        }
        for (std::size_t host = 0; host < entries + spare_entries; ++host) {
            add(host);
        }
    }

    /// The most that the target gets in any window.
    std::size_t most() {
        instant next_change = start + seconds(5);
        for (instant now = start; now < start + length; now += step) {
            if (now >= next_change) {
                change(now);
                // Members don't change more often than once in a window.
                next_change = now + window + milliseconds(500);
            }
            for (const std::size_t host : members_) {
                hear(now, *entries_[host]);
                if (now < quiet_from || now >= quiet_until) {
                    serve(now, *entries_[host]);
                }
            }
        }
        return most_in_window();
    }

private:
    static constexpr instant start{seconds(100)};
    static constexpr std::size_t spare_entries = 4;
    /// Nobody sends for a while, and then all at once.
    static constexpr instant quiet_from = start + seconds(9);
    static constexpr instant quiet_until = start + seconds(14);

    struct entry {
        std::size_t host = 0;
        instant hears_at{};
        bool told = false;
        /// What it knows of the members, and what it will know later.
        std::vector<std::size_t> view;
        std::uint64_t version = 0;
        instant learns_at{};
        std::unique_ptr<named_limits> limits;
        send_pace equal_pace;
    };

    void add(std::size_t host) {
        entries_.push_back(std::make_unique<entry>());
        entry& added = *entries_.back();
        added.host = host;
        added.view = members_;
        begin(added, start + milliseconds(static_cast<std::int64_t>(random_.below(500))));
    }

    /// A process starts, knows nothing, and is told later.
    void begin(entry& each, instant hears_at) {
        each.hears_at = hears_at;
        each.told = false;
        limit_sharers sharers;
        if (how_ != variant::whole_rate_each) {
            sharers.entries = [&each] { return each.view.size(); };
            sharers.is_among_first = [this, &each](std::string_view, std::size_t count) {
                return how_ == variant::all_send || is_among_first(each, count);
            };
            sharers.version = [&each] { return each.version; };
        }
        each.limits = std::make_unique<named_limits>(std::move(sharers), random_);
    }

    static std::uint64_t rank(std::size_t host) {
        return spread_hash("h" + std::to_string(host), target_seed);
    }

    static bool is_among_first(const entry& each, std::size_t count) {
        const auto before =
            std::count_if(each.view.begin(), each.view.end(),
                          [&each](std::size_t other) { return rank(other) > rank(each.host); });
        return std::find(each.view.begin(), each.view.end(), each.host) != each.view.end() &&
               static_cast<std::size_t>(before) < count;
    }

    /// One entry leaves, joins, or starts anew. The others learn of it within a second.
    void change(instant now) {
        const std::size_t at = random_.below(members_.size());
        const std::size_t host = members_[at];
        if (random_.below(2) == 0) {
            begin(*entries_[host], now + milliseconds(800));
        } else if (members_.size() > 1 && random_.below(2) == 0) {
            members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(at));
        } else {
            join(now);
        }
        for (const auto& each : entries_) {
            each->learns_at = now + milliseconds(static_cast<std::int64_t>(random_.below(1000)));
        }
    }

    void join(instant now) {
        for (const auto& each : entries_) {
            if (std::find(members_.begin(), members_.end(), each->host) == members_.end()) {
                members_.push_back(each->host);
                begin(*each, now + milliseconds(800));
                return;
            }
        }
    }

    void hear(instant now, entry& each) {
        if (each.learns_at <= now && each.view != members_) {
            each.view = members_;
            each.version += 1;
        }
        if (now < each.hears_at || std::exchange(each.told, true)) {
            return;
        }
        each.limits->heard(now, "t", now - step, per_second_);
        const send_rate equal = equal_share();
        const double first = random_.unit() * as_seconds(equal.spacing);
        each.equal_pace.begin(now, from_seconds(first), equal);
    }

    send_rate equal_share() const {
        return {from_seconds(static_cast<double>(members_.size()) / per_second_), 1};
    }

    void serve(instant now, entry& each) {
        if (!each.told) {
            return;
        }
        const send_rate equal = equal_share();
        if (how_ == variant::equal_shares) {
            if (each.equal_pace.wait(now, equal) == microseconds(0)) {
                each.equal_pace.take(now, equal);
                note(now);
            }
        } else if (each.limits->wait(now, "t") == microseconds(0)) {
            each.limits->take(now, "t");
            note(now);
        }
    }

    /// A request is up to 20 ms on its way.
    void note(instant now) {
        arrivals_.push_back(now + milliseconds(static_cast<std::int64_t>(random_.below(20))));
    }

    std::size_t most_in_window() {
        std::sort(arrivals_.begin(), arrivals_.end());
        std::size_t most = 0;
        for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
            const auto last = std::upper_bound(first, arrivals_.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    double per_second_;
    variant how_;
    random_source random_;
    std::vector<std::size_t> members_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<instant> arrivals_;
};

double allowed(double per_second) {
    return 1.5 * as_seconds(window) * per_second + 5.0;
}

/// In how many plays the bound was exceeded.
std::size_t exceeded(variant how, std::size_t entries, double per_second, std::size_t plays) {
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        limit_play play(entries, per_second, how, seed);
        count += static_cast<double>(play.most()) > allowed(per_second) ? 1 : 0;
    }
    return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(limit_bound_test)

BOOST_AUTO_TEST_CASE(limited_target_gets_no_more_than_its_bound_from_any_number_of_entries) {
    for (const std::size_t entries : {1, 3, 5, 26, 103, 340}) {
        for (const double per_second : {0.0, 0.01, 0.5, 1.3, 1.7, 2.9, 10.0, 50.0}) {
            BOOST_TEST_CONTEXT(entries << " entries, " << per_second << " a second") {
                BOOST_TEST(exceeded(variant::as_it_is, entries, per_second, 6) == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(limited_target_is_used_up_to_its_limit) {
    for (const std::size_t entries : {3, 26}) {
        limit_play play(entries, 2.9, variant::as_it_is, 1);
        BOOST_TEST(static_cast<double>(play.most()) >= as_seconds(window) * 2.9 * 0.8);
    }
}

BOOST_AUTO_TEST_CASE(entries_that_each_take_the_whole_rate_exceed_the_bound) {
    BOOST_TEST(exceeded(variant::whole_rate_each, 5, 1.7, 3) == 3U);
}

BOOST_AUTO_TEST_CASE(entries_that_all_send_as_if_they_were_few_exceed_the_bound) {
    BOOST_TEST(exceeded(variant::all_send, 26, 1.7, 3) == 3U);
}

BOOST_AUTO_TEST_CASE(equal_shares_of_many_entries_exceed_the_bound) {
    BOOST_TEST(exceeded(variant::equal_shares, 26, 1.3, 6) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
