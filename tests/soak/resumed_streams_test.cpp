#include "soak/resumed_streams.hpp"

#include <boost/test/unit_test.hpp>

#include "soak/soak_seeds.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The share of streams that go on after a kill while the targets of their version serve.
constexpr double resumed_share = 0.9;

/// Plays one seed and says what broke, with the faults that came. Returns how often streams were
/// resumed.
std::size_t play_seed(std::uint64_t seed, microseconds length, bool with_losses = false) {
    resumed_streams fleet(seed, with_losses);
    fleet.play(length);
    const std::size_t whole_in_play = fleet.whole();
    const std::size_t begun_in_play = fleet.begun();
    const double share = fleet.share_resumed_after_kill();
    std::string story = "seed " + std::to_string(seed) + ":";
    for (const std::string& fault : fleet.faults()) {
        story += " " + fault + ";";
    }
    BOOST_TEST_CONTEXT(story) {
        // Where all entries are lost again and again, most callers run out of attempts.
        BOOST_TEST((with_losses || whole_in_play * 2 > begun_in_play));
        BOOST_TEST(share >= resumed_share);
        for (const std::string& broken : fleet.broken()) {
            BOOST_ERROR(broken);
        }
    }
    return fleet.resumptions();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(resumed_streams_test)

BOOST_AUTO_TEST_CASE(seeded_faults_join_no_streams_of_two_versions) {
    const std::uint64_t first = from_environment("SOAK_FIRST_SEED", 1);
    const std::uint64_t count = from_environment("SOAK_SEEDS", 2);
    const auto length = seconds(from_environment("SOAK_SECONDS", 8));
    std::size_t resumptions = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        resumptions += play_seed(seed, length);
    }
    BOOST_TEST(resumptions > 0U);
}

/// Streams joined two versions after losses of all entries, and targets that had gone got streams.
BOOST_AUTO_TEST_CASE(seeded_losses_of_all_entries_join_no_streams_of_two_versions) {
    const std::uint64_t first = from_environment("SOAK_FIRST_SEED", 1);
    const std::uint64_t count = from_environment("SOAK_SEEDS", 2);
    const auto length = seconds(from_environment("SOAK_SECONDS", 8));
    std::size_t resumptions = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        resumptions += play_seed(seed, length, true);
    }
    BOOST_TEST(resumptions > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
