// Checks the number of requests that a target with an advertised limit gets from all gateways
// together, in random simulations of many gateways that always have a request for it. The gateways
// learn of the limit one after the other, and join, leave and restart while the others learn of
// that late. The test guards against exceeding the bound of advertised_limits; deliberately broken
// variants must exceed it.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/decision/gateway/advertised_limits.hpp"

namespace {

using namespace wrenswitch;

constexpr microseconds step = milliseconds(10);
constexpr microseconds length = seconds(30);
constexpr microseconds window = seconds(4);
constexpr std::uint64_t target_seed = 77;

enum class variant {
    unmodified,
    /// Each gateway uses the full rate.
    full_rate_each,
    /// All gateways send, each as if it were one of the few senders.
    all_send,
    /// All gateways send, each with an equal share of the rate.
    equal_shares,
};

class limit_simulation {
public:
    limit_simulation(std::size_t gateway_count, double per_second, variant kind, std::uint64_t seed)
        : per_second_(per_second), variant_(kind), random_(seed) {
        for (std::size_t host = 0; host < gateway_count; ++host) {
            members_.push_back(host);
        }
        for (std::size_t host = 0; host < gateway_count + spare_gateways; ++host) {
            add(host);
        }
    }

    /// Runs the simulation and returns the highest number of requests that arrive at the target in
    /// any window.
    std::size_t max_in_any_window() {
        instant next_change = start + seconds(5);
        for (instant now = start; now < start + length; now += step) {
            if (now >= next_change) {
                change_membership(now);
                // The membership changes at most once per window.
                next_change = now + window + milliseconds(500);
            }
            for (const std::size_t host : members_) {
                receive(now, *gateways_[host]);
                if (now < quiet_from || now >= quiet_until) {
                    send_if_permitted(now, *gateways_[host]);
                }
            }
        }
        return count_max_in_window();
    }

private:
    static constexpr instant start{seconds(100)};
    static constexpr std::size_t spare_gateways = 4;
    /// No gateway sends in this period, and all of them resume together after it.
    static constexpr instant quiet_from = start + seconds(9);
    static constexpr instant quiet_until = start + seconds(14);

    struct gateway {
        std::size_t host = 0;
        instant learns_limit_at{};
        bool knows_limit = false;
        /// The membership as this gateway knows it, and when it learns of a change.
        std::vector<std::size_t> view;
        std::uint64_t version = 0;
        instant learns_members_at{};
        std::unique_ptr<advertised_limits> limits;
        send_pacer equal_pacer;
    };

    void add(std::size_t host) {
        gateways_.push_back(std::make_unique<gateway>());
        gateway& added = *gateways_.back();
        added.host = host;
        added.view = members_;
        restart(added, start + milliseconds(static_cast<std::int64_t>(random_.below(500))));
    }

    /// Starts or restarts a process, which doesn't know the limit before the given time.
    void restart(gateway& each, instant learns_limit_at) {
        each.learns_limit_at = learns_limit_at;
        each.knows_limit = false;
        limit_peers peers;
        if (variant_ != variant::full_rate_each) {
            peers.gateway_count = [&each] { return each.view.size(); };
            peers.is_among_first = [this, &each](std::string_view, std::size_t count) {
                return variant_ == variant::all_send || is_among_first(each, count);
            };
            peers.version = [&each] { return each.version; };
        }
        each.limits = std::make_unique<advertised_limits>(std::move(peers), random_);
    }

    static std::uint64_t rank(std::size_t host) {
        return spread_hash("h" + std::to_string(host), target_seed);
    }

    static bool is_among_first(const gateway& each, std::size_t count) {
        const auto before =
            std::count_if(each.view.begin(), each.view.end(),
                          [&each](std::size_t other) { return rank(other) > rank(each.host); });
        return std::find(each.view.begin(), each.view.end(), each.host) != each.view.end() &&
               static_cast<std::size_t>(before) < count;
    }

    /// Lets one gateway leave, join or restart. The others learn of it within a second.
    void change_membership(instant now) {
        const std::size_t at = random_.below(members_.size());
        const std::size_t host = members_[at];
        if (random_.below(2) == 0) {
            restart(*gateways_[host], now + milliseconds(800));
        } else if (members_.size() > 1 && random_.below(2) == 0) {
            members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(at));
        } else {
            join(now);
        }
        for (const auto& each : gateways_) {
            each->learns_members_at =
                now + milliseconds(static_cast<std::int64_t>(random_.below(1000)));
        }
    }

