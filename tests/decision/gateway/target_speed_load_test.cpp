#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr unsigned slots = 6;
constexpr unsigned queue_places = 24;
constexpr std::size_t target_count = 3;
constexpr double usual_ms = 30.0;
constexpr std::array<double, target_count> speeds{0.7, 0.7, 1.7};
constexpr double slow_factor = 2.5;
constexpr double slow_share = 0.15;
constexpr microseconds slow_period = milliseconds(600);
constexpr microseconds step = milliseconds(1);
constexpr microseconds warm_up = seconds(60);
constexpr microseconds measured = seconds(200);

/// How entries select targets.
enum class selection {
    /// By expected time: the reports have the slowdown.
    expected_time,
    /// The selection for reports of three fields.
    occupancy,
    /// Join the shortest queue, by the same reports and what the entry itself has sent since.
    shortest_queue,
};

struct load_case {
    /// The share of the targets' capacity that requests need.
    double utilization = 0.7;
    std::size_t entries = 24;
};

struct outcome {
    double mean_ms = 0.0;
    double p99_ms = 0.0;
    double late_share = 0.0;
    double refused_share = 0.0;
};

/// Requests per second that all targets serve together when none is ever idle.
double capacity() {
    const double usable = 1.0 - slow_share + slow_share / slow_factor;
    double rate = 0.0;
    for (const double speed : speeds) {
        rate += slots * usable * 1000.0 / (usual_ms * speed);
    }
    return rate;
}

/// Entries that send requests to three targets in virtual time.
class simulated_day {
public:
    simulated_day(selection rule, load_case load, std::uint64_t seed)
        : rule_(rule), load_(load), random_(seed), entries_(load.entries) {
        std::uint64_t entry_seed = seed;
        for (entry& each : entries_) {
            each.random = std::make_unique<random_source>(++entry_seed);
            target_pool_settings settings;
            settings.failure_domain = "d1";
            each.pool = std::make_unique<target_pool>(settings, *each.random);
            for (std::size_t index = 0; index < target_count; ++index) {
                each.pool->apply({name(index), "plain", name(index), "d1", slots, false, {}});
            }
        }
        for (std::size_t index = 0; index < target_count; ++index) {
            targets_[index].next_change =
                now_ + microseconds(static_cast<std::int64_t>(
                           random_.below(static_cast<std::uint64_t>(slow_period.count()))));
        }
    }

    outcome run() {
        const instant start = now_;
        const double rate = load_.utilization * capacity();
        double until_arrival_ms = exponential() * 1000.0 / rate;
        while (now_ < start + warm_up + measured) {
            now_ += step;
            measuring_ = now_ >= start + warm_up;
            advance_targets();
            until_arrival_ms -= as_milliseconds(step);
            while (until_arrival_ms <= 0.0) {
                until_arrival_ms += exponential() * 1000.0 / rate;
                arrive();
            }
        }
        return result();
    }

private:
    struct entry {
        std::unique_ptr<random_source> random;
        std::unique_ptr<target_pool> pool;
        /// What join the shortest queue knows.
        std::array<double, target_count> queue{};
    };

    struct request {
        std::size_t from = 0;
        instant sent{};
        double work_ms = 0.0;
    };

    struct target {
        double slowdown = 1.0;
        instant next_change{};
        std::vector<request> running;
        std::deque<request> queue;
    };

    static std::string name(std::size_t index) { return "t" + std::to_string(index); }

    double exponential() { return -std::log(1.0 - random_.unit()); }

    void advance_targets() {
        for (std::size_t index = 0; index < target_count; ++index) {
            target& each = targets_[index];
            if (now_ >= each.next_change) {
                each.next_change += slow_period;
                each.slowdown = random_.unit() < slow_share ? slow_factor : 1.0;
            }
            const double done = as_milliseconds(step) / each.slowdown;
            std::vector<request> ended;
            for (request& running : each.running) {
                running.work_ms -= done;
            }
            const auto first_ended =
                std::partition(each.running.begin(), each.running.end(),
                               [](const request& running) { return running.work_ms > 0.0; });
            ended.assign(first_ended, each.running.end());
            each.running.erase(first_ended, each.running.end());
            while (each.running.size() < slots && !each.queue.empty()) {
                each.running.push_back(each.queue.front());
                each.queue.pop_front();
            }
            for (const request& each_ended : ended) {
                respond(index, each_ended);
            }
        }
    }

