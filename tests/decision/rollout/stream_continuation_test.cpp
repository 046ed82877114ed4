#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/rollout/rollout_gate.hpp"

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(100)};

/// A rollout from "v1" to "v2" and a stream that has to continue at the version that began it.
struct stream_continuation_fixture {
    rollout_order order{"llm", "v2", seconds(8), 7};
    rollout_gate gate{start, order, 0.1, {"v0"}};
    rollout_request request{"talk", 1, true, true, true, false};

    void enter(rollout_phase phase, microseconds remaining = seconds(6), bool bad = false) {
        rollout_directive directive;
        directive.service = "llm";
        directive.order = 7;
        directive.version = "v2";
        directive.phase = phase;
        directive.canary_fraction = 1.0;
        directive.remaining = remaining;
        directive.version_bad = bad;
        gate.apply(start, directive);
    }

    /// Lets enough requests pass that the unproven version may have some.
    void earn_exposure() {
        for (int number = 0; number < 200; ++number) {
            gate.note_reached();
        }
    }

    bool may_continue(const std::string& version, bool suspected = false,
                      instant now = start) const {
        const auto constraint = gate.continuation_constraint(now, request, version, suspected);
        const bool is_pinned =
            constraint && constraint->rule == version_rule::only && constraint->version == version;
        BOOST_TEST((!constraint || is_pinned));
        return is_pinned;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_continuation_test, stream_continuation_fixture)

BOOST_AUTO_TEST_CASE(stream_during_canary_continues_at_either_version) {
    enter(rollout_phase::canary);
    earn_exposure();
    BOOST_TEST(may_continue("v1"));
    BOOST_TEST(may_continue("v2"));
    // A third version that is still served is as old as the first.
    BOOST_TEST(may_continue("v1.5"));
}

BOOST_AUTO_TEST_CASE(stream_at_unproven_version_beyond_its_bound_does_not_continue) {
    enter(rollout_phase::canary);
    BOOST_TEST(!may_continue("v2"));
}

BOOST_AUTO_TEST_CASE(suspected_stream_does_not_continue_at_unproven_version) {
    enter(rollout_phase::canary);
    earn_exposure();
    BOOST_TEST(!may_continue("v2", true));
    BOOST_TEST(may_continue("v1", true));
    enter(rollout_phase::completed);
    BOOST_TEST(may_continue("v2", true));
}

BOOST_AUTO_TEST_CASE(stream_at_version_that_was_rolled_back_does_not_continue) {
    earn_exposure();
    enter(rollout_phase::rolled_back, seconds(0), true);
    BOOST_TEST(!may_continue("v2"));
    BOOST_TEST(may_continue("v1"));
}

BOOST_AUTO_TEST_CASE(stream_at_version_of_an_abandoned_order_does_not_continue) {
    BOOST_TEST(!may_continue("v0"));
}

BOOST_AUTO_TEST_CASE(stream_at_old_version_does_not_continue_while_its_targets_are_stopped) {
    enter(rollout_phase::completed);
    BOOST_TEST(!may_continue("v1"));
    BOOST_TEST(may_continue("v2"));
    BOOST_TEST(may_continue("v1", false, start + seconds(11)));
}

BOOST_AUTO_TEST_SUITE_END()
