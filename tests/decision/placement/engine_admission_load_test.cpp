// Engines of one coordinator under competing load, in virtual time.

#include <boost/test/unit_test.hpp>

#include "decision/placement/coordinator_simulation.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

request_kind_load urgent_kind(double per_second) {
    return {"urgent", 0, 830, 100, milliseconds(250), milliseconds(300), per_second};
}

request_kind_load less_urgent_kind(double per_second, double burst_factor = 1.0) {
    return {"bulk", 2, 9200, 60, milliseconds(800), milliseconds(400), per_second, burst_factor};
}

void print(const char* title, const std::map<std::string, kind_result>& results) {
    for (const auto& [account, result] : results) {
        BOOST_TEST_MESSAGE(title << " " << account << " requests " << result.requests << " in time "
                                 << result.in_time << " late " << result.late << " refused "
                                 << result.refused << " held " << result.held << " share "
                                 << result.share());
    }
}

double total_share(const std::map<std::string, kind_result>& results) {
    double sum = 0.0;
    for (const auto& [account, result] : results) {
        sum += result.share();
    }
    return sum / double(results.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_admission_load_test)

BOOST_AUTO_TEST_CASE(burst_of_less_urgent_kind_leaves_urgent_kind_its_value) {
    // Guards against a burst whose prompts fill the engines' queues, so that the urgent kind earns
    // less than the kind that causes it. 2 engines, bulk at 0.4 to 0.6 of their capacity, in the
    // burst at 2.5 times that, beside 16 urgent requests per second.
    for (const double speed : {36.7, 110.0}) {
        for (const double load : {0.4, 0.6}) {
            const double per_second = load * 2 * 1000.0 * speed / 9200.0;
            const std::vector<request_kind_load> kinds{urgent_kind(16),
                                                       less_urgent_kind(per_second, 2.5)};
            for (unsigned seed = 1; seed <= 10; ++seed) {
                BOOST_TEST_CONTEXT("speed " << speed << " load " << load << " seed " << seed) {
                    const auto before = coordinator_simulation(2, speed, false).run(kinds, seed);
                    auto with = coordinator_simulation(2, speed, true).run(kinds, seed);
                    print("before", before);
                    print("with", with);
                    BOOST_TEST(with["urgent"].share() >= with["bulk"].share() - 0.10);
                    BOOST_TEST(with["urgent"].refused == 0U);
                    BOOST_TEST(total_share(with) >= total_share(before));
                    BOOST_TEST(with["bulk"].admitted_share() >= 0.25);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(account_at_five_times_its_load_does_not_take_the_share_of_others) {
    // Guards against one account whose requests make those of equal priority late. Four accounts
    // together use 0.7 of the capacity; then one of them sends five times as much.
    const double speed = 110.0;
    const double per_second = 0.7 / 4 * 2 * 1000.0 * speed / 9200.0;
    std::vector<request_kind_load> kinds;
    for (const char* account : {"a", "b", "c", "flood"}) {
        kinds.push_back(less_urgent_kind(per_second));
        kinds.back().account = account;
    }
    kinds.back().burst_factor = 5.0;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const auto before = coordinator_simulation(2, speed, false).run(kinds, seed);
        auto with = coordinator_simulation(2, speed, true).run(kinds, seed);
        print("before", before);
        print("with", with);
        for (const char* account : {"a", "b", "c"}) {
            BOOST_TEST(with[account].share() >= before.at(account).share() + 0.10);
            BOOST_TEST(with[account].share() >= with["flood"].share() + 0.10);
            BOOST_TEST(with[account].refused == 0U);
            BOOST_TEST(with[account].share() >= 0.80);
        }
        BOOST_TEST(with["flood"].admitted_share() >= 0.25);
    }
}

BOOST_AUTO_TEST_CASE(less_urgent_account_at_five_times_its_load_leaves_urgent_kind_its_value) {
    // Guards against one less urgent account that takes the engines from a more urgent kind. Three
    // less urgent accounts together use 0.4 of the capacity; then one of them sends five times as
    // much, beside 16 urgent requests per second.
    for (const double speed : {36.7, 110.0}) {
        const double per_second = 0.4 / 3 * 2 * 1000.0 * speed / 9200.0;
        std::vector<request_kind_load> kinds{urgent_kind(16)};
        for (const char* account : {"a", "b", "flood"}) {
            kinds.push_back(less_urgent_kind(per_second));
            kinds.back().account = account;
        }
        kinds.back().burst_factor = 5.0;
        for (unsigned seed = 1; seed <= 20; ++seed) {
            BOOST_TEST_CONTEXT("speed " << speed << " seed " << seed) {
                auto with = coordinator_simulation(2, speed, true).run(kinds, seed);
                print("with", with);
                for (const char* account : {"a", "b", "flood"}) {
                    BOOST_TEST(with["urgent"].share() >= with[account].share() - 0.10);
                }
                BOOST_TEST(with["urgent"].refused == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(without_pressure_nothing_is_held_or_refused) {
    // Guards against a loss by the decision itself on usual days: 0.15 of the engines' capacity.
    for (const double speed : {36.7, 110.0}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            auto results =
                coordinator_simulation(2, speed, true)
                    .run({urgent_kind(4), less_urgent_kind(0.15 * 2000 * speed / 9200)}, seed);
            print("calm", results);
            BOOST_TEST(results["urgent"].refused + results["bulk"].refused == 0U);
            BOOST_TEST(results["urgent"].held + results["bulk"].held == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