    void join(instant now) {
        for (const auto& each : gateways_) {
            if (std::find(members_.begin(), members_.end(), each->host) == members_.end()) {
                members_.push_back(each->host);
                restart(*each, now + milliseconds(800));
                return;
            }
        }
    }

    void receive(instant now, gateway& each) {
        if (each.learns_members_at <= now && each.view != members_) {
            each.view = members_;
            each.version += 1;
        }
        if (now < each.learns_limit_at || std::exchange(each.knows_limit, true)) {
            return;
        }
        each.limits->on_response(now, "t", now - step, per_second_);
        const send_rate share = equal_share();
        const double first = random_.unit() * as_seconds(share.interval);
        each.equal_pacer.start(now, from_seconds(first), share);
    }

    send_rate equal_share() const {
        return {from_seconds(static_cast<double>(members_.size()) / per_second_), 1};
    }

    void send_if_permitted(instant now, gateway& each) {
        if (!each.knows_limit) {
            return;
        }
        const send_rate share = equal_share();
        if (variant_ == variant::equal_shares) {
            if (each.equal_pacer.delay(now, share) == microseconds(0)) {
                each.equal_pacer.reserve(now, share);
                record_arrival(now);
            }
        } else if (each.limits->delay(now, "t") == microseconds(0)) {
            each.limits->reserve(now, "t");
            record_arrival(now);
        }
    }

    /// A request takes up to 20 ms to arrive.
    void record_arrival(instant now) {
        arrivals_.push_back(now + milliseconds(static_cast<std::int64_t>(random_.below(20))));
    }

    std::size_t count_max_in_window() {
        std::sort(arrivals_.begin(), arrivals_.end());
        std::size_t highest = 0;
        for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
            const auto last = std::upper_bound(first, arrivals_.end(), *first + window);
            highest = std::max(highest, static_cast<std::size_t>(last - first));
        }
        return highest;
    }

    double per_second_;
    variant variant_;
    random_source random_;
    std::vector<std::size_t> members_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<instant> arrivals_;
};

double max_allowed(double per_second) {
    return 1.5 * as_seconds(window) * per_second + 5.0;
}

/// Returns the number of runs in which the bound was exceeded.
std::size_t count_exceeded(variant kind, std::size_t gateway_count, double per_second,
                           std::size_t runs) {
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        limit_simulation simulation(gateway_count, per_second, kind, seed);
        count +=
            static_cast<double>(simulation.max_in_any_window()) > max_allowed(per_second) ? 1 : 0;
    }
    return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(advertised_limit_bound_test)

BOOST_AUTO_TEST_CASE(limited_target_stays_within_bound_for_any_number_of_gateways) {
    for (const std::size_t gateway_count : {1, 3, 5, 26, 103, 340}) {
        for (const double per_second : {0.0, 0.01, 0.5, 1.3, 1.7, 2.9, 10.0, 50.0}) {
            BOOST_TEST_CONTEXT(gateway_count << " gateways, " << per_second << " a second") {
                BOOST_TEST(count_exceeded(variant::unmodified, gateway_count, per_second, 6) == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(limited_target_is_used_up_to_its_limit) {
    for (const std::size_t gateway_count : {3, 26}) {
        limit_simulation simulation(gateway_count, 2.9, variant::unmodified, 1);
        BOOST_TEST(static_cast<double>(simulation.max_in_any_window()) >=
                   as_seconds(window) * 2.9 * 0.8);
    }
}

BOOST_AUTO_TEST_CASE(gateways_that_each_use_the_full_rate_exceed_the_bound) {
    BOOST_TEST(count_exceeded(variant::full_rate_each, 5, 1.7, 3) == 3U);
}

BOOST_AUTO_TEST_CASE(gateways_that_all_send_as_if_they_were_few_exceed_the_bound) {
    BOOST_TEST(count_exceeded(variant::all_send, 26, 1.7, 3) == 3U);
}

BOOST_AUTO_TEST_CASE(equal_shares_of_many_gateways_exceed_the_bound) {
    BOOST_TEST(count_exceeded(variant::equal_shares, 26, 1.3, 6) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
