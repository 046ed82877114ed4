#include "soak/crashing_parts.hpp"

#include <boost/test/unit_test.hpp>

#include "soak/soak_seeds.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Every seed that ever failed stays here, with a line on its cause.
const std::vector<std::uint64_t> regression_seeds{
    // The part that all requests share was quarantined by entries that had just started, and
    // nothing
    // was left to show that it is sound.
    75138,
};

/// The share of sound requests that are served at their first attempt while the part still comes.
constexpr double sound_share = 0.9;

/// Plays one seed and says what broke, with the faults that came. Returns the crashes.
std::size_t play_seed(std::uint64_t seed, microseconds length) {
    crashing_parts fleet(seed);
    fleet.play(length);
    std::string story = "seed " + std::to_string(seed) + ":";
    for (const std::string& fault : fleet.faults()) {
        story += " " + fault + ";";
    }
    const prompt_crash_fleet::service after = fleet.service_after_faults();
    BOOST_TEST_CONTEXT(story) {
        BOOST_TEST(fleet.arrivals_after_contact() <= crashing_parts::most_after_contact);
        BOOST_TEST(after.share() >= sound_share);
        BOOST_TEST(after.quarantined == 0U);
    }
    return fleet.crashes.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crashing_parts_test)

BOOST_AUTO_TEST_CASE(seeded_faults_let_a_crashing_part_reach_few_engines_and_sound_parts_all) {
    const std::uint64_t first = from_environment("SOAK_FIRST_SEED", 75000);
    const std::uint64_t count = from_environment("SOAK_SEEDS", 2);
    const auto length = seconds(from_environment("SOAK_SECONDS", 8));
    std::size_t crashes = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        crashes += play_seed(seed, length);
    }
    BOOST_TEST(crashes > 0U);
}

BOOST_AUTO_TEST_CASE(seeds_that_failed_once_hold) {
    for (const std::uint64_t seed : regression_seeds) {
        play_seed(seed, seconds(8));
    }
}

BOOST_AUTO_TEST_SUITE_END()
