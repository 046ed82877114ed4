#include "soak/resumed_streams.hpp"

#include <boost/test/unit_test.hpp>

#include "soak/soak_seeds.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The share of streams that go on after a kill while the targets of their version serve.
constexpr double resumed_share = 0.9;

void play_seed(std::uint64_t seed, microseconds length) {
    resumed_streams fleet(seed);
    fleet.play(length);
    std::string story = "seed " + std::to_string(seed) + ":";
    for (const std::string& fault : fleet.faults()) {
        story += " " + fault + ";";
    }
    BOOST_TEST_CONTEXT(story) {
        BOOST_TEST(fleet.resumptions() > 0U);
        BOOST_TEST(fleet.whole() * 2 > fleet.begun());
        BOOST_TEST(fleet.share_resumed_after_kill() >= resumed_share);
        for (const std::string& broken : fleet.broken()) {
            BOOST_ERROR(broken);
        }
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(resumed_streams_test)

BOOST_AUTO_TEST_CASE(seeded_faults_join_no_streams_of_two_versions) {
    const std::uint64_t first = from_environment("SOAK_FIRST_SEED", 1);
    const std::uint64_t count = from_environment("SOAK_SEEDS", 2);
    const auto length = seconds(from_environment("SOAK_SECONDS", 8));
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        play_seed(seed, length);
    }
}

BOOST_AUTO_TEST_SUITE_END()