    void respond(std::size_t index, const request& ended) {
        const target& from = targets_[index];
        load_report load{static_cast<unsigned>(from.running.size()),
                         static_cast<unsigned>(from.queue.size()), slots, false};
        if (rule_ == selection::expected_time) {
            load.slowdown = from.slowdown;
        }
        entry& to = entries_[ended.from];
        to.pool->on_load_report(now_, name(index), load);
        to.pool->record_response_time(now_, name(index), now_ - ended.sent, load);
        to.pool->on_response(now_, name(index), true);
        to.pool->on_finished(name(index));
        to.queue[index] = load.running + load.queued;
        if (measuring_) {
            times_ms_.push_back(as_milliseconds(now_ - ended.sent));
        }
    }

    void arrive() {
        const std::size_t from = random_.below(entries_.size());
        entry& sender = entries_[from];
        std::vector<std::string> tried;
        for (std::size_t attempt = 0; attempt < target_count; ++attempt) {
            const std::size_t index = choose(sender, tried);
            target& chosen = targets_[index];
            if (chosen.queue.size() < queue_places) {
                sender.pool->on_sent(name(index));
                sender.queue[index] += 1.0;
                const request sent{from, now_, exponential() * usual_ms * speeds[index]};
                if (chosen.running.size() < slots) {
                    chosen.running.push_back(sent);
                } else {
                    chosen.queue.push_back(sent);
                }
                return;
            }
            sender.queue[index] = slots + queue_places;
            load_report load{slots, queue_places, slots, false};
            if (rule_ == selection::expected_time) {
                load.slowdown = chosen.slowdown;
            }
            sender.pool->on_load_report(now_, name(index), load);
            tried.push_back(name(index));
        }
        refused_ += measuring_ ? 1.0 : 0.0;
    }

    std::size_t choose(entry& sender, const std::vector<std::string>& tried) {
        if (rule_ != selection::shortest_queue) {
            const target_choice choice =
                sender.pool->pick(now_, "plain", tried, milliseconds(150), true);
            return static_cast<std::size_t>(choice.target->id.back() - '0');
        }
        std::size_t best = target_count;
        double shortest = 0.0;
        for (std::size_t index = 0; index < target_count; ++index) {
            if (std::find(tried.begin(), tried.end(), name(index)) != tried.end()) {
                continue;
            }
            const double length = sender.queue[index] + 0.1 * random_.unit();
            if (best == target_count || length < shortest) {
                best = index;
                shortest = length;
            }
        }
        return best;
    }

    outcome result() {
        outcome found;
        const auto count = static_cast<double>(times_ms_.size());
        std::sort(times_ms_.begin(), times_ms_.end());
        for (const double time : times_ms_) {
            found.mean_ms += time / count;
            found.late_share += time > 150.0 ? 1.0 / count : 0.0;
        }
        found.p99_ms = times_ms_[times_ms_.size() * 99 / 100];
        found.refused_share = refused_ / (count + refused_);
        return found;
    }

    selection rule_;
    load_case load_;
    random_source random_;
    std::vector<entry> entries_;
    std::array<target, target_count> targets_;
    instant now_{seconds(50)};
    bool measuring_ = false;
    std::vector<double> times_ms_;
    double refused_ = 0.0;
};

/// The mean of several days, because the slow periods of one day may fall differently.
outcome run(selection rule, load_case load) {
    constexpr std::uint64_t days = 4;
    outcome mean;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        const outcome day = simulated_day(rule, load, seed).run();
        mean.mean_ms += day.mean_ms / days;
        mean.p99_ms += day.p99_ms / days;
        mean.late_share += day.late_share / days;
        mean.refused_share += day.refused_share / days;
    }
    BOOST_TEST_MESSAGE("rule " << static_cast<int>(rule) << " utilization " << load.utilization
                               << " entries " << load.entries << ": mean " << mean.mean_ms
                               << " ms, p99 " << mean.p99_ms << " ms, late " << mean.late_share
                               << ", refused " << mean.refused_share);
    return mean;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(target_speed_load_test)

// Guards against selections that ignore the speed of targets, or herd to the fastest one. The loads
// are one entry that sees all responses, and 24 that see a few each.
BOOST_AUTO_TEST_CASE(expected_time_is_faster_than_occupancy_and_than_the_shortest_queue) {
    for (const load_case load : {load_case{0.7, 1}, load_case{0.85, 1}, load_case{0.7, 24},
                                 load_case{0.85, 24}, load_case{0.1, 24}}) {
        const outcome found = run(selection::expected_time, load);
        for (const selection rule : {selection::occupancy, selection::shortest_queue}) {
            const outcome baseline = run(rule, load);
            BOOST_TEST(found.mean_ms < baseline.mean_ms);
            BOOST_TEST(found.p99_ms < 0.95 * baseline.p99_ms);
            BOOST_TEST(found.late_share < 0.9 * baseline.late_share);
        }
        BOOST_TEST(found.refused_share < 0.015);
    }
}

BOOST_AUTO_TEST_SUITE_END()
