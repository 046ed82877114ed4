#include "soak/resumed_streams.hpp"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "soak/soak_seeds.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The share of streams that go on after a kill while the targets of their version serve.
constexpr double resumed_share = 0.9;

/// What one seed showed.
struct seed_result {
    std::size_t resumptions = 0;
    std::size_t begun = 0;
    std::size_t whole = 0;
    double resumed_share = 0.0;
    /// The seed and its faults.
    std::string story;
};

/// Plays one seed and says what broke, with the faults that came.
seed_result play_seed(std::uint64_t seed, bool with_losses) {
    resumed_streams fleet(seed, with_losses);
    fleet.play(seconds(from_environment("SOAK_SECONDS", 8)));
    seed_result result;
    result.whole = fleet.whole();
    result.begun = fleet.begun();
    result.resumed_share = fleet.share_resumed_after_kill();
    result.resumptions = fleet.resumptions();
    result.story = "seed " + std::to_string(seed) + ":";
    for (const std::string& fault : fleet.faults()) {
        result.story += " " + fault + ";";
    }
    BOOST_TEST_CONTEXT(result.story) {
        for (const std::string& broken : fleet.broken()) {
            BOOST_ERROR(broken);
        }
    }
    return result;
}

std::vector<seed_result> play_seeds(bool with_losses) {
    const std::uint64_t first = from_environment("SOAK_FIRST_SEED", 1);
    const std::uint64_t count = from_environment("SOAK_SEEDS", 2);
    std::vector<seed_result> results;
    std::size_t resumptions = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        results.push_back(play_seed(seed, with_losses));
        resumptions += results.back().resumptions;
    }
    BOOST_TEST(resumptions > 0U);
    return results;
}

void check_resumed_share(const seed_result& result) {
    BOOST_TEST_CONTEXT(result.story) {
        BOOST_TEST(result.resumed_share >= resumed_share);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(resumed_streams_test)

BOOST_AUTO_TEST_CASE(seeded_faults_join_no_streams_of_two_versions) {
    for (const seed_result& result : play_seeds(false)) {
        check_resumed_share(result);
        BOOST_TEST_CONTEXT(result.story) {
            BOOST_TEST(result.whole * 2 > result.begun);
        }
    }
}

/// Streams joined two versions after losses of all entries, and targets that had gone got streams.
BOOST_AUTO_TEST_CASE(seeded_losses_of_all_entries_join_no_streams_of_two_versions) {
    play_seeds(true);
}

BOOST_AUTO_TEST_CASE(streams_go_on_after_a_kill_that_follows_losses_of_all_entries) {
    for (const seed_result& result : play_seeds(true)) {
        check_resumed_share(result);
    }
}

BOOST_AUTO_TEST_SUITE_END()
