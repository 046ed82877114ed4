#include <boost/test/unit_test.hpp>

#include "soak/soak_fleet.hpp"
#include "soak/soak_seeds.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Every seed that ever failed stays here, with a line on its cause.
const std::vector<std::uint64_t> regression_seeds{
    // A gateway that stopped last refused 2,000 polls, which were held against what was served.
    43200,
    // After a roll-out was completed one gateway didn't serve its service for 10 s; the cause isn't
    // known.
    122,
    // A version with 133 bad answers was completed while targets of both versions cut answers.
    123,
    // The same: a bad version was completed while targets of both versions cut answers.
    45103,
    // A gateway didn't serve again, beside soaks that take a killed gateway's port; whether that
    // was the cause isn't proved.
    45204,
    45304,
};

/// Whether a play ends with a request that crashes its workers, workers that report on themselves,
/// and a store that is restored from a copy. The kept seeds failed in plays without these parts and
/// are replayed without them.
enum class last_part { none, crashing_request_signals_and_restored_store };

/// Plays one seed and says what broke, with the faults that came.
void play_seed(std::uint64_t seed, microseconds length, last_part last) {
    soak_fleet fleet(seed);
    fleet.play(length);
    std::string story = "seed " + std::to_string(seed) + ":";
    for (const std::string& fault : fleet.faults()) {
        story += " " + fault + ";";
    }
    BOOST_TEST_CONTEXT(story) {
        BOOST_TEST(fleet.serves_again());
        fleet.check_rollout();
        BOOST_TEST_MESSAGE(fleet.faults().back());
        fleet.play_cold_and_emptied();
        fleet.play_turned_away();
        BOOST_TEST(fleet.retries_seen() > 0U);
        if (last == last_part::crashing_request_signals_and_restored_store) {
            fleet.play_crashing_request();
            BOOST_TEST(fleet.ends_seen() >= 3U);
            BOOST_TEST(fleet.serves_again());
            fleet.play_signals();
            BOOST_TEST(fleet.signals_told() > 0U);
            BOOST_TEST(fleet.serves_again());
            fleet.play_restored_store();
            BOOST_TEST(fleet.serves_again());
        }
        for (const std::string& broken : fleet.broken()) {
            BOOST_ERROR(broken);
        }
        BOOST_TEST(fleet.served() * 10 > fleet.sent());
        BOOST_TEST(fleet.bound_runs() * 100 > fleet.sent());
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(soak_test)

BOOST_AUTO_TEST_CASE(requests_that_are_not_of_the_play_do_not_count_as_sent) {
    soak_fleet fleet(1);
    fleet.play(seconds(1));
    const std::size_t in_play = fleet.sent();
    fleet.stop_gateway(0);
    BOOST_TEST(fleet.serves_again());
    BOOST_TEST(fleet.sent() == in_play);
    fleet.play_cold_and_emptied();
    BOOST_TEST(fleet.sent() == in_play);
}

BOOST_AUTO_TEST_CASE(seeded_faults_break_no_promise) {
    const std::uint64_t first = from_environment("SOAK_FIRST_SEED", 1);
    const std::uint64_t count = from_environment("SOAK_SEEDS", 2);
    const auto length = seconds(from_environment("SOAK_SECONDS", 8));
    for (const std::uint64_t seed : regression_seeds) {
        play_seed(seed, length, last_part::none);
    }
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        play_seed(seed, length, last_part::crashing_request_signals_and_restored_store);
    }
}

BOOST_AUTO_TEST_SUITE_END()
